// Values are skipped by counting brackets outside of strings.
#include "galenarudder/config/raw_json.hpp"

#include "galenarudder/support/pause_point.hpp"

#include <set>

namespace galenarudder::config {

namespace {

bool is_white_space(char character)
{
    return character == ' ' || character == '\n' || character == '\t' ||
           character == '\r';
}

} // namespace

std::optional<std::string_view> raw_json_reader::next_name()
{
    if (!next('}'))
        return std::nullopt;
    const std::size_t begin = position_ + 1;
    if (position_ == text_.size() || text_[position_] != '"' ||
        !skip_string()) {
        failed_ = true;
        return std::nullopt;
    }
    const std::string_view name = text_.substr(begin, position_ - begin - 1);
    if (name.find('\\') != std::string_view::npos || !take(':')) {
        failed_ = true;
        return std::nullopt;
    }
    return name;
}

std::string_view raw_json_reader::value()
{
    support::pause_point();
    skip_white_space();
    const std::size_t begin = position_;
    std::size_t depth = 0;
    for (; position_ < text_.size(); ++position_) {
        const char character = text_[position_];
        const bool closes = character == ']' || character == '}';
        if (depth == 0 && (closes || character == ','))
            break;
        if (character == '"') {
            if (!skip_string())
                break;
            --position_;
            continue;
        }
        depth += character == '[' || character == '{' ? 1 : 0;
        depth -= closes ? 1 : 0;
    }
    std::size_t end = position_;
    while (end > begin && is_white_space(text_[end - 1]))
        --end;
    failed_ = failed_ || depth != 0 || end == begin;
    return text_.substr(begin, end - begin);
}

bool raw_json_reader::complete()
{
    skip_white_space();
    return !failed_ && untouched_.empty() && position_ == text_.size();
}

bool raw_json_reader::enter(char bracket)
{
    if (!take(bracket)) {
        failed_ = true;
        return false;
    }
    untouched_.push_back(true);
    return true;
}

bool raw_json_reader::next(char closing_bracket)
{
    if (failed_)
        return false;
    if (take(closing_bracket)) {
        untouched_.pop_back();
        return false;
    }
    failed_ = !untouched_.back() && !take(',');
    untouched_.back() = false;
    skip_white_space();
    return !failed_;
}

bool raw_json_reader::take(char expected)
{
    skip_white_space();
    if (position_ == text_.size() || text_[position_] != expected)
        return false;
    ++position_;
    return true;
}

void raw_json_reader::skip_white_space()
{
    while (position_ < text_.size() && is_white_space(text_[position_]))
        ++position_;
}

/// Skips the string that begins here. Returns whether it ends; if not, nothing
/// is left to read.
bool raw_json_reader::skip_string()
{
    std::size_t end = text_.find('"', position_ + 1);
    while (end != std::string_view::npos && is_escaped(end))
        end = text_.find('"', end + 1);
    if (end == std::string_view::npos) {
        failed_ = true;
        position_ = text_.size();
        return false;
    }
    position_ = end + 1;
    return true;
}

bool raw_json_reader::is_escaped(std::size_t quote) const
{
    std::size_t backslashes = 0;
    while (text_[quote - 1 - backslashes] == '\\')
        ++backslashes;
    return backslashes % 2 == 1;
}

std::optional<std::string> read_members(raw_json_reader& reader,
                                        const member_reader& read)
{
    if (!reader.enter_object())
        return std::nullopt;
    std::string object = "{";
    std::set<std::string_view> names;
    while (const auto name = reader.next_name()) {
        if (!names.insert(*name).second)
            return std::nullopt;
        const std::optional<std::string> value = read(*name);
        if (!value)
            return std::nullopt;
        if (value->empty())
            continue;
        object.append(object.size() > 1 ? ",\"" : "\"").append(*name);
        object.append("\":").append(*value);
    }
    return object + "}";
}

} // namespace galenarudder::config
