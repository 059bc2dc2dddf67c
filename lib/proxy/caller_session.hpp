/// \file
/// Serves the calls of one caller's connection and answers them in order.
/// Repeatable calls without body and idempotency key run concurrently; any
/// other call begins only after all earlier ones have ended.
#pragma once

#include "caller_connection.hpp"

#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/proxy/entry.hpp"
#include "galenarudder/support/child_task.hpp"

#include <boost/asio/experimental/concurrent_channel.hpp>

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace galenarudder::proxy {

/// What a session shares with its server.
struct session_context
{
    entry* shared_entry = nullptr;
    const std::atomic<bool>* draining = nullptr;
    /// Calls of all sessions whose request's head was read and whose response
    /// has not ended.
    std::atomic<std::size_t>* open_calls = nullptr;
    std::shared_ptr<read_ahead_budget> read_ahead;
};

/// The call's timer expired.
struct timer_fired
{
};

/// An attempt got a response or a refusal.
struct attempt_event
{
    std::size_t attempt = 0;
    link::exchange_event event;
};

/// The caller closed its connection.
struct caller_disconnected
{
};

/// The request's body cannot be read to its end, or is too large.
struct body_failed
{
    support::refusal refusal;
};

using session_event =
    std::variant<timer_fired, attempt_event, caller_disconnected, body_failed>;

/// Serves one connection.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(boost::asio::ip::tcp::socket socket,
                   session_context context);

    /// Serves until no further call is served on the connection.
    boost::asio::awaitable<void> run();
    /// Closes the connection so that the caller can still read what was
    /// written.
    boost::asio::awaitable<void> close();
    /// Ends run() after the current call. May be called from any
    /// thread.
    void drain();
    /// Makes the open calls end by \p latest. May be called from any thread.
    void bound_deadlines(support::time_point latest);

private:
    using event_channel = boost::asio::experimental::concurrent_channel<void(
        boost::system::error_code, session_event)>;

    struct open_attempt
    {
        link::exchange_ptr exchange;
        std::shared_ptr<link::gate_interface> gate;
    };

    /// A call that is being served.
    struct open_call
    {
        open_call(const routing::router& router,
                  classified_call accepted,
                  const boost::asio::any_io_executor& executor);

        /// Queues an event for the session; ignored once the call has ended.
        void post(session_event event);

        support::time_point deadline;
        /// When the call is late, as gates are told; max() if they are not.
        support::time_point in_time_until;
        call_flow flow;
        support::call_head head;
        event_channel events;
        boost::asio::steady_timer timer;
        std::vector<open_attempt> attempts;
        /// The part of the body that was read before the first attempt.
        std::vector<link::body_chunk> buffered_body;
        bool body_complete = false;
        support::time_point started_at{};
        /// Keeps the call counted as open while it exists.
        std::shared_ptr<void> open_count_guard;
        /// Whether the caller closed its connection.
        bool disconnected = false;
        /// Whether the call was canceled because of its caller; no response can
        /// be written unless a refusal is set.
        bool abandoned = false;
        std::shared_ptr<held_claim> claim;
        /// See classified_call.
        std::string key_digest;
        /// Counts against the limit of the caller's organisation.
        std::optional<organisations::token> token;
        std::optional<support::refusal> refusal;
        std::optional<std::size_t> forwarded_attempt;
        link::answered response;
    };
    using call_ptr = std::shared_ptr<open_call>;
    using parser_ptr = std::shared_ptr<request_parser>;

    /// The part of a body that is read before the first attempt.
    struct initial_body
    {
        std::string data;
        bool complete = false;
        std::optional<support::refusal> failure;
    };

    /// Checks the size of a body against the limit of its route.
    struct body_size_counter
    {
        std::uint64_t limit_bytes = 0;
        std::uint64_t bytes_read = 0;

        /// Adds \p bytes and returns whether the body exceeds the limit.
        bool add_exceeds_limit(std::size_t bytes)
        {
            bytes_read += bytes;
            return bytes_read > limit_bytes;
        }
    };

    boost::asio::awaitable<bool> serve_next();
    void log_left_before_start(const classified_call& call) const;
    bool may_run_concurrently(const request_parser& parser,
                              const classified_call& accepted) const;
    void start_concurrent(parser_ptr parser,
                          classified_call accepted,
                          std::shared_ptr<void> open_count_guard);
    boost::asio::awaitable<void> serve_concurrent(parser_ptr parser,
                                                  call_ptr call);
    bool may_get_response(const call_ptr& call);
    void drop_call(const call_ptr& call);
    boost::asio::awaitable<void> settle_claim(call_ptr call);
    boost::asio::awaitable<void> wait_for_concurrent_calls();
    void abandon_concurrent_calls();
    void close_after_response();
    void bound_deadline(const call_ptr& call, support::time_point latest);
    boost::asio::awaitable<bool> serve_exclusive(parser_ptr parser,
                                                 classified_call accepted);
    boost::asio::awaitable<initial_body>
    read_initial_body(parser_ptr parser,
                      body_size_counter& size_counter,
                      support::time_point deadline);
    boost::asio::awaitable<void> stream_body(parser_ptr parser,
                                             body_size_counter size_counter,
                                             call_ptr call,
                                             link::exchange_ptr exchange);
    boost::asio::awaitable<void> stop_body_stream();
    boost::asio::awaitable<void> apply_organisation_limit(call_ptr call);
    void give_back_token(const call_ptr& call);
    boost::asio::awaitable<void> run_attempts(parser_ptr parser,
                                              body_size_counter size_counter,
                                              call_ptr call);
    boost::asio::awaitable<bool>
    claim(parser_ptr parser, call_ptr call, support::time_point deadline);
    boost::asio::awaitable<bool> finish_call(parser_ptr parser, call_ptr call);
    void log_refusal(const open_call& call) const;
    void handle_event(const call_ptr& call, session_event& event);
    void abandon_call(const call_ptr& call,
                      std::optional<support::refusal> reason);
    void perform(const call_ptr& call, std::vector<call_action> actions);
    void submit_attempt(const call_ptr& call, const send_attempt& action);
    void set_call_timer(const call_ptr& call, support::time_point expiry);
    void watch_caller(const call_ptr& call);
    static std::function<void()> make_close_handler(const call_ptr& call);
    void cancel(const open_attempt& attempt);
    boost::asio::awaitable<bool> write_refusal(const support::refusal& reason,
                                               const request_parser& parser,
                                               bool keep_alive);
    response_framing frame_response(const request_parser& parser,
                                    bool keep_alive);
    bool may_keep_alive(const request_parser& parser) const;

    session_context context_;
    entry& entry_;
    /// IP address of the caller.
    std::string caller_address_;
    std::shared_ptr<caller_connection> connection_;
    /// The attempt that gets the streamed body of the current exclusive call.
    link::exchange_ptr stream_target_;
    /// Runs stream_body for stream_target_.
    support::child_task body_stream_;
    /// Whether a part of the last request's body was not read.
    bool unread_body_ = false;
    /// Calls that run concurrently, the earliest first.
    std::deque<call_ptr> concurrent_calls_;
    /// The last call that did not run concurrently; expired once it has ended.
    std::weak_ptr<open_call> exclusive_call_;
    /// Never expires; it is canceled to wake waiters when a call of
    /// concurrent_calls_ has ended.
    boost::asio::steady_timer call_ended_;
    /// Whether a response was framed that closes the connection. No further
    /// call is started then, since it could not be answered.
    bool last_response_framed_ = false;
    /// Whether no further response is written.
    bool closing_ = false;
};

} // namespace galenarudder::proxy
