/// \file
/// Reads responses and passes on only valid ones that ended in order.
#pragma once

#include "galenarudder/http/response_validity.hpp"
#include "galenarudder/http/server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace galenarudder::http {

/// Largest head of a response.
inline constexpr std::size_t max_response_head_bytes = 8 * 1024;
/// Interim responses (1xx) that are skipped before one final response.
inline constexpr unsigned max_interim_responses = 32;
inline constexpr unsigned first_final_status = 200;

/// Parses one response with Boost.Beast and fails if it is not valid. Keeps a
/// copy of the head until it was checked.
template <typename Body>
class valid_response_parser
{
public:
    using parser_type = boost::beast::http::response_parser<Body>;

    /// Parses a part of \p bytes, at most the head or one part of the body,
    /// and returns its size.
    std::size_t put(boost::asio::const_buffer bytes,
                    boost::system::error_code& failure)
    {
        const bool in_head = !parser_.is_header_done();
        const std::size_t used = parser_.put(bytes, failure);
        consumed_ += used;
        const std::string_view part(static_cast<const char*>(bytes.data()),
                                    used);
        if (in_head) {
            check_head_part(part, failure);
        } else if (!failure && parser_.chunked() && parser_.is_done()) {
            failure = check_response_trailers(part);
        }
        return used;
    }

    parser_type& parser() { return parser_; }
    const parser_type& parser() const { return parser_; }
    /// Returns how many bytes were parsed, with the framing.
    std::size_t consumed() const { return consumed_; }
    bool is_interim() const
    {
        return parser_.get().result_int() < first_final_status;
    }

private:
    void check_head_part(std::string_view part,
                         boost::system::error_code& failure)
    {
        raw_head_.append(part);
        // The parser's limit holds for the part of a head that it sees at once.
        if (raw_head_.size() > max_response_head_bytes)
            failure = boost::beast::http::error::header_limit;
        if (failure || !parser_.is_header_done())
            return;
        failure = check_response_head(raw_head_);
        raw_head_ = std::string();
    }

    parser_type parser_;
    std::string raw_head_;
    std::size_t consumed_ = 0;
};

/// Returns connection_reset if \p stream, of which the end was read, was reset:
/// when a write has received the error of a reset, or after an orderly close,
/// reads return only the end.
boost::system::error_code check_end_of_stream(boost::beast::tcp_stream& stream);

/// Reads until \p reached returns true or the message ends, but not past
/// \p deadline, which may become earlier meanwhile. Checks the time before each
/// read of the socket: a sender that does not pause has the next bytes ready
/// before a timer can end a read. If the connection ends the message, the
/// connection was not reset. All references must outlive the coroutine.
template <typename Body, typename Condition>
boost::asio::awaitable<boost::system::error_code>
read_response_until(boost::beast::tcp_stream& stream,
                    boost::beast::flat_buffer& buffer,
                    valid_response_parser<Body>& parser,
                    const std::chrono::steady_clock::time_point& deadline,
                    Condition reached)
{
    namespace beast = boost::beast;
    constexpr std::size_t max_read_bytes = 16 * 1024;
    stream.expires_at(deadline);
    boost::system::error_code failure;
    for (;;) {
        while (buffer.size() != 0 && !reached()) {
            buffer.consume(parser.put(buffer.data(), failure));
            if (failure)
                break;
        }
        if (failure && failure != beast::http::error::need_more)
            co_return failure;
        if (reached())
            co_return boost::system::error_code();
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
        if (read_failure != boost::asio::error::eof)
            co_return read_failure;
        if (!parser.parser().got_some())
            co_return beast::http::error::end_of_stream;
        failure = {};
        parser.parser().put_eof(failure);
        co_return failure ? failure : check_end_of_stream(stream);
    }
}

/// A response that was read to its end.
struct whole_response
{
    response message;
    /// Whether the connection can be used for another request.
    bool reusable = false;
};

/// Until when a response is read.
struct response_limits
{
    using time_point = std::chrono::steady_clock::time_point;

    time_point first_byte_by;
    /// Longest time between two parts of the response.
    std::chrono::steady_clock::duration max_pause;
    time_point deadline;

    /// Returns limits under which only the deadline counts.
    static response_limits until(time_point deadline)
    {
        return {deadline, std::chrono::hours(1), deadline};
    }
};

/// Reads the final response to a request that was written to its end. Trailers
/// are checked and dropped. All references must outlive the coroutine.
boost::asio::awaitable<boost::system::error_code>
read_response(boost::beast::tcp_stream& stream,
              boost::beast::flat_buffer& buffer,
              std::uint64_t max_body_bytes,
              response_limits limits,
              whole_response& received);

} // namespace galenarudder::http
