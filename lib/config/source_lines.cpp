// Finds the line of a value by parsing the text again and counting lines.
#include "galenarudder/config/check.hpp"

#include <iterator>

namespace galenarudder::config {

using nlohmann::json;

namespace {

/// What the parser has read so far.
struct reading
{
    std::size_t newlines = 0;
    char last = '\0';

    /// A parser may have read one character past a number.
    std::size_t line() const { return newlines + (last == '\n' ? 0 : 1); }
};

/// Reads characters and counts lines.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(const char* at, reading* progress)
        : at_(at), progress_(progress)
    {
    }
    reference operator*() const { return *at_; }
    counting_iterator& operator++()
    {
        progress_->last = *at_;
        progress_->newlines += *at_ == '\n' ? 1 : 0;
        ++at_;
        return *this;
    }
    bool operator==(const counting_iterator& other) const
    {
        return at_ == other.at_;
    }

private:
    const char* at_;
    reading* progress_;
};

/// Follows the parser's events until the wanted value begins.
class pointer_finder : public nlohmann::json_sax<json>
{
public:
    pointer_finder(std::string_view wanted, const reading& progress)
        : wanted_(wanted), progress_(progress)
    {
    }

    std::size_t found() const { return found_; }

    bool null() override { return scalar(); }
    bool boolean(bool) override { return scalar(); }
    bool number_integer(number_integer_t) override { return scalar(); }
    bool number_unsigned(number_unsigned_t) override { return scalar(); }
    bool number_float(number_float_t, const string_t&) override
    {
        return scalar();
    }
    bool string(string_t&) override { return scalar(); }
    bool binary(binary_t&) override { return scalar(); }
    bool start_object(std::size_t) override { return open(false); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
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
    struct parent
    {
        bool is_array = false;
        std::size_t next_index = 0;
        std::string token;
    };

    /// Returns whether to go on.
    bool visit()
    {
        if (!parents_.empty() && parents_.back().is_array) {
            parent& inside = parents_.back();
            inside.token = std::to_string(inside.next_index++);
        }
        std::string here;
        for (const parent& outer : parents_)
            here += "/" + outer.token;
        if (here == wanted_)
            found_ = progress_.line();
        return found_ == 0;
    }
    bool scalar() { return visit(); }
    bool open(bool is_array)
    {
        const bool goes_on = visit();
        parents_.push_back({is_array, 0, {}});
        return goes_on;
    }
    bool close()
    {
        parents_.pop_back();
        return true;
    }

    std::string_view wanted_;
    const reading& progress_;
    std::vector<parent> parents_;
    std::size_t found_ = 0;
};

} // namespace

std::size_t line_of_pointer(std::string_view text, std::string_view pointer)
{
    reading progress;
    pointer_finder finder(pointer == "/" ? "" : pointer, progress);
    json::sax_parse(counting_iterator(text.data(), &progress),
                    counting_iterator(text.data() + text.size(), &progress),
                    &finder);
    return finder.found();
}

} // namespace galenarudder::config
