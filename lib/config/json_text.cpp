// The parser reads through an iterator that pauses; arrays are written element
// by element.
#include "galenarudder/config/json_text.hpp"

#include "galenarudder/support/pause_point.hpp"

#include <cstddef>
#include <cstdint>
#include <iterator>

namespace galenarudder::config {

using nlohmann::json;

namespace {

/// Reads a text for the parser, and pauses after each part of it.
class pausing_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    explicit pausing_iterator(const char* position) : position_(position) {}

    const char& operator*() const { return *position_; }
    pausing_iterator& operator++()
    {
        constexpr std::uintptr_t part_bytes = 4096;
        ++position_;
        if (reinterpret_cast<std::uintptr_t>(position_) % part_bytes == 0)
            support::pause_point();
        return *this;
    }
    pausing_iterator operator++(int)
    {
        pausing_iterator before(*this);
        ++*this;
        return before;
    }
    friend bool operator==(const pausing_iterator&,
                           const pausing_iterator&) = default;

private:
    const char* position_;
};

void append_element(const json& element, std::string& text)
{
    support::pause_point();
    text += element.dump();
}

} // namespace

json parse_json(std::string_view text)
{
    return json::parse(pausing_iterator(text.data()),
                       pausing_iterator(text.data() + text.size()));
}

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
