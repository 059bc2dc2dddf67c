/// \file
/// Reads a JSON text in one pass without parsing its values, so that a value
/// that was parsed before can be recognized by its text.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// Steps through objects and arrays. Checks only the brackets, commas and names
/// on its way: a value that it returns may be malformed. After an error every
/// step ends its object or array, and complete() returns false.
class raw_json_reader
{
public:
    explicit raw_json_reader(std::string_view text) : text_(text) {}

    /// Enters the object that follows. Returns false if there is none.
    bool enter_object() { return enter('{'); }
    /// Enters the array that follows. Returns false if there is none.
    bool enter_array() { return enter('['); }

    /// Returns the name of the next member of the object, whose value follows;
    /// nothing at the end of the object. A name with an escape sequence is an
    /// error, since it needs a parser.
    std::optional<std::string_view> next_name();
    /// Returns whether another element of the array follows.
    bool next_element() { return next(']'); }

    /// Returns the text of the value that follows, and skips it. Empty if there
    /// is none.
    std::string_view value();

    /// Returns whether the text has been read to its end without an error.
    bool complete();

private:
    bool enter(char bracket);
    bool next(char closing_bracket);
    bool take(char expected);
    void skip_white_space();
    bool skip_string();
    bool is_escaped(std::size_t quote) const;

    std::string_view text_;
    std::size_t position_ = 0;
    /// For each object and array entered, whether nothing of it was read yet.
    std::vector<bool> untouched_;
    bool failed_ = false;
};

/// Reads the value of the member \p name, which follows, and returns the text
/// that stands for it. Returns an empty text to leave the member out, nothing
/// if the value is malformed.
using member_reader =
    std::function<std::optional<std::string>(std::string_view name)>;

/// Reads the object that follows, and returns it with the texts that \p read
/// gives its members. Returns nothing if it is malformed or names a member
/// twice.
std::optional<std::string> read_members(raw_json_reader& reader,
                                        const member_reader& read);

} // namespace galenarudder::config
