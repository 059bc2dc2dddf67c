// The parser's events build the value but stop at the nesting limit. Problems
// are located in the text afterwards, so that valid texts cost nothing more.
#include "galenarudder/support/json.hpp"

#include "galenarudder/support/pause_point.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace galenarudder::support {

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
            pause_point();
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

/// What the parser reported: a syntax error or a number out of range.
struct parser_report
{
    std::size_t bytes_read = 0;
    std::string token;
    bool is_out_of_range = false;
};

/// Builds the value and stops at the nesting limit.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
    using base = nlohmann::detail::json_sax_dom_parser<json>;

public:
    /// \param text_bytes Size of the text. A container of more elements cannot
    ///     be complete.
    bounded_builder(json& document, std::size_t text_bytes)
        : base(document, false), text_bytes_(text_bytes)
    {
    }

    bool start_object(std::size_t elements)
    {
        return enter(elements) && base::start_object(elements);
    }
    bool start_array(std::size_t elements)
    {
        return enter(elements) && base::start_array(elements);
    }
    bool end_object()
    {
        --depth_;
        return base::end_object();
    }
    bool end_array()
    {
        --depth_;
        return base::end_array();
    }

    bool parse_error(std::size_t bytes_read,
                     const std::string& token,
                     const json::exception& failure)
    {
        constexpr int number_overflow = 406;
        report_ = {bytes_read, token, failure.id == number_overflow};
        return false;
    }

    /// Nothing if the nesting limit stopped the parser.
    const std::optional<parser_report>& report() const { return report_; }

private:
    /// JSON does not state the number of elements.
    bool enter(std::size_t elements)
    {
        constexpr auto not_stated = static_cast<std::size_t>(-1);
        ++depth_;
        return depth_ <= max_json_nesting &&
               (elements == not_stated || elements <= text_bytes_);
    }

    std::size_t text_bytes_;
    std::size_t depth_ = 0;
    std::optional<parser_report> report_;
};

/// Returns the offset of the bracket that exceeds the nesting limit.
std::size_t find_excess_nesting(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        const char character = text[offset];
        if (in_string && character == '\\') {
            ++offset;
            continue;
        }
        if (character == '"')
            in_string = !in_string;
        if (in_string)
            continue;
        if (character == '[' || character == '{')
            ++depth;
        if (character == ']' || character == '}')
            --depth;
        if (depth > max_json_nesting)
            return offset;
    }
    return text.size();
}

json_problem
problem_at(std::string_view text, std::size_t offset, std::string message)
{
    const std::string_view before =
        text.substr(0, std::min(offset, text.size()));
    const auto newlines = std::count(before.begin(), before.end(), '\n');
    const std::size_t last_newline = before.rfind('\n');
    const std::size_t line_begin =
        last_newline == std::string_view::npos ? 0 : last_newline + 1;
    return {static_cast<std::size_t>(newlines) + 1,
            before.size() - line_begin + 1, std::move(message),
            "correct the syntax at this line"};
}

json_problem number_problem(std::string_view text, const parser_report& report)
{
    constexpr std::size_t max_printed_bytes = 40;
    const std::string number =
        report.token.size() <= max_printed_bytes
            ? report.token
            : report.token.substr(0, max_printed_bytes) + "...";
    json_problem problem =
        problem_at(text, report.bytes_read - report.token.size(),
                   "the number " + number + " is out of range");
    problem.remedy = "write a number between -1.7e308 and 1.7e308";
    return problem;
}

} // namespace

std::string describe(const json_problem& problem)
{
    return "line " + std::to_string(problem.line) + ", column " +
           std::to_string(problem.column) + ": " + problem.text;
}

error to_error(const json_problem& problem,
               std::string_view source,
               error_kind kind)
{
    return {kind, std::string(source) + ": " + describe(problem),
            problem.remedy};
}

json_result parse_json(std::string_view text)
{
    json document;
    bounded_builder builder(document, text.size());
    if (json::sax_parse(pausing_iterator(text.data()),
                        pausing_iterator(text.data() + text.size()), &builder))
        return document;
    const auto& report = builder.report();
    if (!report)
        return problem_at(text, find_excess_nesting(text),
                          "is nested more than " +
                              std::to_string(max_json_nesting) +
                              " levels deep");
    if (report->is_out_of_range)
        return number_problem(text, *report);
    const std::size_t read = std::max<std::size_t>(report->bytes_read, 1);
    return problem_at(text, read - 1, "is not JSON");
}

result<json>
parse_json(std::string_view text, std::string_view source, error_kind kind)
{
    json_result parsed = parse_json(text);
    if (!parsed)
        return to_error(parsed.error(), source, kind);
    return std::move(parsed).value();
}

std::optional<json> parse_cbor(std::string_view bytes)
{
    json document;
    bounded_builder builder(document, bytes.size());
    if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor))
        return std::nullopt;
    return document;
}

std::string dump_replacing(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace galenarudder::support
