/// \file
/// Parses JSON and CBOR that comes from outside of the process. All such texts
/// are to be read with these functions: the library's own ones throw for a
/// number out of range, even if they were told not to throw for syntax, and a
/// value that is nested too deeply exhausts the stack when it is copied,
/// validated or written.
#pragma once

#include "galenarudder/support/error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::support {

/// Deepest nesting of arrays and objects that is read. Documents, messages and
/// answers of stores have fewer than 16 levels.
inline constexpr std::size_t max_json_nesting = 64;

/// Why a text could not be parsed, and where in the text.
struct json_problem
{
    /// Both count from 1; the column counts bytes.
    std::size_t line = 1;
    std::size_t column = 1;
    std::string text;
    std::string remedy;
};

/// Returns "line 3, column 7: " and the text of \p problem.
std::string describe(const json_problem& problem);

/// Returns the error for a \p problem in \p source, which is the name of a file
/// or of a message.
error to_error(const json_problem& problem,
               std::string_view source,
               error_kind kind);

/// A parsed value or what is wrong with the text.
using json_result =
    boost::outcome_v2::basic_result<nlohmann::json,
                                    json_problem,
                                    boost::outcome_v2::policy::terminate>;

/// Parses \p text, which must hold one value and nothing else. Numbers that a
/// double cannot hold, invalid UTF-8 and nesting beyond max_json_nesting are
/// problems. Pauses in long texts, as pause_point() does. Never throws
/// nlohmann::json::exception.
json_result parse_json(std::string_view text);

/// Like parse_json, with an error that names \p source. \p kind is that of the
/// error.
result<nlohmann::json>
parse_json(std::string_view text, std::string_view source, error_kind kind);

/// Parses \p bytes, which must hold one value in CBOR and nothing else. Returns
/// nothing if they do not, or if the nesting exceeds max_json_nesting. Never
/// throws nlohmann::json::exception.
std::optional<nlohmann::json> parse_cbor(std::string_view bytes);

/// Returns the text of \p value with invalid UTF-8 replaced. For values that
/// quote bytes of a request or a message; dump() throws for them.
std::string dump_replacing(const nlohmann::json& value);

} // namespace galenarudder::support
