/// \file
/// JSON documents checked against a JSON schema.
#pragma once

#include "galenarudder/support/error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace galenarudder::config {

/// Parses \p text and checks it against \p schema. The error names \p file,
/// the line or the path in the document, what was found and the remedy.
support::result<nlohmann::json> parse_and_check(std::string_view text,
                                                std::string_view file,
                                                const char* schema);

/// Checks a parsed document; the error names the path instead of the line.
support::result<void> check_schema(const nlohmann::json& document,
                                   std::string_view file,
                                   const char* schema);

} // namespace galenarudder::config
