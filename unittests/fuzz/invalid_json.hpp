/// \file
/// Texts that every reader of JSON must report as an error.
#pragma once

#include <string>
#include <vector>

namespace galenarudder::test {

struct invalid_json
{
    std::string name;
    std::string text;
    /// Whether the text is not JSON, so that an error can name the line.
    bool is_syntax = true;
};

/// Returns invalid forms of \p valid, in which the text "@" is replaced by an
/// invalid value.
inline std::vector<invalid_json>
invalid_forms(const std::string& valid,
              const std::string& value_of_wrong_type = "7")
{
    const std::string placeholder = "\"@\"";
    const std::size_t position = valid.find(placeholder);
    const auto with = [&](const std::string& value) {
        std::string text = valid;
        return text.replace(position, placeholder.size(), value);
    };
    constexpr std::size_t levels = 200'000;
    const std::string nested =
        std::string(levels, '[') + std::string(levels, ']');
    return {{"1e999", with("1e999")},
            {"-1e999", with("-1e999")},
            {"nested 200,000 times", with(nested)},
            {"invalid UTF-8", with("\"\xff\"")},
            {"empty", ""},
            {"cut off", valid.substr(0, position + 2)},
            {"wrong type", with(value_of_wrong_type), false}};
}

} // namespace galenarudder::test
