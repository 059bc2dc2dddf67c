/// \file
/// Parsing of JSON documents and validation against a JSON schema.
#pragma once

#include "galenarudder/support/error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// Parses \p text and validates it against \p schema, without the rules of
/// check_cross_document_rules. The error names \p file, the line, the path and
/// value that violate the schema, and the remedy.
support::result<nlohmann::json> parse_and_check(std::string_view text,
                                                std::string_view file,
                                                const char* schema);

/// Like parse_and_check, but validates a parsed document. The error names the
/// path but no line, since the source text is not available.
support::result<void> check_schema(const nlohmann::json& document,
                                   std::string_view file,
                                   const char* schema);

/// A value that violates a schema.
struct schema_violation
{
    /// JSON pointer to the value; empty for the whole document.
    std::string pointer;
    std::string message;
};

/// Returns every violation of \p schema, ordered by pointer. Violations at
/// enclosing values that only follow from others are left out.
std::vector<schema_violation>
find_schema_violations(const nlohmann::json& document, const char* schema);

} // namespace galenarudder::config
