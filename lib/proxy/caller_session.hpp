/// \file
/// One caller's connection as a row of calls that are answered in order. Calls
/// that may repeat and have no body run beside each other; any other call
/// begins once all before it have ended.
#pragma once

#include "caller_connection.hpp"

#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/proxy/entry.hpp"

#include <boost/asio/experimental/concurrent_channel.hpp>

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace galenarudder::proxy {

/// What a session asks of its server.
struct session_context
{
    entry* shared = nullptr;
    const std::atomic<bool>* draining = nullptr;
    std::atomic<std::size_t>* open_calls = nullptr;
};

/// The deadline passed.
struct timer_fired
{
};

/// An attempt was answered or refused.
struct attempt_event
{
    std::size_t attempt = 0;
    link::exchange_event event;
};

/// The caller closed its connection.
struct caller_gone
{
};

/// The request's body cannot be completed.
struct body_failed
{
    support::refusal why;
};

using session_event =
    std::variant<timer_fired, attempt_event, caller_gone, body_failed>;

class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(boost::asio::ip::tcp::socket socket,
                   session_context context);

    /// Serves until the connection ends.
    boost::asio::awaitable<void> run();
    /// Safe from any thread: closes after the current call.
    void drain();

private:
    using event_channel = boost::asio::experimental::concurrent_channel<void(
        boost::system::error_code, session_event)>;

    struct open_attempt
    {
        link::exchange_ptr exchange;
        std::shared_ptr<link::gate_port> gate;
    };

    /// The call that is served.
    struct open_call
    {
        open_call(const routing::router& router,
                  classified_call accepted,
                  const boost::asio::any_io_executor& executor);

        /// Tells the session; dropped once the call ended.
        void post(session_event event);

        support::time_point deadline;
        call_flow flow;
        support::call_head head;
        event_channel events;
        boost::asio::steady_timer timer;
        std::vector<open_attempt> attempts;
        std::vector<link::body_chunk> kept_body;
        bool body_complete = false;
        support::time_point begun{};
        /// Keeps the call counted as open.
        std::shared_ptr<void> counted;
        /// The caller closed its connection.
        bool left = false;
        /// The call was given up.
        bool gone = false;
        std::shared_ptr<held_claim> claim;
        std::optional<support::refusal> refused;
        std::optional<std::size_t> forwarded;
        link::answered answer;
    };
    using call_ptr = std::shared_ptr<open_call>;
    using parser_ptr = std::shared_ptr<request_parser>;

    /// What was read of a body before the first attempt.
    struct early_body
    {
        std::string data;
        bool complete = false;
        std::optional<support::refusal> failure;
    };

    /// Counts a body against its route's limit.
    struct body_meter
    {
        std::uint64_t limit = 0;
        std::uint64_t read = 0;

        bool is_over(std::size_t more)
        {
            read += more;
            return read > limit;
        }
    };

    boost::asio::awaitable<bool> serve_one();
    bool may_run_beside(const request_parser& parser,
                        const classified_call& accepted) const;
    void start_beside(parser_ptr parser,
                      classified_call accepted,
                      std::shared_ptr<void> counted);
    boost::asio::awaitable<void> serve_beside(parser_ptr parser,
                                              call_ptr current);
    void give_up(const call_ptr& current);
    boost::asio::awaitable<void> earlier_ended();
    void abandon_open();
    void end_session();
    boost::asio::awaitable<bool> serve_call(parser_ptr parser,
                                            classified_call accepted);
    boost::asio::awaitable<early_body> read_early(parser_ptr parser,
                                                  body_meter& meter,
                                                  support::time_point deadline);
    boost::asio::awaitable<void> stream_body(parser_ptr parser,
                                             body_meter meter,
                                             call_ptr current,
                                             link::exchange_ptr into);
    boost::asio::awaitable<void>
    decide(parser_ptr parser, body_meter meter, call_ptr current);
    boost::asio::awaitable<bool>
    claim(parser_ptr parser, call_ptr current, support::time_point deadline);
    boost::asio::awaitable<bool>
    finish(parser_ptr parser, call_ptr current, support::time_point begun);
    void log_refusal(const open_call& refused, support::time_point begun) const;
    void take(const call_ptr& current, session_event& event);
    void abandon(const call_ptr& current, std::optional<support::refusal> why);
    void perform(const call_ptr& current, std::vector<call_action> actions);
    void send(const call_ptr& current, const send_attempt& wanted);
    void arm(const call_ptr& current, support::time_point at);
    void watch_caller(const call_ptr& current);
    void cancel(const open_attempt& attempt);
    boost::asio::awaitable<bool> refuse(const support::refusal& why,
                                        const request_parser& parser,
                                        bool keep_alive);
    answer_framing framing(const request_parser& parser, bool keep) const;
    bool may_keep_alive(const request_parser& parser) const;

    session_context context_;
    entry& entry_;
    /// The caller's address.
    std::string peer_;
    std::shared_ptr<caller_connection> connection_;
    /// The streamed body's attempt, once sent.
    link::exchange_ptr to_stream_;
    bool unread_body_ = false;
    /// Calls that run beside each other, the earliest first.
    std::deque<call_ptr> open_;
    /// Its waiters wake when a call of open_ has ended.
    boost::asio::steady_timer ended_;
    /// No further answer is written.
    bool closing_ = false;
};

} // namespace galenarudder::proxy
