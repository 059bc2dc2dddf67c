// HTTP client on Boost.Beast; each request uses a connection of its own.
#include "galenarudder/http/client.hpp"

#include "galenarudder/http/read_response.hpp"
#include "galenarudder/support/socket_keepalive.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace galenarudder::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using support::error;
using support::error_kind;

namespace {

/// The kernel retransmits a SYN at growing intervals, so a longer wait may
/// notice the end of a network partition many seconds late. A new attempt sends
/// a SYN at once.
constexpr std::chrono::seconds connect_timeout{1};

/// Longest part of a response that is kept until it can be parsed: the line of
/// a chunk's size with its extension, or a trailer. The head of a response has
/// a lower limit in the parser.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;
constexpr std::uint64_t max_body_bytes = 8 * 1024 * 1024;

support::duration connect_time_limit(support::duration timeout)
{
    return std::min<support::duration>(timeout, connect_timeout);
}

beast::http::request<beast::http::string_body>
to_beast_request(const config::endpoint& server, client_request& request)
{
    beast::http::request<beast::http::string_body> converted;
    converted.version(11);
    converted.method_string(request.method);
    converted.target(request.target);
    converted.set(beast::http::field::host, to_string(server));
    for (const field& header : request.fields)
        converted.set(header.name, header.value);
    converted.keep_alive(false);
    converted.body() = std::move(request.body);
    converted.prepare_payload();
    return converted;
}

error connection_error(const config::endpoint& server,
                       const boost::system::error_code& failure)
{
    return {error_kind::connection_failed,
            "cannot connect to " + to_string(server) + ": " + failure.message(),
            "check the address and that the service runs"};
}

error no_answer_error(const config::endpoint& server,
                      const boost::system::error_code& failure)
{
    const bool timed_out = failure == beast::error::timeout;
    return {timed_out ? error_kind::timeout : error_kind::canceled,
            "no answer from " + to_string(server) + ": " + failure.message(),
            "check that the service runs and retry"};
}

} // namespace

asio::awaitable<support::result<response>>
fetch(config::endpoint server, client_request request, exchange_limits limits)
{
    constexpr auto nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const auto begin = std::chrono::steady_clock::now();
    const response_limits reading{begin + limits.first_byte, limits.pause,
                                  begin + limits.total};
    stream.expires_after(connect_time_limit(limits.first_byte));
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(server.address),
                                         server.port);
    const auto [connect_failure] =
        co_await stream.async_connect(remote, nothrow_awaitable);
    if (connect_failure) {
        co_return connection_error(server, connect_failure);
    }
    stream.expires_at(reading.first_byte_by);
    support::enable_keepalive(stream.socket());
    auto converted = to_beast_request(server, request);
    const auto [write_failure, written] =
        co_await beast::http::async_write(stream, converted, nothrow_awaitable);
    if (write_failure)
        co_return no_answer_error(server, write_failure);
    beast::flat_buffer buffer(max_unparsed_bytes);
    whole_response received;
    const boost::system::error_code read_failure = co_await read_response(
        stream, buffer, max_body_bytes, reading, received);
    if (read_failure)
        co_return no_answer_error(server, read_failure);
    co_return std::move(received.message);
}

asio::awaitable<support::result<response>> fetch(config::endpoint server,
                                                 client_request request,
                                                 support::duration timeout)
{
    return fetch(std::move(server), std::move(request),
                 exchange_limits{timeout, timeout, timeout});
}

support::result<response> fetch_blocking(const config::endpoint& server,
                                         const client_request& request,
                                         support::duration timeout)
{
    asio::io_context io;
    std::optional<support::result<response>> result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            result.emplace(co_await fetch(server, request, timeout));
        },
        asio::detached);
    io.run();
    if (!result) {
        return error{error_kind::canceled, "the request ended without a result",
                     "retry"};
    }
    return std::move(*result);
}

std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved =
            std::isalnum(byte) != 0 ||
            std::string_view("-._~").find(character) != std::string_view::npos;
        if (unreserved) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace galenarudder::http
