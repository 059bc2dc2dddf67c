// One coroutine serves each connection; further ones stream large bodies and
// run concurrent calls. Aggregates are built in plain functions because g++ 12
// destroys aggregate temporaries of a coroutine twice.
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

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr support::duration body_part_timeout = std::chrono::seconds(30);
/// Bodies up to this size are read completely before the first attempt, so that
/// the call can be sent again to another upstream.
constexpr std::size_t max_replayable_body_bytes = 64 * 1024;
/// More than the number of events of one call.
constexpr std::size_t event_channel_capacity = 16;
/// Time after the deadline of a canceled call within which its gate states
/// whether an attempt ran. Links wait up to 2 s for that after they broke.
constexpr support::duration claim_settle_time = std::chrono::seconds(3);

support::random_engine& thread_random_engine()
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

/// Splits the bytes of a body into parts of the size that body pipes carry.
std::vector<link::body_chunk> split_body(std::string_view body, bool complete)
{
    std::vector<link::body_chunk> parts;
    while (body.size() > link::max_body_part_bytes) {
        parts.push_back(
            {std::string(body.substr(0, link::max_body_part_bytes)), false});
        body.remove_prefix(link::max_body_part_bytes);
    }
    if (complete || !body.empty())
        parts.push_back({std::string(body), complete});
    return parts;
}

/// \p outcome must be unknown if a part of the body may have reached an
/// upstream.
refusal body_too_large(std::uint64_t limit, run_outcome outcome)
{
    return {refusal_kind::body_too_large, outcome, true,
            support::milliseconds(0),
            "the route takes at most " + std::to_string(limit) + " bytes"};
}

refusal with_unknown_outcome(refusal reason)
{
    reason.outcome = run_outcome::unknown;
    return reason;
}

refusal caller_disconnected_refusal(run_outcome outcome)
{
    return {refusal_kind::canceled, outcome, true, support::milliseconds(0),
            "the caller closed its connection"};
}

refusal dropped_refusal(run_outcome outcome)
{
    return {refusal_kind::canceled, outcome, true, support::milliseconds(0),
            "an earlier response closed the connection"};
}

refusal disconnected_before_start()
{
    return caller_disconnected_refusal(run_outcome::not_run);
}

