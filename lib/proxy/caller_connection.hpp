/// \file
/// The connection of one caller: reads requests, writes responses and refusals,
/// and detects when the caller closes the connection.
#pragma once

#include "read_ahead_budget.hpp"

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/proxy/keyed_calls.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace galenarudder::proxy {

using request_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// How a response or refusal is framed.
struct response_framing
{
    /// HTTP version of the request: 10 or 11.
    unsigned version = 11;
    bool keep_alive = false;
    /// Whether the request's method was HEAD, so that no body follows.
    bool head_only = false;
};

/// Whether a request's head was read, or a refusal of it. Neither is set if the
/// caller closed the connection.
struct head_result
{
    bool ready = false;
    std::optional<support::refusal> refusal;
};

/// A part of a request's body. Without a part the refusal says why the body
/// cannot be read to its end.
struct body_result
{
    std::optional<link::body_chunk> part;
    support::refusal refusal;
};

/// All members must be called on the socket's executor.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket,
                      const http_dialect& dialect,
                      std::shared_ptr<read_ahead_budget> read_ahead);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sets the size and time limits of the next request.
    void set_limits(const config::caller_limits& limits) { limits_ = limits; }

    boost::asio::any_io_executor executor() { return stream_.get_executor(); }

    /// Waits until a request begins; returns false if none will be served. The
    /// idle time is extended while \p has_open_calls returns true.
    boost::asio::awaitable<bool>
    wait_for_request(std::function<bool()> has_open_calls);
    /// Ends the wait for a request.
    void stop_waiting();
    /// Returns whether the caller closed the connection, or it failed.
    bool closed_by_caller() const { return closed_by_caller_; }
    /// Returns whether the caller has closed the connection. A close that no
    /// read has reached yet is seen, too, also behind unread bytes.
    bool has_closed();
    /// Reads the head of the request that wait_for_request found.
    boost::asio::awaitable<head_result> read_head(request_parser& parser);
    /// Writes the interim response 100 (Continue).
    boost::asio::awaitable<bool> write_continue();
    /// Reads the next part of the request's body within \p timeout.
    boost::asio::awaitable<body_result>
    read_body_part(request_parser& parser, support::duration timeout);
    /// Ends the read that is in progress, if any, as if it had failed.
    void stop_reading();

    /// Writes the head and the body that \p exchange delivers; returns false if
    /// the upstream's body or the caller's connection was cut off. \p claim, if
    /// not null, records the response.
    boost::asio::awaitable<bool>
    write_response(const support::response_head& head,
                   link::exchange_ptr exchange,
                   std::shared_ptr<held_claim> claim,
                   response_framing framing);
    /// Writes the response that was recorded for an earlier call.
    boost::asio::awaitable<bool>
    write_recorded(const once::recorded_outcome& recorded,
                   response_framing framing);
    boost::asio::awaitable<bool> write_refusal(const support::refusal& reason,
                                               response_framing framing);

    /// Calls \p on_closed once the caller closes its connection. Bytes of
    /// pipelined requests are buffered; where they may not be, the close is
    /// looked for every 100 ms. No read may start until stop_watching has
    /// returned.
    void watch_for_close(std::function<void()> on_closed);
    /// Calls \p on_closed once the caller closes its connection while no read
    /// is in progress, which would see the close itself. Looks for it every
    /// 100 ms, until watch_for_close or stop_watching is called.
    void watch_between_reads(std::function<void()> on_closed);
    boost::asio::awaitable<void> stop_watching();

    /// Closes the connection shortly if no request is being served.
    void drain();
    /// Makes close() reset the connection, so that the caller does not take its
    /// end for the end of a response.
    void reset_on_close() { resets_on_close_ = true; }
    /// Closes the connection so that the caller can still read what was
    /// written. \p more_may_follow says whether the caller may have sent more
    /// than was read: the rest of a body, or further requests.
    boost::asio::awaitable<void> close(bool more_may_follow);

private:
    boost::asio::awaitable<bool> read_bytes(support::duration timeout,
                                            std::size_t max_bytes);
    boost::asio::awaitable<bool>
    write_without_body(const support::response_head& head,
                       link::exchange_ptr exchange,
                       response_framing framing);
    boost::asio::awaitable<bool>
    write_with_body(const support::response_head& head,
                    link::exchange_ptr exchange,
                    std::shared_ptr<held_claim> claim,
                    response_framing framing);
    /// Cancels the next read after \p timeout. Beast's own timeout would close
    /// the socket, so that no refusal could be written. The timeout is extended
    /// while the connection waits for a request and has open calls.
    void start_read_timeout(support::duration timeout);
    void stop_read_timeout();
    void continue_watching();
    void on_watch_read(boost::system::error_code failure, std::size_t size);
    bool may_read_ahead();
    void give_back_read_ahead();
    void poll_for_close();
    void report_close();

    boost::beast::tcp_stream stream_;
    const http_dialect& dialect_;
    std::shared_ptr<read_ahead_budget> read_ahead_;
    /// Bytes taken from the budget.
    std::size_t read_ahead_taken_ = 0;
    config::caller_limits limits_;
    boost::beast::flat_buffer buffer_;
    boost::asio::cancellation_signal stop_watch_;
    boost::asio::cancellation_signal stop_read_;
    std::function<bool()> has_open_calls_;
    bool waiting_stopped_ = false;
    bool closed_by_caller_ = false;
    /// Canceled when a read of the watch has ended.
    boost::asio::steady_timer watch_stopped_;
    boost::asio::steady_timer read_timer_;
    boost::asio::steady_timer poll_timer_;
    /// Number of the current read; a timeout of an earlier read is ignored.
    std::uint64_t read_number_ = 0;
    bool read_timed_out_ = false;
    /// Whether read_bytes has a read in progress.
    bool reading_ = false;
    /// Whether that read is to end without success.
    bool read_stopped_ = false;
    std::function<void()> on_closed_;
    bool watching_ = false;
    /// Whether the connection waits for a request.
    bool idle_ = false;
    bool draining_ = false;
    bool resets_on_close_ = false;
};

} // namespace galenarudder::proxy
