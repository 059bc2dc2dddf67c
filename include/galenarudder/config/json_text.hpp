/// \file
/// JSON text of large documents. Writing it pauses in long texts, as
/// support::pause_point does.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace galenarudder::config {

/// Appends the text of \p value, the same as its dump().
void append_json(const nlohmann::json& value, std::string& text);

} // namespace galenarudder::config
