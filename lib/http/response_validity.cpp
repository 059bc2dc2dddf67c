// The rules apply to the bytes as received: Boost.Beast joins folded fields,
// accepts repeated equal lengths, and reads any three digits as a status.
#include "galenarudder/http/response_validity.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/container/small_vector.hpp>

#include <algorithm>

namespace galenarudder::http {

namespace {

constexpr std::string_view line_end = "\r\n";
/// Heads with more fields take an allocation.
constexpr std::size_t usual_fields = 32;

struct field_line
{
    std::string_view text;
    std::string_view name;
    std::string_view value;
};

using field_lines = boost::container::small_vector<field_line, usual_fields>;

struct head_view
{
    /// The empty views of trailers have no status line.
    std::string_view status_line;
    std::string_view version;
    std::string_view status;
    field_lines fields;
};

bool is_blank(char character)
{
    return character == ' ' || character == '\t';
}

bool is_digit(char character)
{
    return character >= '0' && character <= '9';
}

bool is_control(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
}

bool is_token_character(char character)
{
    const char lower = static_cast<char>(character | 0x20);
    return is_digit(character) || (lower >= 'a' && lower <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(character) !=
               std::string_view::npos;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && is_blank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && is_blank(text.back()))
        text.remove_suffix(1);
    return text;
}

/// Removes the first line from \p text and returns it without its end.
std::string_view take_line(std::string_view& text)
{
    const std::size_t size = std::min(text.find(line_end), text.size());
    const std::string_view line = text.substr(0, size);
    text.remove_prefix(std::min(size + line_end.size(), text.size()));
    return line;
}

field_lines split_fields(std::string_view text)
{
    field_lines fields;
    for (std::string_view line = take_line(text); !line.empty();
         line = take_line(text)) {
        const std::size_t colon = line.find(':');
        const bool has_colon = colon != std::string_view::npos;
        fields.push_back(
            {line, line.substr(0, has_colon ? colon : 0),
             has_colon ? trim(line.substr(colon + 1)) : std::string_view()});
    }
    return fields;
}

head_view split_head(std::string_view raw_head)
{
    constexpr std::size_t status_digits = 3;
    head_view head;
    head.status_line = take_line(raw_head);
    const std::size_t blank = head.status_line.find(' ');
    head.version = head.status_line.substr(0, blank);
    if (blank != std::string_view::npos) {
        const std::string_view rest = head.status_line.substr(blank + 1);
        head.status = rest.substr(0, rest.find(' '));
    }
    if (head.status.size() != status_digits)
        head.status = {};
    head.fields = split_fields(raw_head);
    return head;
}

std::size_t count_fields(const head_view& head, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(
        head.fields.begin(), head.fields.end(), [&](const field_line& field) {
            return boost::algorithm::iequals(field.name, name);
        }));
}

/// Returns whether each field with the name \p name has a value for which
/// \p holds returns true.
template <typename Predicate>
bool every_value(const head_view& head, std::string_view name, Predicate holds)
{
    return std::all_of(
        head.fields.begin(), head.fields.end(), [&](const field_line& field) {
            return !boost::algorithm::iequals(field.name, name) ||
                   holds(field.value);
        });
}

bool has_known_version(const head_view& head)
{
    return head.version == "HTTP/1.0" || head.version == "HTTP/1.1";
}

bool has_status_in_range(const head_view& head)
{
    return !head.status.empty() &&
           std::all_of(head.status.begin(), head.status.end(), is_digit) &&
           head.status.front() >= '1' && head.status.front() <= '5';
}

/// Upgrade is not forwarded in requests, so nobody asked for another protocol.
bool keeps_protocol(const head_view& head)
{
    return head.status != "101";
}

bool has_no_folded_field(const head_view& head)
{
    return std::none_of(
        head.fields.begin(), head.fields.end(),
        [](const field_line& field) { return is_blank(field.text.front()); });
}

bool has_token_names(const head_view& head)
{
    return std::all_of(
        head.fields.begin(), head.fields.end(), [](const field_line& field) {
            return !field.name.empty() &&
                   std::all_of(field.name.begin(), field.name.end(),
                               is_token_character);
        });
}

bool has_no_control_byte(const head_view& head)
{
    const auto is_clean = [](std::string_view text) {
        return std::none_of(text.begin(), text.end(), is_control);
    };
    return is_clean(head.status_line) &&
           std::all_of(
               head.fields.begin(), head.fields.end(),
               [&](const field_line& field) { return is_clean(field.text); });
}

bool has_at_most_one_length(const head_view& head)
{
    return count_fields(head, "Content-Length") <= 1;
}

bool has_decimal_length(const head_view& head)
{
    return every_value(head, "Content-Length", [](std::string_view value) {
        return !value.empty() &&
               std::all_of(value.begin(), value.end(), is_digit);
    });
}

/// Another coding, or chunks beside a length or in HTTP/1.0, leaves open where
/// the body ends (RFC 9112, section 6).
bool is_plain_or_chunked(const head_view& head)
{
    const std::size_t codings = count_fields(head, "Transfer-Encoding");
    if (codings == 0)
        return true;
    return codings == 1 && head.version == "HTTP/1.1" &&
           count_fields(head, "Content-Length") == 0 &&
           every_value(head, "Transfer-Encoding", [](std::string_view value) {
               return boost::algorithm::iequals(value, "chunked");
           });
}

struct rule
{
    response_fault broken;
    bool (*holds)(const head_view& head);
};

/// Rules of heads. The parser enforces some of them too.
constexpr rule head_rules[] = {
    {response_fault::version, has_known_version},
    {response_fault::status, has_status_in_range},
    {response_fault::unrequested_upgrade, keeps_protocol},
    {response_fault::folded_field, has_no_folded_field},
    {response_fault::field_name, has_token_names},
    {response_fault::control_byte, has_no_control_byte},
    {response_fault::repeated_length, has_at_most_one_length},
    {response_fault::malformed_length, has_decimal_length},
    {response_fault::transfer_coding, is_plain_or_chunked},
};

constexpr rule trailer_rules[] = {
    {response_fault::folded_field, has_no_folded_field},
    {response_fault::field_name, has_token_names},
    {response_fault::control_byte, has_no_control_byte},
};

template <std::size_t Size>
boost::system::error_code check(const head_view& head,
                                const rule (&rules)[Size])
{
    for (const rule& each : rules) {
        if (!each.holds(head))
            return each.broken;
    }
    return {};
}

class fault_category final : public boost::system::error_category
{
public:
    const char* name() const noexcept override { return "http.response"; }
    std::string message(int value) const override
    {
        switch (static_cast<response_fault>(value)) {
        case response_fault::version:
            return "the version is not HTTP/1.0 or HTTP/1.1";
        case response_fault::status:
            return "the status is not from 100 to 599";
        case response_fault::unrequested_upgrade:
            return "it switches to another protocol, which was not requested";
        case response_fault::folded_field:
            return "a field is folded or begins with a blank";
        case response_fault::field_name:
            return "a field name is not a token";
        case response_fault::control_byte:
            return "the head or a trailer holds a control byte";
        case response_fault::repeated_length:
            return "Content-Length is given more than once";
        case response_fault::malformed_length:
            return "Content-Length is not one decimal number";
        case response_fault::transfer_coding:
            return "Transfer-Encoding is not chunked alone, or is given beside "
                   "a length or in HTTP/1.0";
        case response_fault::interim_responses:
            return "too many interim responses precede it";
        case response_fault::connection_reset:
            return "the connection was reset before the end of the response";
        case response_fault::request_not_written:
            return "the connection ended before the request was written";
        }
        return "unknown fault of a response";
    }
};

} // namespace

const boost::system::error_category& response_fault_category()
{
    static const fault_category category;
    return category;
}

boost::system::error_code make_error_code(response_fault fault)
{
    return {static_cast<int>(fault), response_fault_category()};
}

boost::system::error_code check_response_head(std::string_view raw_head)
{
    return check(split_head(raw_head), head_rules);
}

boost::system::error_code check_response_trailers(std::string_view raw_end)
{
    if (raw_end.starts_with(line_end))
        raw_end.remove_prefix(line_end.size());
    take_line(raw_end);
    head_view trailers;
    trailers.fields = split_fields(raw_end);
    return check(trailers, trailer_rules);
}

} // namespace galenarudder::http
