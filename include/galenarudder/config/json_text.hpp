/// \file
/// JSON text of large documents. Both directions pause in long texts, as
/// support::pause_point does.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace galenarudder::config {

/// Throws nlohmann::json::parse_error if \p text is not JSON.
nlohmann::json parse_json(std::string_view text);

/// Appends the text of \p value, the same as its dump().
void append_json(const nlohmann::json& value, std::string& text);

} // namespace galenarudder::config
