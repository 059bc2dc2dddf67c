// Whole responses, and the end of connections.
#include "galenarudder/http/read_response.hpp"

#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <optional>

namespace galenarudder::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

void copy_head(const beast::http::response<beast::http::string_body>& head,
               response& copy)
{
    copy.status = head.result_int();
    copy.content_type = std::string(head[beast::http::field::content_type]);
    for (const auto& header : head) {
        copy.fields.push_back(
            {std::string(header.name_string()), std::string(header.value())});
    }
}

/// Reads until \p reached returns true, but no longer than the limits allow.
template <typename Condition>
asio::awaitable<boost::system::error_code>
read_within(beast::tcp_stream& stream,
            beast::flat_buffer& buffer,
            valid_response_parser<beast::http::string_body>& parser,
            const response_limits& limits,
            Condition reached)
{
    while (!reached()) {
        const std::size_t consumed = parser.consumed();
        const auto next_part_by =
            consumed == 0 ? limits.first_byte_by
                          : std::chrono::steady_clock::now() + limits.max_pause;
        const auto deadline = std::min(next_part_by, limits.deadline);
        const auto has_progressed = [&] {
            return reached() || parser.consumed() != consumed;
        };
        const boost::system::error_code failure = co_await read_response_until(
            stream, buffer, parser, deadline, has_progressed);
        if (failure)
            co_return failure;
    }
    co_return boost::system::error_code();
}

} // namespace

boost::system::error_code check_end_of_stream(beast::tcp_stream& stream)
{
    int pending = 0;
    socklen_t size = sizeof(pending);
    const int result = ::getsockopt(stream.socket().native_handle(), SOL_SOCKET,
                                    SO_ERROR, &pending, &size);
    if (result != 0 || pending != 0)
        return response_fault::connection_reset;
    return {};
}

asio::awaitable<boost::system::error_code>
read_response(beast::tcp_stream& stream,
              beast::flat_buffer& buffer,
              std::uint64_t max_body_bytes,
              response_limits limits,
              whole_response& received)
{
    std::optional<valid_response_parser<beast::http::string_body>> reader;
    for (unsigned interim = 0; interim <= max_interim_responses; ++interim) {
        reader.emplace();
        reader->parser().body_limit(max_body_bytes);
        const auto has_head = [&] { return reader->parser().is_header_done(); };
        const boost::system::error_code failure =
            co_await read_within(stream, buffer, *reader, limits, has_head);
        if (failure)
            co_return failure;
        if (!reader->is_interim())
            break;
    }
    if (reader->is_interim())
        co_return response_fault::interim_responses;
    auto& parser = reader->parser();
    // Trailers are added to the parser's fields later.
    copy_head(parser.get(), received.message);
    const auto is_done = [&] { return parser.is_done(); };
    const boost::system::error_code failure =
        co_await read_within(stream, buffer, *reader, limits, is_done);
    if (failure)
        co_return failure;
    received.reusable =
        parser.get().keep_alive() && !parser.need_eof() && buffer.size() == 0;
    received.message.body = std::move(parser.get().body());
    co_return boost::system::error_code();
}

} // namespace galenarudder::http
