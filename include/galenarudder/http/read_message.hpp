/// \file
/// Reads an HTTP message within a time limit that holds against any sender.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace galenarudder::http {

/// Reads a message to its end or to \p deadline; bytes that cannot be parsed
/// yet are limited by the maximum size of \p buffer. Checks the time before
/// each read of the socket: a sender that does not pause has the next bytes
/// ready before a timer can end a read.
template <typename Parser>
boost::asio::awaitable<boost::system::error_code>
read_message(boost::beast::tcp_stream& stream,
             boost::beast::flat_buffer& buffer,
             Parser& parser,
             std::chrono::steady_clock::time_point deadline)
{
    namespace beast = boost::beast;
    constexpr std::size_t max_read_bytes = 16 * 1024;
    parser.eager(true);
    stream.expires_at(deadline);
    for (;;) {
        boost::system::error_code failure;
        if (buffer.size() != 0)
            buffer.consume(parser.put(buffer.data(), failure));
        if (parser.is_done())
            co_return boost::system::error_code();
        if (failure && failure != beast::http::error::need_more)
            co_return failure;
        const std::size_t room = buffer.max_size() - buffer.size();
        if (room == 0)
            co_return beast::http::error::buffer_overflow;
        if (std::chrono::steady_clock::now() >= deadline)
            co_return beast::error::timeout;
        const auto [read_failure, size] = co_await stream.async_read_some(
            buffer.prepare(std::min(room, max_read_bytes)),
            boost::asio::as_tuple(boost::asio::use_awaitable));
        buffer.commit(size);
        if (!read_failure)
            continue;
        if (read_failure != boost::asio::error::eof || !parser.got_some())
            co_return read_failure;
        parser.put_eof(failure);
        co_return failure;
    }
}

} // namespace galenarudder::http
