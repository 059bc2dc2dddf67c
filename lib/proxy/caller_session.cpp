// One coroutine for each connection; a second one streams a large body.
// Aggregates are built in plain functions: g++ 12 destroys aggregate
// temporaries of a coroutine twice.
#include "caller_session.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <random>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using support::monotonic_clock;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;
using support::time_point;

namespace {

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
constexpr support::duration body_timeout = std::chrono::seconds(30);
/// Bodies up to this size are read before the first attempt, so that the
/// call can be sent again to another upstream.
constexpr std::size_t replay_limit_bytes = 64 * 1024;
/// More than all events of one call.
constexpr std::size_t event_channel_capacity = 16;

support::random_engine& thread_random()
{
    thread_local support::random_engine engine{std::random_device{}()};
    return engine;
}

support::call_head convert(const request_parser& parser)
{
    const auto& received = parser.get();
    support::call_head head;
    head.method = std::string(received.method_string());
    head.target = std::string(received.target());
    for (const auto& field : received) {
        head.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    if (parser.content_length())
        head.content_length = *parser.content_length();
    else if (!parser.chunked())
        head.content_length = 0;
    return head;
}

/// Splits a whole body into parts of a pipe.
std::vector<link::body_chunk> split_body(std::string_view whole, bool complete)
{
    std::vector<link::body_chunk> parts;
    while (whole.size() > link::max_body_part_bytes) {
        parts.push_back(
            {std::string(whole.substr(0, link::max_body_part_bytes)), false});
        whole.remove_prefix(link::max_body_part_bytes);
    }
    if (complete || !whole.empty())
        parts.push_back({std::string(whole), complete});
    return parts;
}

/// \p outcome is unknown once a part of the body may have reached an upstream.
refusal over_limit(std::uint64_t limit, run_outcome outcome)
{
    return {refusal_kind::body_too_large, outcome, true,
            support::milliseconds(0),
            "the route takes at most " + std::to_string(limit) + " bytes"};
}

refusal after_start(refusal why)
{
    why.outcome = run_outcome::unknown;
    return why;
}

refusal caller_left()
{
    return {refusal_kind::canceled, run_outcome::unknown, true,
            support::milliseconds(0), "the caller closed its connection"};
}

refusal left_before_start()
{
    return {refusal_kind::canceled, run_outcome::not_run, true,
            support::milliseconds(0), "the caller closed its connection"};
}

session_event failed_body(refusal why)
{
    return body_failed{std::move(why)};
}

std::string address_of(const tcp::socket& socket)
{
    boost::system::error_code ignored;
    return socket.remote_endpoint(ignored).address().to_string();
}

/// Counts a call while it is open, however it ends.
class open_call_count
{
public:
    explicit open_call_count(std::atomic<std::size_t>& count) : count_(count)
    {
        ++count_;
    }
    ~open_call_count() { --count_; }
    open_call_count(const open_call_count&) = delete;
    open_call_count& operator=(const open_call_count&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

} // namespace

caller_session::open_call::open_call(const routing::router& router,
                                     classified_call accepted,
                                     const asio::any_io_executor& executor)
    : deadline(accepted.terms.deadline),
      flow(router, std::move(accepted.terms)), head(std::move(accepted.head)),
      events(executor, event_channel_capacity), timer(executor)
{
}

void caller_session::open_call::post(session_event event)
{
    events.try_send(boost::system::error_code(), std::move(event));
}

caller_session::caller_session(tcp::socket socket, session_context context)
    : context_(context), entry_(*context.shared), peer_(address_of(socket)),
      connection_(std::make_shared<caller_connection>(
          std::move(socket), context.shared->dialect())),
      ended_(connection_->executor())
{
    ended_.expires_at(asio::steady_timer::time_point::max());
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    bool again = true;
    while (again && !closing_)
        again = co_await serve_one();
    if (connection_->closed_by_caller())
        abandon_open();
    co_await earlier_ended();
    co_await connection_->close(unread_body_);
}

void caller_session::drain()
{
    asio::post(connection_->executor(),
               [kept = connection_] { kept->drain(); });
}

bool caller_session::may_keep_alive(const request_parser& parser) const
{
    const bool more_to_answer = open_.size() > 1;
    return parser.get().keep_alive() && (more_to_answer || !*context_.draining);
}

answer_framing caller_session::framing(const request_parser& parser,
                                       bool keep) const
{
    const auto& request = parser.get();
    const unsigned version = request.version() == 10 ? 10 : 11;
    return {version, keep, request.method() == bhttp::verb::head};
}

asio::awaitable<bool> caller_session::refuse(const refusal& why,
                                             const request_parser& parser,
                                             bool keep_alive)
{
    const answer_framing how = framing(parser, keep_alive);
    const bool written = co_await connection_->write_refusal(why, how);
    co_return written&& keep_alive;
}

asio::awaitable<bool> caller_session::serve_one()
{
    connection_->set_limits(entry_.limits_of_callers());
    const bool begun = co_await connection_->wait_for_request(
        [this] { return !open_.empty(); });
    if (!begun)
        co_return false;
    auto parser = std::make_shared<request_parser>();
    const head_read found = co_await connection_->read_head(*parser);
    if (found.why) {
        co_await earlier_ended();
        if (closing_)
            co_return false;
        entry_.metrics().refused("", "", *found.why);
        unread_body_ = true;
        co_await refuse(*found.why, *parser, false);
        co_return false;
    }
    if (!found.ready)
        co_return false;
    auto counted = std::make_shared<open_call_count>(*context_.open_calls);
    const std::string host(parser->get()[bhttp::field::host]);
    classification decided =
        entry_.classify(convert(*parser), host, monotonic_clock::now(), peer_);
    if (auto* accepted = std::get_if<classified_call>(&decided)) {
        if (may_run_beside(*parser, *accepted)) {
            start_beside(parser, std::move(*accepted), std::move(counted));
            co_return true;
        }
    }
    co_await earlier_ended();
    if (closing_)
        co_return false;
    if (const auto* why = std::get_if<refusal>(&decided)) {
        entry_.metrics().refused("", "", *why);
        unread_body_ = !parser->is_done();
        const bool keep = !unread_body_ && may_keep_alive(*parser);
        const bool kept = co_await refuse(*why, *parser, keep);
        co_return kept;
    }
    const bool again = co_await serve_call(
        parser, std::move(std::get<classified_call>(decided)));
    co_await connection_->end_watch();
    unread_body_ = !parser->is_done();
    co_return again;
}

bool caller_session::may_run_beside(const request_parser& parser,
                                    const classified_call& accepted) const
{
    return accepted.terms.repeatable && accepted.head.key.empty() &&
           parser.content_length().value_or(0) == 0 && !parser.chunked();
}

void caller_session::start_beside(parser_ptr parser,
                                  classified_call accepted,
                                  std::shared_ptr<void> counted)
{
    auto current = std::make_shared<open_call>(
        entry_.router(), std::move(accepted), connection_->executor());
    current->body_complete = true;
    current->kept_body.push_back(link::make_chunk(std::string(), true));
    current->begun = monotonic_clock::now();
    current->counted = std::move(counted);
    open_.push_back(current);
    asio::co_spawn(
        connection_->executor(),
        [self = shared_from_this(), parser = std::move(parser),
         current]() -> asio::awaitable<void> {
            co_await self->serve_beside(parser, current);
        },
        asio::detached);
}

asio::awaitable<void> caller_session::serve_beside(parser_ptr parser,
                                                   call_ptr current)
{
    co_await decide(parser, body_meter(), current);
    current->timer.cancel();
    while (open_.front() != current)
        co_await ended_.async_wait(awaiting);
    bool again = false;
    if (closing_ || current->gone)
        give_up(current);
    else
        again = co_await finish(parser, current, current->begun);
    if (!again)
        end_session();
    open_.pop_front();
    ended_.cancel();
}

/// No answer can be written: the caller left, or the connection closes.
void caller_session::give_up(const call_ptr& current)
{
    perform(current, current->flow.on_caller_gone(monotonic_clock::now()));
    current->refused = caller_left();
    log_refusal(*current, current->begun);
    entry_.metrics().refused(current->head.service, current->head.rank,
                             *current->refused);
}

/// Waits until every call before the next has been answered or given up.
asio::awaitable<void> caller_session::earlier_ended()
{
    if (open_.empty())
        co_return;
    connection_->watch([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->abandon_open();
    });
    while (!open_.empty())
        co_await ended_.async_wait(awaiting);
    co_await connection_->end_watch();
}

void caller_session::abandon_open()
{
    closing_ = true;
    for (const call_ptr& one : open_) {
        one->left = true;
        one->post(caller_gone{});
        if (one->forwarded)
            one->attempts[*one->forwarded].exchange->answer.cut();
    }
}

/// The connection closes after the answer that was just written; calls behind
/// it count as not read, so that their caller sends them again.
void caller_session::end_session()
{
    if (closing_)
        return;
    closing_ = true;
    for (std::size_t behind = 1; behind < open_.size(); ++behind)
        open_[behind]->post(caller_gone{});
    connection_->stop_waiting();
}

/// Reads a small body whole, so that it can be sent again. Of a larger one
/// the first part is read.
asio::awaitable<caller_session::early_body> caller_session::read_early(
    parser_ptr parser, body_meter& meter, time_point deadline)
{
    early_body early;
    while (!early.complete && early.data.size() < replay_limit_bytes) {
        const support::duration patience =
            std::min(body_timeout, deadline - monotonic_clock::now());
        body_read read = co_await connection_->read_body_part(
            *parser, std::max(patience, support::duration(1)));
        if (!read.part) {
            early.failure = std::move(read.why);
            co_return early;
        }
        if (meter.is_over(read.part->data.size())) {
            early.failure = over_limit(meter.limit, run_outcome::not_run);
            co_return early;
        }
        early.complete = read.part->last;
        early.data += read.part->data;
    }
    co_return early;
}

asio::awaitable<bool> caller_session::serve_call(parser_ptr parser,
                                                 classified_call accepted)
{
    const time_point begun = monotonic_clock::now();
    body_meter meter;
    meter.limit = accepted.body_limit_bytes;
    const bool expects_continue =
        beast::iequals(parser->get()[bhttp::field::expect], "100-continue");
    if (expects_continue && !parser->is_done()) {
        const bool written = co_await connection_->write_continue();
        if (!written)
            co_return false;
    }
    early_body early =
        co_await read_early(parser, meter, accepted.terms.deadline);
    if (early.failure) {
        entry_.metrics().refused(accepted.head.service, accepted.head.rank,
                                 *early.failure);
        co_await refuse(*early.failure, *parser, false);
        co_return false;
    }
    accepted.terms.replayable = early.complete;
    const time_point deadline = accepted.terms.deadline;
    auto current = std::make_shared<open_call>(
        entry_.router(), std::move(accepted), connection_->executor());
    current->body_complete = early.complete;
    current->kept_body = split_body(early.data, early.complete);
    if (early.complete)
        watch_caller(current);
    const bool admitted = co_await claim(parser, current, deadline);
    if (!admitted)
        co_return current->body_complete&& may_keep_alive(*parser);
    if (!current->refused)
        co_await decide(parser, meter, current);
    current->timer.cancel();
    const bool again = co_await finish(parser, current, begun);
    co_return again;
}

/// Claims the call's key. False when the call ends here: its recorded outcome
/// was written, or its caller left before it was sent anywhere.
asio::awaitable<bool>
caller_session::claim(parser_ptr parser, call_ptr current, time_point deadline)
{
    claim_answer claimed = co_await entry_.claim(current->head, deadline);
    if (const auto* recorded = std::get_if<once::recorded_outcome>(&claimed)) {
        const bool keep = current->body_complete && may_keep_alive(*parser);
        const answer_framing how = framing(*parser, keep);
        const bool written =
            co_await connection_->write_recorded(*recorded, how);
        current->body_complete = current->body_complete && written;
        co_return false;
    }
    if (const auto* why = std::get_if<refusal>(&claimed))
        current->refused = *why;
    if (auto* held = std::get_if<std::shared_ptr<held_claim>>(&claimed))
        current->claim = std::move(*held);
    if (!current->left)
        co_return true;
    if (current->claim)
        current->claim->on_refusal(left_before_start());
    current->body_complete = false;
    co_return false;
}

void caller_session::log_refusal(const open_call& refused,
                                 time_point begun) const
{
    const refusal& why = *refused.refused;
    telemetry::log_event(
        telemetry::log_kind::failure, "call.refused",
        {{"call", name_of_call(refused.head, entry_.dialect())},
         {"service", refused.head.service},
         {"kind", to_string(why.kind)},
         {"outcome", to_string(why.outcome)},
         {"detail", why.detail},
         {"took_ms", support::to_ms(monotonic_clock::now() - begun)},
         {"attempts", refused.attempts.size()},
         {"retry_after_ms", why.retry_after.count()}});
}

asio::awaitable<bool>
caller_session::finish(parser_ptr parser, call_ptr current, time_point begun)
{
    const support::call_head& head = current->head;
    if (current->refused) {
        log_refusal(*current, begun);
        if (current->claim)
            current->claim->on_refusal(*current->refused);
        entry_.metrics().refused(head.service, head.rank, *current->refused);
        const bool keep = may_keep_alive(*parser) && current->body_complete;
        const bool kept = co_await refuse(*current->refused, *parser, keep);
        co_return kept;
    }
    if (!current->forwarded) {
        entry_.metrics().refused(head.service, head.rank, caller_left());
        co_return false;
    }
    const open_attempt& chosen = current->attempts[*current->forwarded];
    const bool sized = current->answer.head.content_length.has_value();
    const bool framed = sized || parser->get().version() >= 11;
    const bool keep =
        may_keep_alive(*parser) && current->body_complete && framed;
    const answer_framing how = framing(*parser, keep);
    const bool whole = co_await connection_->write_answer(
        current->answer.head, chosen.exchange, current->claim, how);
    current->flow.on_answer_end(whole, monotonic_clock::now());
    if (!whole) {
        cancel(chosen);
        co_return false;
    }
    const support::duration took = monotonic_clock::now() - begun;
    entry_.metrics().answered(head.service, head.rank, took);
    telemetry::log_event(telemetry::log_kind::routine, "call.answered",
                         {{"call", name_of_call(head, entry_.dialect())},
                          {"service", head.service},
                          {"status", current->answer.head.status},
                          {"took_ms", support::to_ms(took)},
                          {"attempts", current->attempts.size()}});
    co_return keep;
}

asio::awaitable<void>
caller_session::decide(parser_ptr parser, body_meter meter, call_ptr current)
{
    perform(current,
            current->flow.start(monotonic_clock::now(), thread_random()));
    if (to_stream_) {
        asio::co_spawn(
            connection_->executor(),
            [self = shared_from_this(), parser, meter, current,
             into = std::move(to_stream_)]() -> asio::awaitable<void> {
                co_await self->stream_body(parser, meter, current, into);
            },
            asio::detached);
        to_stream_ = nullptr;
    }
    while (!current->refused && !current->forwarded && !current->gone) {
        auto [failed, event] = co_await current->events.async_receive(awaiting);
        if (failed)
            co_return;
        take(current, event);
    }
}

void caller_session::take(const call_ptr& current, session_event& event)
{
    const time_point now = monotonic_clock::now();
    if (std::holds_alternative<timer_fired>(event))
        return perform(current, current->flow.on_timer(now, thread_random()));
    if (std::holds_alternative<caller_gone>(event))
        return abandon(current, std::nullopt);
    if (auto* broken = std::get_if<body_failed>(&event))
        return abandon(current, std::move(broken->why));
    auto& [attempt, what] = std::get<attempt_event>(event);
    if (auto* begun = std::get_if<link::answered>(&what)) {
        current->answer = std::move(*begun);
        return perform(current,
                       current->flow.on_answer(attempt, current->answer.load,
                                               current->answer.head.status, now,
                                               thread_random()));
    }
    const auto& ended = std::get<link::refused>(what);
    telemetry::log_event(
        telemetry::log_kind::failure, "attempt.refused",
        {{"call", name_of_call(current->head, entry_.dialect())},
         {"attempt", attempt},
         {"kind", to_string(ended.why.kind)},
         {"outcome", to_string(ended.why.outcome)},
         {"detail", ended.why.detail}});
    perform(current, current->flow.on_refusal(attempt, ended.why, ended.load,
                                              now, thread_random()));
}

/// Gives the call up because of its caller.
void caller_session::abandon(const call_ptr& current,
                             std::optional<refusal> why)
{
    perform(current, current->flow.on_caller_gone(monotonic_clock::now()));
    current->gone = true;
    current->refused = std::move(why);
}

void caller_session::perform(const call_ptr& current,
                             std::vector<call_action> actions)
{
    for (call_action& action : actions) {
        if (const auto* wanted = std::get_if<send_attempt>(&action))
            send(current, *wanted);
        else if (const auto* dropped = std::get_if<cancel_attempt>(&action))
            cancel(current->attempts[dropped->attempt]);
        else if (const auto* chosen = std::get_if<forward_answer>(&action))
            current->forwarded = chosen->attempt;
        else if (auto* ended = std::get_if<refuse_call>(&action))
            current->refused = std::move(ended->why);
        else if (const auto* armed = std::get_if<arm_timer>(&action))
            arm(current, armed->at);
    }
}

void caller_session::arm(const call_ptr& current, time_point at)
{
    current->timer.expires_at(
        std::chrono::steady_clock::time_point(at.time_since_epoch()));
    current->timer.async_wait([current](boost::system::error_code canceled) {
        if (!canceled)
            current->post(timer_fired{});
    });
}

void caller_session::cancel(const open_attempt& attempt)
{
    attempt.gate->cancel(attempt.exchange);
    attempt.exchange->request.cut();
    attempt.exchange->answer.cut();
}

void caller_session::send(const call_ptr& current, const send_attempt& wanted)
{
    support::call_head head = current->head;
    head.id = entry_.next_call_id();
    head.movable = wanted.movable;
    head.remaining = std::chrono::floor<support::milliseconds>(
        current->deadline - monotonic_clock::now());
    auto exchange = std::make_shared<link::exchange>(std::move(head),
                                                     connection_->executor());
    const std::weak_ptr<open_call> weak = current;
    exchange->deliver = [weak,
                         attempt = wanted.attempt](link::exchange_event what) {
        if (const auto kept = weak.lock())
            kept->post(attempt_event{attempt, std::move(what)});
    };
    std::shared_ptr<link::gate_port> gate = entry_.gate(wanted.target);
    telemetry::log_event(
        telemetry::log_kind::routine, "attempt.sent",
        {{"call", name_of_call(exchange->head, entry_.dialect())},
         {"attempt", wanted.attempt},
         {"upstream", wanted.target.member},
         {"service", exchange->head.service},
         {"remaining_ms", exchange->head.remaining.count()}});
    current->attempts.push_back({exchange, gate});
    for (const link::body_chunk& part : current->kept_body)
        exchange->request.try_write(part);
    if (!current->body_complete)
        to_stream_ = exchange;
    gate->submit(std::move(exchange));
}

/// While the call waits, or its answer is written.
void caller_session::watch_caller(const call_ptr& current)
{
    connection_->watch([weak = std::weak_ptr<open_call>(current)] {
        const auto kept = weak.lock();
        if (!kept)
            return;
        kept->left = true;
        kept->post(caller_gone{});
        if (kept->forwarded)
            kept->attempts[*kept->forwarded].exchange->answer.cut();
    });
}

asio::awaitable<void> caller_session::stream_body(parser_ptr parser,
                                                  body_meter meter,
                                                  call_ptr current,
                                                  link::exchange_ptr into)
{
    for (;;) {
        body_read read =
            co_await connection_->read_body_part(*parser, body_timeout);
        const bool over = read.part && meter.is_over(read.part->data.size());
        if (!read.part || over) {
            // The upstream must not take what came so far for the whole.
            into->request.cut();
            current->post(
                failed_body(over ? over_limit(meter.limit, run_outcome::unknown)
                                 : after_start(std::move(read.why))));
            co_return;
        }
        const bool last = read.part->last;
        const bool taken = co_await into->request.write(std::move(*read.part));
        if (!taken)
            co_return;
        if (!last)
            continue;
        current->body_complete = true;
        if (!current->refused && !current->gone)
            watch_caller(current);
        co_return;
    }
}

} // namespace galenarudder::proxy
