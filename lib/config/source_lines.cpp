// Finds the lines of values by parsing the text again while counting newlines.
#include "galenarudder/config/check.hpp"

#include <iterator>
#include <map>

namespace galenarudder::config {

using nlohmann::json;

namespace {

/// Counts the lines that the parser has read so far.
struct line_counter
{
    std::size_t newlines = 0;
    char last_character = '\0';

    /// Returns the number of the line on which the last token ends. The parser
    /// reads one character past a number, which may be the newline after it.
    std::size_t line() const
    {
        return newlines + (last_character == '\n' ? 0 : 1);
    }
};

/// Iterates over the text and counts the newlines passed.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* position, line_counter* counter)
        : position_(position), line_counter_(counter)
    {
    }
    reference operator*() const { return *position_; }
    counting_iterator& operator++()
    {
        line_counter_->last_character = *position_;
        line_counter_->newlines += *position_ == '\n' ? 1 : 0;
        ++position_;
        return *this;
    }
    bool operator==(const counting_iterator& other) const
    {
        return position_ == other.position_;
    }

private:
    const char* position_;
    line_counter* line_counter_;
};

/// Receives the parser's events and stops the parser once it has passed all
/// values with the wanted JSON pointers.
class pointer_finder : public nlohmann::json_sax<json>
{
public:
    pointer_finder(std::span<const std::string> targets,
                   const line_counter& counter)
        : line_counter_(counter)
    {
        // "/" stands for the whole document, as in schema errors.
        for (const std::string& target : targets)
            lines_.emplace(target == "/" ? "" : target, 0);
        missing_ = lines_.size();
    }

    std::size_t line_of(const std::string& target) const
    {
        return lines_.at(target == "/" ? "" : target);
    }

    bool null() override { return visit_scalar(); }
    bool boolean(bool) override { return visit_scalar(); }
    bool number_integer(number_integer_t) override { return visit_scalar(); }
    bool number_unsigned(number_unsigned_t) override { return visit_scalar(); }
    bool number_float(number_float_t, const string_t&) override
    {
        return visit_scalar();
    }
    bool string(string_t&) override { return visit_scalar(); }
    bool binary(binary_t&) override { return visit_scalar(); }
    bool start_object(std::size_t) override { return visit_container(false); }
    bool start_array(std::size_t) override { return visit_container(true); }
    bool end_object() override { return leave_container(); }
    bool end_array() override { return leave_container(); }
    bool key(string_t& name) override
    {
        parents_.back().token = name;
        return true;
    }
    bool parse_error(std::size_t,
                     const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

private:
    /// An object or array that contains the current value.
    struct parent
    {
        bool is_array = false;
        std::size_t next_index = 0;
        std::string token;
    };

    /// Called at the start of each value; returns false to stop the parser.
    bool visit()
    {
        if (!parents_.empty() && parents_.back().is_array) {
            parent& array = parents_.back();
            array.token = std::to_string(array.next_index++);
        }
        std::string current_pointer;
        for (const parent& ancestor : parents_)
            current_pointer += "/" + ancestor.token;
        const auto found = lines_.find(current_pointer);
        if (found != lines_.end() && found->second == 0) {
            found->second = line_counter_.line();
            --missing_;
        }
        return missing_ > 0;
    }
    bool visit_scalar() { return visit(); }
    bool visit_container(bool is_array)
    {
        const bool proceed = visit();
        parents_.push_back({is_array, 0, {}});
        return proceed;
    }
    bool leave_container()
    {
        parents_.pop_back();
        return true;
    }

    const line_counter& line_counter_;
    std::vector<parent> parents_;
    /// Line of each wanted pointer; 0 until its value is passed.
    std::map<std::string, std::size_t> lines_;
    std::size_t missing_ = 0;
};

} // namespace

std::vector<std::size_t>
lines_of_pointers(std::string_view text, std::span<const std::string> pointers)
{
    line_counter counter;
    pointer_finder finder(pointers, counter);
    json::sax_parse(counting_iterator(text.data(), &counter),
                    counting_iterator(text.data() + text.size(), &counter),
                    &finder);
    std::vector<std::size_t> lines;
    for (const std::string& pointer : pointers)
        lines.push_back(finder.line_of(pointer));
    return lines;
}

std::size_t line_of_pointer(std::string_view text, std::string_view pointer)
{
    const std::string target(pointer);
    return lines_of_pointers(text, {&target, 1}).front();
}

} // namespace galenarudder::config
