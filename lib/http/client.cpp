// One request for each connection, over Beast.
#include "galenarudder/http/client.hpp"

#include "galenarudder/support/silent_socket.hpp"

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

/// The kernel repeats an opening packet at growing intervals, so that a
/// connection that is waited for longer may miss the end of a partition by
/// many seconds. A new attempt sends a packet at once.
constexpr std::chrono::seconds connect_timeout{1};

support::duration connect_time(support::duration timeout)
{
    return std::min<support::duration>(timeout, connect_timeout);
}

beast::http::request<beast::http::string_body>
convert(const config::endpoint& where, client_request& wanted)
{
    beast::http::request<beast::http::string_body> converted;
    converted.version(11);
    converted.method_string(wanted.method);
    converted.target(wanted.target);
    converted.set(beast::http::field::host, to_string(where));
    for (const field& sent : wanted.fields)
        converted.set(sent.name, sent.value);
    converted.keep_alive(false);
    converted.body() = std::move(wanted.body);
    converted.prepare_payload();
    return converted;
}

response convert(beast::http::response<beast::http::string_body>& received)
{
    response converted;
    converted.status = received.result_int();
    converted.content_type =
        std::string(received[beast::http::field::content_type]);
    for (const auto& sent : received) {
        converted.fields.push_back(
            {std::string(sent.name_string()), std::string(sent.value())});
    }
    converted.body = std::move(received.body());
    return converted;
}

error not_connected(const config::endpoint& where,
                    const boost::system::error_code& failure)
{
    return {error_kind::connection_failed,
            "cannot connect to " + to_string(where) + ": " + failure.message(),
            "check the address and that the service runs"};
}

error not_answered(const config::endpoint& where,
                   const boost::system::error_code& failure)
{
    const bool slow = failure == beast::error::timeout;
    return {slow ? error_kind::timeout : error_kind::canceled,
            "no answer from " + to_string(where) + ": " + failure.message(),
            "check that the service runs and retry"};
}

} // namespace

asio::awaitable<support::result<response>>
fetch(config::endpoint where, client_request wanted, support::duration timeout)
{
    constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const auto end = std::chrono::steady_clock::now() + timeout;
    stream.expires_after(connect_time(timeout));
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(where.address),
                                         where.port);
    const auto [connect_failure] =
        co_await stream.async_connect(remote, awaiting);
    if (connect_failure) {
        co_return not_connected(where, connect_failure);
    }
    stream.expires_at(end);
    support::end_silent(stream.socket());
    auto converted = convert(where, wanted);
    const auto [write_failure, written] =
        co_await beast::http::async_write(stream, converted, awaiting);
    if (write_failure)
        co_return not_answered(where, write_failure);
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> received;
    const auto [read_failure, size] =
        co_await beast::http::async_read(stream, buffer, received, awaiting);
    if (read_failure)
        co_return not_answered(where, read_failure);
    co_return convert(received);
}

support::result<response> fetch_blocking(const config::endpoint& where,
                                         const client_request& wanted,
                                         support::duration timeout)
{
    asio::io_context io;
    std::optional<support::result<response>> outcome;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            outcome.emplace(co_await fetch(where, wanted, timeout));
        },
        asio::detached);
    io.run();
    if (!outcome) {
        return error{error_kind::canceled, "the request was abandoned",
                     "retry"};
    }
    return std::move(*outcome);
}

std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool plain =
            std::isalnum(byte) != 0 ||
            std::string_view("-._~").find(letter) != std::string_view::npos;
        if (plain) {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace galenarudder::http