session_event make_body_failed_event(refusal reason)
{
    return body_failed{std::move(reason)};
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
    : deadline(accepted.properties.deadline),
      in_time_until(accepted.head.time_until_late
                        ? accepted.properties.in_time_until
                        : time_point::max()),
      flow(router, std::move(accepted.properties)),
      head(std::move(accepted.head)), events(executor, event_channel_capacity),
      timer(executor), key_digest(std::move(accepted.key_digest))
{
}

void caller_session::open_call::post(session_event event)
{
    events.try_send(boost::system::error_code(), std::move(event));
}

caller_session::caller_session(tcp::socket socket, session_context context)
    : context_(context), entry_(*context.shared_entry),
      caller_address_(address_of(socket)),
      connection_(
          std::make_shared<caller_connection>(std::move(socket),
                                              context.shared_entry->dialect(),
                                              context.read_ahead)),
      body_stream_(connection_->executor()),
      call_ended_(connection_->executor())
{
    call_ended_.expires_at(asio::steady_timer::time_point::max());
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    bool keep_open = true;
    while (keep_open && !closing_)
        keep_open = co_await serve_next();
    if (connection_->closed_by_caller())
        abandon_concurrent_calls();
    co_await wait_for_concurrent_calls();
}

asio::awaitable<void> caller_session::close()
{
    const auto self = shared_from_this();
    const bool more_may_follow = unread_body_ || last_response_framed_;
    co_await connection_->close(more_may_follow);
}

void caller_session::drain()
{
    asio::post(connection_->executor(),
               [connection = connection_] { connection->drain(); });
}

void caller_session::bound_deadlines(time_point latest)
{
    asio::post(connection_->executor(), [self = shared_from_this(), latest] {
        for (const call_ptr& call : self->concurrent_calls_)
            self->bound_deadline(call, latest);
        if (const call_ptr exclusive = self->exclusive_call_.lock())
            self->bound_deadline(exclusive, latest);
    });
}

void caller_session::bound_deadline(const call_ptr& call, time_point latest)
{
    call->deadline = std::min(call->deadline, latest);
    call->flow.bound_deadline(latest);
    // Arms the timer anew.
    call->post(timer_fired{});
}

bool caller_session::may_keep_alive(const request_parser& parser) const
{
    const bool more_responses_follow = concurrent_calls_.size() > 1;
    return parser.get().keep_alive() &&
           (more_responses_follow || !*context_.draining);
}

response_framing caller_session::frame_response(const request_parser& parser,
                                                bool keep_alive)
{
    last_response_framed_ = last_response_framed_ || !keep_alive;
    const auto& request = parser.get();
    const unsigned version = request.version() == 10 ? 10 : 11;
    return {version, keep_alive, request.method() == bhttp::verb::head};
}

asio::awaitable<bool> caller_session::write_refusal(
    const refusal& reason, const request_parser& parser, bool keep_alive)
{
    const response_framing framing = frame_response(parser, keep_alive);
    const bool written = co_await connection_->write_refusal(reason, framing);
    co_return written&& keep_alive;
}

asio::awaitable<bool> caller_session::serve_next()
{
    connection_->set_limits(entry_.current_caller_limits());
    const bool request_begun = co_await connection_->wait_for_request(
        [this] { return !concurrent_calls_.empty(); });
    if (!request_begun)
        co_return false;
    auto parser = std::make_shared<request_parser>();
    const head_result head = co_await connection_->read_head(*parser);
    if (head.refusal) {
        co_await wait_for_concurrent_calls();
        if (closing_)
            co_return false;
        entry_.metrics().record_refusal("", "", *head.refusal);
        unread_body_ = true;
        co_await write_refusal(*head.refusal, *parser, false);
        co_return false;
    }
    if (!head.ready || last_response_framed_)
        co_return false;
    auto open_count_guard =
        std::make_shared<open_call_count>(*context_.open_calls);
    const std::string host(parser->get()[bhttp::field::host]);
    classification result = entry_.classify(
        convert(*parser), host, monotonic_clock::now(), caller_address_);
    if (auto* accepted = std::get_if<classified_call>(&result)) {
        if (parser->is_done() && connection_->has_closed()) {
            log_left_before_start(*accepted);
            co_return false;
        }
        if (may_run_concurrently(*parser, *accepted)) {
            start_concurrent(parser, std::move(*accepted),
                             std::move(open_count_guard));
            co_return true;
        }
    }
    co_await wait_for_concurrent_calls();
    if (closing_)
        co_return false;
    if (const auto* reason = std::get_if<refusal>(&result)) {
        entry_.metrics().record_refusal("", "", *reason);
        unread_body_ = !parser->is_done();
        const bool keep_alive = !unread_body_ && may_keep_alive(*parser);
        const bool kept_open =
            co_await write_refusal(*reason, *parser, keep_alive);
        co_return kept_open;
    }
    const bool keep_open = co_await serve_exclusive(
        parser, std::move(std::get<classified_call>(result)));
    co_await connection_->stop_watching();
    unread_body_ = !parser->is_done();
    co_return keep_open;
}

/// Logs a call whose caller left before it was sent to an upstream: this
/// process read the request late.
void caller_session::log_left_before_start(const classified_call& call) const
{
    const refusal reason = disconnected_before_start();
    entry_.metrics().record_refusal(call.head.service, call.head.rank, reason);
    telemetry::log_event(telemetry::log_kind::failure, "call.refused",
                         {{"call", request_id_of(call.head, entry_.dialect())},
                          {"service", call.head.service},
                          {"kind", to_string(reason.kind)},
                          {"outcome", to_string(reason.outcome)},
                          {"detail", reason.detail},
                          {"took_ms", 0.0},
                          {"attempts", 0U},
                          {"retry_after_ms", 0U}});
}

bool caller_session::may_run_concurrently(const request_parser& parser,
                                          const classified_call& accepted) const
{
    return accepted.properties.repeatable &&
           accepted.head.idempotency_key.empty() &&
           parser.content_length().value_or(0) == 0 && !parser.chunked();
}

void caller_session::start_concurrent(parser_ptr parser,
                                      classified_call accepted,
                                      std::shared_ptr<void> open_count_guard)
{
    auto call = std::make_shared<open_call>(
        entry_.router(), std::move(accepted), connection_->executor());
    call->body_complete = true;
    call->buffered_body.push_back(link::make_chunk(std::string(), true));
    call->started_at = monotonic_clock::now();
    call->open_count_guard = std::move(open_count_guard);
    concurrent_calls_.push_back(call);
    asio::co_spawn(
        connection_->executor(),
        [self = shared_from_this(), parser = std::move(parser),
         call]() -> asio::awaitable<void> {
            co_await self->serve_concurrent(parser, call);
        },
        asio::detached);
}

asio::awaitable<void> caller_session::serve_concurrent(parser_ptr parser,
                                                       call_ptr call)
{
    if (!call->head.organisation.empty())
        co_await apply_organisation_limit(call);
    if (!may_get_response(call)) {
        give_back_token(call);
        call->abandoned = true;
    }
    if (!call->refusal && !call->abandoned)
        co_await run_attempts(parser, body_size_counter(), call);
    call->timer.cancel();
    while (concurrent_calls_.front() != call)
        co_await call_ended_.async_wait(use_nothrow_awaitable);
    bool keep_open = false;
    if (closing_ || call->abandoned)
        drop_call(call);
    else
        keep_open = co_await finish_call(parser, call);
    if (!keep_open)
        close_after_response();
    concurrent_calls_.pop_front();
    call_ended_.cancel();
}

/// Returns whether a response to a call that was not sent yet can be written.
/// While the limit of an organisation was asked, the caller may have left
/// without this process having read that.
bool caller_session::may_get_response(const call_ptr& call)
{
    if (!call->head.organisation.empty() && connection_->has_closed())
        call->disconnected = true;
    return !call->disconnected && !closing_;
}

/// Ends a call to which no response can be written, because the caller
/// disconnected or the connection is being closed.
void caller_session::drop_call(const call_ptr& call)
{
    perform(call, call->flow.on_caller_disconnected(monotonic_clock::now()));
    const run_outcome outcome =
        call->attempts.empty() ? run_outcome::not_run : run_outcome::unknown;
    call->refusal = call->disconnected ? caller_disconnected_refusal(outcome)
                                       : dropped_refusal(outcome);
    log_refusal(*call);
    entry_.metrics().record_refusal(call->head.service, call->head.rank,
                                    *call->refusal);
}

/// Waits until the gates have stated how the attempts of a canceled call ended,
/// and records a call that certainly did not run as such, so that its key is
/// free.
asio::awaitable<void> caller_session::settle_claim(call_ptr call)
{
    // A drain may move the deadline meanwhile.
    const auto expired = [&call] {
        return monotonic_clock::now() >= call->deadline + claim_settle_time;
    };
    while (!call->flow.outcome_of_attempts() && !expired()) {
        set_call_timer(call, call->deadline + claim_settle_time);
        auto [failure, event] =
            co_await call->events.async_receive(use_nothrow_awaitable);
        if (!failure && std::holds_alternative<attempt_event>(event))
            handle_event(call, event);
    }
    call->timer.cancel();
    const run_outcome outcome =
        call->flow.outcome_of_attempts().value_or(run_outcome::unknown);
    call->claim->on_refusal(caller_disconnected_refusal(outcome));
    if (outcome == run_outcome::not_run)
        give_back_token(call);
}

/// Waits until every call of concurrent_calls_ was answered or dropped.
asio::awaitable<void> caller_session::wait_for_concurrent_calls()
{
    if (concurrent_calls_.empty())
        co_return;
    connection_->watch_for_close([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->abandon_concurrent_calls();
    });
    while (!concurrent_calls_.empty())
        co_await call_ended_.async_wait(use_nothrow_awaitable);
    co_await connection_->stop_watching();
}

void caller_session::abandon_concurrent_calls()
{
    closing_ = true;
    for (const call_ptr& call : concurrent_calls_) {
        call->disconnected = true;
        call->post(caller_disconnected{});
        if (call->forwarded_attempt)
            call->attempts[*call->forwarded_attempt]
                .exchange->response_body.abort();
    }
}

/// Closes the connection after the response that was just written. Later calls
/// on it get no response, so that their caller sends them again.
void caller_session::close_after_response()
{
    if (closing_)
        return;
    closing_ = true;
    for (std::size_t index = 1; index < concurrent_calls_.size(); ++index)
        concurrent_calls_[index]->post(caller_disconnected{});
    connection_->stop_waiting();
}

/// Reads a small body completely, so that it can be sent again, and the first
/// part of a larger one.
asio::awaitable<caller_session::initial_body> caller_session::read_initial_body(
    parser_ptr parser, body_size_counter& size_counter, time_point deadline)
{
    initial_body initial;
    while (!initial.complete &&
           initial.data.size() < max_replayable_body_bytes) {
        const support::duration timeout =
            std::min(body_part_timeout, deadline - monotonic_clock::now());
        body_result read_result = co_await connection_->read_body_part(
            *parser, std::max(timeout, support::duration(1)));
        if (!read_result.part) {
            initial.failure = std::move(read_result.refusal);
            co_return initial;
        }
        if (size_counter.add_exceeds_limit(read_result.part->data.size())) {
            initial.failure =
                body_too_large(size_counter.limit_bytes, run_outcome::not_run);
            co_return initial;
        }
        initial.complete = read_result.part->last;
        initial.data += read_result.part->data;
    }
    co_return initial;
}

asio::awaitable<bool> caller_session::serve_exclusive(parser_ptr parser,
                                                      classified_call accepted)
{
    const time_point started_at = monotonic_clock::now();
    body_size_counter size_counter;
    size_counter.limit_bytes = accepted.body_limit_bytes;
    const bool expects_continue =
        beast::iequals(parser->get()[bhttp::field::expect], "100-continue");
    if (expects_continue && !parser->is_done()) {
        const bool written = co_await connection_->write_continue();
        if (!written)
            co_return false;
    }
    initial_body initial = co_await read_initial_body(
        parser, size_counter, accepted.properties.deadline);
    if (initial.failure) {
        entry_.metrics().record_refusal(accepted.head.service,
                                        accepted.head.rank, *initial.failure);
        co_await write_refusal(*initial.failure, *parser, false);
        co_return false;
    }
    if (initial.complete && connection_->has_closed()) {
        log_left_before_start(accepted);
        co_return false;
    }
    accepted.properties.replayable = initial.complete;
    // The bound may have been set while the body was read.
    const time_point deadline =
        std::min(accepted.properties.deadline, entry_.latest_deadline());
    accepted.properties.deadline = deadline;
    auto call = std::make_shared<open_call>(
        entry_.router(), std::move(accepted), connection_->executor());
    call->started_at = started_at;
    call->body_complete = initial.complete;
    call->buffered_body = split_body(initial.data, initial.complete);
    exclusive_call_ = call;
    if (initial.complete)
        watch_caller(call);
    else
        connection_->watch_between_reads(make_close_handler(call));
    if (!call->head.organisation.empty())
        co_await apply_organisation_limit(call);
    // A refused call makes no claim: claims cost writes to the store.
    const bool call_continues =
        call->refusal || co_await claim(parser, call, deadline);
    if (!call_continues) {
        give_back_token(call);
        co_return call->body_complete&& may_keep_alive(*parser);
    }
    if (!call->refusal)
        co_await run_attempts(parser, size_counter, call);
    call->timer.cancel();
    const bool keep_open = co_await finish_call(parser, call);
    co_await stop_body_stream();
    if (call->claim && call->abandoned)
        co_await settle_claim(call);
    co_return keep_open;
}

/// Stops reading the body of a call that has ended. Only then may the
/// connection be read for another purpose.
asio::awaitable<void> caller_session::stop_body_stream()
{
    if (body_stream_.running()) {
        stream_target_->request_body.abort();
        connection_->stop_reading();
        co_await body_stream_.join();
    }
    stream_target_ = nullptr;
}

/// Takes a token for the call, or refuses it.
asio::awaitable<void> caller_session::apply_organisation_limit(call_ptr call)
{
    limit_result result = co_await entry_.admit(call->head);
    if (const auto* reason = std::get_if<refusal>(&result))
        call->refusal = *reason;
    if (const auto* taken = std::get_if<organisations::token>(&result))
        call->token = *taken;
}

/// Returns the token of a call that certainly did not run.
void caller_session::give_back_token(const call_ptr& call)
{
    if (call->token)
        entry_.give_back(*call->token);
    call->token.reset();
}

/// Claims the call's idempotency key. Returns false if the call has ended: the
/// recorded response was written, or the caller disconnected before the call
/// was sent to an upstream.
asio::awaitable<bool>
caller_session::claim(parser_ptr parser, call_ptr call, time_point deadline)
{
    if (!may_get_response(call)) {
        call->body_complete = false;
        co_return false;
    }
    claim_result result =
        co_await entry_.claim(call->head, call->key_digest, deadline);
    if (const auto* recorded = std::get_if<once::recorded_outcome>(&result)) {
        const bool keep_alive = call->body_complete && may_keep_alive(*parser);
        const response_framing framing = frame_response(*parser, keep_alive);
        const bool written =
            co_await connection_->write_recorded(*recorded, framing);
        call->body_complete = call->body_complete && written;
        co_return false;
    }
    if (const auto* reason = std::get_if<refusal>(&result))
        call->refusal = *reason;
    if (auto* admitted_claim =
            std::get_if<std::shared_ptr<held_claim>>(&result))
        call->claim = std::move(*admitted_claim);
    if (may_get_response(call))
        co_return true;
    if (call->claim)
        call->claim->on_refusal(disconnected_before_start());
    call->body_complete = false;
    co_return false;
}

void caller_session::log_refusal(const open_call& call) const
{
    const refusal& reason = *call.refusal;
    telemetry::log_event(
        telemetry::log_kind::failure, "call.refused",
        {{"call", request_id_of(call.head, entry_.dialect())},
         {"service", call.head.service},
         {"kind", to_string(reason.kind)},
         {"outcome", to_string(reason.outcome)},
         {"detail", reason.detail},
         {"took_ms", support::to_ms(monotonic_clock::now() - call.started_at)},
         {"attempts", call.attempts.size()},
         {"retry_after_ms", reason.retry_after.count()}});
}

asio::awaitable<bool> caller_session::finish_call(parser_ptr parser,
                                                  call_ptr call)
{
    const support::call_head& head = call->head;
    if (call->refusal) {
        log_refusal(*call);
        if (call->claim && !call->abandoned)
            call->claim->on_refusal(*call->refusal);
        if (call->refusal->outcome == run_outcome::not_run)
            give_back_token(call);
        entry_.metrics().record_refusal(head.service, head.rank,
                                        *call->refusal);
        const bool keep_alive = may_keep_alive(*parser) && call->body_complete;
        const bool kept_open =
            co_await write_refusal(*call->refusal, *parser, keep_alive);
        co_return kept_open;
    }
    if (!call->forwarded_attempt) {
        drop_call(call);
        co_return false;
    }
    const open_attempt& chosen_attempt =
        call->attempts[*call->forwarded_attempt];
    const bool has_length = call->response.head.content_length.has_value();
    const bool self_delimiting = has_length || parser->get().version() >= 11;
    const bool keep_alive =
        may_keep_alive(*parser) && call->body_complete && self_delimiting;
    const response_framing framing = frame_response(*parser, keep_alive);
    const bool complete = co_await connection_->write_response(
        call->response.head, chosen_attempt.exchange, call->claim, framing);
    call->flow.on_response_end(complete, monotonic_clock::now());
    const support::duration elapsed = monotonic_clock::now() - call->started_at;
    if (!complete) {
        telemetry::log_event(telemetry::log_kind::failure, "call.cut_off",
                             {{"call", request_id_of(head, entry_.dialect())},
                              {"service", head.service},
                              {"status", call->response.head.status},
                              {"caller_left", call->disconnected},
                              {"took_ms", support::to_ms(elapsed)}});
        cancel(chosen_attempt);
        // The end of the connection would end the body of this response.
        if (!self_delimiting)
            connection_->reset_on_close();
        co_return false;
    }
    entry_.metrics().record_response(head.service, head.rank, elapsed);
    call->flow.on_bytes(head.content_length.value_or(0) +
                        call->response.head.content_length.value_or(0));
    telemetry::log_event(telemetry::log_kind::routine, "call.answered",
                         {{"call", request_id_of(head, entry_.dialect())},
                          {"service", head.service},
                          {"status", call->response.head.status},
                          {"took_ms", support::to_ms(elapsed)},
                          {"attempts", call->attempts.size()}});
    co_return keep_alive;
}

asio::awaitable<void> caller_session::run_attempts(
    parser_ptr parser, body_size_counter size_counter, call_ptr call)
{
    perform(call,
            call->flow.start(monotonic_clock::now(), thread_random_engine()));
    if (stream_target_) {
        body_stream_.start(
            [self = shared_from_this(), parser, size_counter, call,
             exchange = stream_target_]() -> asio::awaitable<void> {
                co_await self->stream_body(parser, size_counter, call,
                                           exchange);
            });
    }
    while (!call->refusal && !call->forwarded_attempt && !call->abandoned) {
        auto [failure, event] =
            co_await call->events.async_receive(use_nothrow_awaitable);
        if (failure)
            co_return;
        handle_event(call, event);
    }
}

void caller_session::handle_event(const call_ptr& call, session_event& event)
{
    const time_point now = monotonic_clock::now();
    if (std::holds_alternative<timer_fired>(event))
        return perform(call, call->flow.on_timer(now, thread_random_engine()));
    if (std::holds_alternative<caller_disconnected>(event))
        return abandon_call(call, std::nullopt);
    if (auto* failed_body = std::get_if<body_failed>(&event))
        return abandon_call(call, std::move(failed_body->refusal));
    auto& [attempt, exchange_event] = std::get<attempt_event>(event);
    if (auto* answered = std::get_if<link::answered>(&exchange_event)) {
        call->response = std::move(*answered);
        return perform(call,
                       call->flow.on_response(attempt, call->response.load,
                                              call->response.head.status, now,
                                              thread_random_engine()));
    }
    const auto& refused = std::get<link::refused>(exchange_event);
    telemetry::log_event(telemetry::log_kind::failure, "attempt.refused",
                         {{"call", request_id_of(call->head, entry_.dialect())},
                          {"attempt", attempt},
                          {"kind", to_string(refused.refusal.kind)},
                          {"outcome", to_string(refused.refusal.outcome)},
                          {"detail", refused.refusal.detail}});
    perform(call, call->flow.on_refusal(attempt, refused.refusal, refused.load,
                                        now, thread_random_engine()));
}

/// Cancels a call whose caller disconnected or did not send the complete body.
void caller_session::abandon_call(const call_ptr& call,
                                  std::optional<refusal> reason)
{
    perform(call, call->flow.on_caller_disconnected(monotonic_clock::now()));
    call->abandoned = true;
    call->refusal = std::move(reason);
}

void caller_session::perform(const call_ptr& call,
                             std::vector<call_action> actions)
{
    for (call_action& action : actions) {
        if (const auto* to_send = std::get_if<send_attempt>(&action))
            submit_attempt(call, *to_send);
        else if (const auto* to_cancel = std::get_if<cancel_attempt>(&action))
            cancel(call->attempts[to_cancel->attempt]);
        else if (const auto* to_forward =
                     std::get_if<forward_response>(&action))
            call->forwarded_attempt = to_forward->attempt;
        else if (auto* to_refuse = std::get_if<refuse_call>(&action))
            call->refusal = std::move(to_refuse->refusal);
        else if (const auto* timer = std::get_if<arm_timer>(&action))
            set_call_timer(call, timer->expiry);
    }
}

void caller_session::set_call_timer(const call_ptr& call, time_point expiry)
{
    call->timer.expires_at(
        std::chrono::steady_clock::time_point(expiry.time_since_epoch()));
    call->timer.async_wait([call](boost::system::error_code canceled) {
        if (!canceled)
            call->post(timer_fired{});
    });
}

void caller_session::cancel(const open_attempt& attempt)
{
    attempt.gate->cancel(attempt.exchange);
    attempt.exchange->request_body.abort();
    attempt.exchange->response_body.abort();
}

void caller_session::submit_attempt(const call_ptr& call,
                                    const send_attempt& action)
{
    support::call_head head = call->head;
    head.id = entry_.next_attempt_id();
    head.may_hand_back = action.may_hand_back;
    head.remaining_time = std::chrono::floor<support::milliseconds>(
        call->deadline - monotonic_clock::now());
    auto exchange = std::make_shared<link::exchange>(std::move(head),
                                                     connection_->executor());
    exchange->deadline = call->deadline;
    exchange->in_time_until = call->in_time_until;
    const std::weak_ptr<open_call> weak = call;
    exchange->deliver = [weak,
                         attempt = action.attempt](link::exchange_event event) {
        if (const auto receiver = weak.lock())
            receiver->post(attempt_event{attempt, std::move(event)});
    };
    std::shared_ptr<link::gate_interface> gate = entry_.gate(action.target);
    telemetry::log_event(
        telemetry::log_kind::routine, "attempt.sent",
        {{"call", request_id_of(exchange->head, entry_.dialect())},
         {"attempt", action.attempt},
         {"upstream", action.target.member},
         {"service", exchange->head.service},
         {"remaining_ms", exchange->head.remaining_time.count()}});
    call->attempts.push_back({exchange, gate});
    for (const link::body_chunk& part : call->buffered_body)
        exchange->request_body.try_write(part);
    if (!call->body_complete)
        stream_target_ = exchange;
    gate->submit(std::move(exchange));
}

/// Cancels the call if its caller closes the connection while the call waits or
/// its response is written.
void caller_session::watch_caller(const call_ptr& call)
{
    connection_->watch_for_close(make_close_handler(call));
}

std::function<void()> caller_session::make_close_handler(const call_ptr& call)
{
    return [weak = std::weak_ptr<open_call>(call)] {
        const auto watched = weak.lock();
        if (!watched)
            return;
        watched->disconnected = true;
        watched->post(caller_disconnected{});
        if (watched->forwarded_attempt)
            watched->attempts[*watched->forwarded_attempt]
                .exchange->response_body.abort();
    };
}

asio::awaitable<void>
caller_session::stream_body(parser_ptr parser,
                            body_size_counter size_counter,
                            call_ptr call,
                            link::exchange_ptr exchange)
{
    for (;;) {
        body_result read_result =
            co_await connection_->read_body_part(*parser, body_part_timeout);
        const bool over_limit =
            read_result.part &&
            size_counter.add_exceeds_limit(read_result.part->data.size());
        if (!read_result.part || over_limit) {
            // The upstream must not take the parts sent so far for the complete
            // body.
            exchange->request_body.abort();
            call->post(make_body_failed_event(
                over_limit
                    ? body_too_large(size_counter.limit_bytes,
                                     run_outcome::unknown)
                    : with_unknown_outcome(std::move(read_result.refusal))));
            co_return;
        }
        const bool last = read_result.part->last;
        const bool written =
            co_await exchange->request_body.write(std::move(*read_result.part));
        if (!written)
            co_return;
        if (!last)
            continue;
        call->body_complete = true;
        if (!call->refusal && !call->abandoned)
            watch_caller(call);
        co_return;
    }
}

} // namespace galenarudder::proxy
