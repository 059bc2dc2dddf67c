// Boost.Beast parses; a body without a length needs more than its parser knows.
#include "response_reader.hpp"

#include "galenarudder/proxy/http_fields.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

response_reader::response_reader(connection& source,
                                 bool is_head_request,
                                 request_end end_request)
    : source_(source), is_head_request_(is_head_request),
      end_request_(std::move(end_request))
{
}

void response_reader::start_message()
{
    parser_.emplace();
    parser_->parser().body_limit(boost::none);
    if (is_head_request_)
        parser_->parser().skip(true);
}

/// A read that was aborted reports so, however it ended.
boost::system::error_code
response_reader::reported(const boost::system::error_code& failure) const
{
    if (aborted_)
        return asio::error::operation_aborted;
    return failure;
}

asio::awaitable<boost::system::error_code>
response_reader::read_head(std::chrono::steady_clock::time_point deadline)
{
    if (!aborted_)
        deadline_ = deadline;
    for (unsigned interim = 0; interim <= http::max_interim_responses;
         ++interim) {
        start_message();
        const auto has_head = [this] {
            return parser_->parser().is_header_done();
        };
        const boost::system::error_code failure =
            reported(co_await http::read_response_until(
                source_.stream, source_.buffer, *parser_, deadline_, has_head));
        if (failure || !parser_->is_interim())
            co_return failure;
    }
    co_return http::response_fault::interim_responses;
}

support::response_head response_reader::head() const
{
    const auto& received = parser_->parser().get();
    support::response_head head;
    head.status = received.result_int();
    head.reason = std::string(received.reason());
    for (const auto& field : received) {
        const std::string name(field.name_string());
        if (!is_hop_by_hop(name))
            head.fields.push_back({name, std::string(field.value())});
    }
    if (parser_->parser().content_length())
        head.content_length = *parser_->parser().content_length();
    else if (!parser_->parser().chunked() && !parser_->parser().need_eof())
        head.content_length = 0;
    return head;
}

std::string_view response_reader::keep_alive_parameters() const
{
    return parser_->parser().get()[bhttp::field::keep_alive];
}

asio::awaitable<part_read>
response_reader::read_part(std::span<char> target,
                           std::chrono::steady_clock::time_point deadline)
{
    if (!aborted_)
        deadline_ = deadline;
    auto& body = parser_->parser().get().body();
    body.data = target.data();
    body.size = target.size();
    const auto has_part = [&] {
        return parser_->parser().is_done() || body.size < target.size();
    };
    boost::system::error_code failure =
        reported(co_await http::read_response_until(
            source_.stream, source_.buffer, *parser_, deadline_, has_part));
    if (failure == bhttp::error::need_buffer)
        failure = {};
    // The end of the connection was read. A write that fails may have taken
    // the error of a reset from the socket.
    const bool ended_by_close =
        !failure && parser_->parser().need_eof() && parser_->parser().is_done();
    if (ended_by_close && !co_await end_request_())
        failure = http::response_fault::request_not_written;
    part_read result;
    result.failure = reported(failure);
    result.size = target.size() - body.size;
    co_return result;
}

/// Nothing can follow a body that the end of the connection ends.
bool response_reader::may_be_followed() const
{
    return parser_->parser().get().keep_alive() &&
           !parser_->parser().need_eof();
}

asio::awaitable<bool>
response_reader::skip_body(std::size_t max_bytes,
                           std::chrono::steady_clock::time_point deadline)
{
    if (!may_be_followed())
        co_return false;
    const std::size_t start = parser_->consumed();
    std::array<char, 4096> scratch;
    while (!is_done()) {
        if (parser_->consumed() - start >= max_bytes)
            co_return false;
        const part_read part = co_await read_part(scratch, deadline);
        if (part.failure)
            co_return false;
    }
    co_return true;
}

bool response_reader::keeps_connection() const
{
    return may_be_followed() && source_.buffer.size() == 0;
}

void response_reader::abort()
{
    aborted_ = true;
    deadline_ = {};
}

} // namespace galenarudder::proxy
