/// \file
/// One caller's connection as bytes: heads and bodies in, answers and
/// refusals out, and a watch for a caller that goes away.
#pragma once

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

/// How an answer or refusal is to be framed.
struct answer_framing
{
    /// 10 or 11, as the request stated.
    unsigned version = 11;
    bool keep_alive = false;
    /// The request was HEAD: no body follows.
    bool head_only = false;
};

/// A request's head, or why there is none. Neither is set when the caller
/// closed the connection.
struct head_read
{
    bool ready = false;
    std::optional<support::refusal> why;
};

/// A part of a request's body, or why it broke off.
struct body_read
{
    std::optional<link::body_chunk> part;
    support::refusal why;
};

/// All calls on the socket's executor.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket,
                      const http_dialect& dialect);

    /// Sets what the next request may hold and how long it may take.
    void set_limits(const config::caller_limits& limits) { limits_ = limits; }

    boost::asio::any_io_executor executor() { return stream_.get_executor(); }

    /// Waits until a request begins; false when none will. The idle time does
    /// not end while \p busy says that calls are open.
    boost::asio::awaitable<bool> wait_for_request(std::function<bool()> busy);
    /// Ends the wait for a request.
    void stop_waiting();
    /// Whether the caller closed the connection, or it broke.
    bool closed_by_caller() const { return closed_by_caller_; }
    /// Reads the head of the request that has begun.
    boost::asio::awaitable<head_read> read_head(request_parser& parser);
    boost::asio::awaitable<bool> write_continue();
    /// Reads the next part, waiting no longer than \p patience.
    boost::asio::awaitable<body_read>
    read_body_part(request_parser& parser, support::duration patience);

    /// Writes the head and the body that comes by \p from; false when either
    /// side broke off. \p claim, if any, sees what is written.
    boost::asio::awaitable<bool> write_answer(const support::answer_head& head,
                                              link::exchange_ptr from,
                                              std::shared_ptr<held_claim> claim,
                                              answer_framing framing);
    /// Writes the outcome that was recorded for an earlier call.
    boost::asio::awaitable<bool>
    write_recorded(const once::recorded_outcome& recorded,
                   answer_framing framing);
    boost::asio::awaitable<bool> write_refusal(const support::refusal& why,
                                               answer_framing framing);

    /// Calls \p gone once the caller closes its connection. Bytes of a
    /// pipelined request are kept. No read may start until end_watch.
    void watch(std::function<void()> gone);
    boost::asio::awaitable<void> end_watch();

    /// Closes soon if no request is under way.
    void drain();
    /// Ends the connection so that the caller still reads what was written.
    boost::asio::awaitable<void> close(bool unread_body);

private:
    boost::asio::awaitable<bool> read_bytes(support::duration patience);
    boost::asio::awaitable<bool> write_bare(const support::answer_head& head,
                                            link::exchange_ptr from,
                                            answer_framing framing);
    boost::asio::awaitable<bool> write_whole(const support::answer_head& head,
                                             link::exchange_ptr from,
                                             std::shared_ptr<held_claim> claim,
                                             answer_framing framing);
    /// Ends the next read after \p patience. Beast's own timeout would close
    /// the socket, and no refusal could be written.
    void limit_read(support::duration patience, bool stops_writes = true);
    void end_read_limit();
    void watch_next();
    void on_watched(boost::system::error_code failed, std::size_t size);

    boost::beast::tcp_stream stream_;
    const http_dialect& dialect_;
    config::caller_limits limits_;
    boost::beast::flat_buffer buffer_;
    boost::asio::cancellation_signal stop_watch_;
    boost::asio::cancellation_signal stop_read_;
    std::function<bool()> busy_;
    bool waiting_stopped_ = false;
    bool closed_by_caller_ = false;
    boost::asio::steady_timer watch_ended_;
    boost::asio::steady_timer read_limit_;
    std::uint64_t reads_ = 0;
    bool read_timed_out_ = false;
    std::function<void()> gone_;
    bool watching_ = false;
    bool idle_ = false;
    bool draining_ = false;
};

} // namespace galenarudder::proxy
