// Arrays are written element by element, with pauses between them.
#include "galenarudder/config/json_text.hpp"

#include "galenarudder/support/pause_point.hpp"

#include <cstddef>

namespace galenarudder::config {

using nlohmann::json;

namespace {

void append_element(const json& element, std::string& text)
{
    support::pause_point();
    text += element.dump();
}

} // namespace

void append_json(const json& value, std::string& text)
{
    constexpr std::size_t large_array = 64;
    const bool in_parts =
        value.is_object() || (value.is_array() && value.size() > large_array);
    if (!in_parts)
        return append_element(value, text);
    std::string_view separator;
    text += value.is_object() ? '{' : '[';
    for (const auto& [key, element] : value.items()) {
        text += separator;
        separator = ",";
        if (value.is_array()) {
            append_element(element, text);
            continue;
        }
        text.append(json(key).dump()).append(":");
        append_json(element, text);
    }
    text += value.is_object() ? '}' : ']';
}

} // namespace galenarudder::config
