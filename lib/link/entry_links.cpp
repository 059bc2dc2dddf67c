// The entry's side of links: opens them, sends calls, and asks the gate for the
// outcome of calls whose link broke.
#include "entry_links.hpp"

#include "galenarudder/link/handshake.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace galenarudder::link {

using support::attempt_id;
using support::member_id;
using support::refusal_kind;
using support::run_outcome;
using support::time_point;

namespace {

/// Bounds of the time between attempts to open a link. The first failure waits
/// for up to min_backoff; each further one doubles the time.
constexpr support::milliseconds min_backoff{50};
constexpr support::milliseconds max_backoff{1000};
constexpr unsigned max_backoff_doublings = 5;

/// Longest time that a caller waits to learn whether its call ran.
constexpr support::milliseconds outcome_timeout{2000};

exchange_event link_broken(run_outcome outcome, std::string detail)
{
    return refused{{refusal_kind::link_broken, outcome, false,
                    support::milliseconds(0), std::move(detail)},
                   {}};
}

exchange_event gate_not_reached(const member_id& member)
{
    return link_broken(run_outcome::not_run,
                       "no link to the gate of " + member);
}

exchange_event canceled_before_sending()
{
    return refused{{refusal_kind::canceled, run_outcome::not_run, true,
                    support::milliseconds(0),
                    "the call was canceled before it was sent"},
                   {}};
}

exchange_event deadline_passed(const member_id& member)
{
    return refused{
        {refusal_kind::deadline_exceeded, run_outcome::not_run, false,
         support::milliseconds(0),
         "the deadline passed before the call was sent to " + member},
        {}};
}

exchange_event not_started(const member_id& member)
{
    return link_broken(run_outcome::not_run,
                       "the link to " + member +
                           " broke before the call started");
}

exchange_event outcome_unknown(const member_id& member)
{
    return link_broken(run_outcome::unknown,
                       "the link to " + member + " broke");
}

} // namespace

entry_links::entry_links(std::shared_ptr<const link_context> context,
                         std::uint64_t first_epoch,
                         std::uint64_t seed)
    : context_(std::move(context)), next_epoch_(first_epoch), random_(seed)
{
}

void entry_links::submit(const member_id& member,
                         const config::endpoint& remote,
                         exchange_ptr attempt,
                         time_point now)
{
    outbound_link& link = links_[member];
    link.member = member;
    if (link.state == link_state::open) {
        send_call(link, std::move(attempt));
        return;
    }
    if (link.state == link_state::idle && now < link.next_connect_at) {
        attempt->deliver(gate_not_reached(member));
        return;
    }
    link.remote = remote;
    link.pending.push_back(std::move(attempt));
    if (link.state == link_state::idle)
        connect(link, now);
}

/// The outcome of a call with a claim is still awaited, so that its key becomes
/// free if it did not run. Other calls are forgotten at once.
void entry_links::cancel(const member_id& member, const exchange_ptr& attempt)
{
    const auto found = links_.find(member);
    if (found == links_.end())
        return;
    outbound_link& link = found->second;
    const bool outcome_wanted =
        !attempt->head.idempotency_key.empty() && !attempt->head.repeatable;
    if (std::erase(link.pending, attempt) != 0 && outcome_wanted)
        attempt->deliver(canceled_before_sending());
    if (!outcome_wanted) {
        std::erase_if(link.unresolved_calls, [&](const unresolved_call& call) {
            return call.attempt == attempt;
        });
    }
    const auto call = link.calls.find(attempt->head.id);
    if (call == link.calls.end())
        return;
    stop_request_body(call->second);
    call->second.canceled = true;
    if (!outcome_wanted || call->second.response_begun)
        link.calls.erase(call);
    context_->send(link.connection, call_cancel{attempt->head.id});
}

void entry_links::connect(outbound_link& link, time_point now)
{
    link.state = link_state::connecting;
    link.connect_started_at = now;
    link.connection =
        context_->endpoint->connect(link.remote.address, link.remote.port);
    members_[link.connection] = link.member;
}

void entry_links::on_opened(connection_id connection)
{
    const auto member = members_.find(connection);
    if (member == members_.end())
        return;
    outbound_link& link = links_[member->second];
    link.state = link_state::awaiting_proof;
    link.epoch = next_epoch_++;
    link.challenge = make_challenge();
    context_->send(connection,
                   hello{protocol_version, context_->identity.member,
                         link.epoch, link.challenge});
}

void entry_links::on_message(connection_id connection,
                             message* received,
                             time_point now)
{
    const auto member = members_.find(connection);
    if (member == members_.end())
        return;
    outbound_link& link = links_[member->second];
    link.last_received_at = now;
    if (received == nullptr)
        return close_after_violation(link, now);
    const bool accepted = link.state == link_state::open
                              ? handle_message(link, *received)
                              : handle_handshake(link, *received, now);
    if (!accepted)
        close_after_violation(link, now);
}

void entry_links::on_closed(connection_id connection, time_point now)
{
    const auto member = members_.find(connection);
    if (member != members_.end())
        handle_loss(links_[member->second], now);
}

/// Closes a link whose peer violated the protocol.
void entry_links::close_after_violation(outbound_link& link, time_point now)
{
    ++context_->counters->malformed_messages;
    const connection_id connection = link.connection;
    handle_loss(link, now);
    context_->endpoint->close(connection);
}

bool entry_links::handle_handshake(outbound_link& link,
                                   message& received,
                                   time_point)
{
    const auto* proof = std::get_if<gate_proof>(&received);
    if (proof != nullptr && link.state == link_state::awaiting_proof) {
        const handshake_transcript transcript{context_->identity.member,
                                              link.member, link.epoch,
                                              link.challenge, proof->challenge};
        const bool valid =
            proof->version == protocol_version &&
            proof->member == link.member &&
            is_valid_challenge(proof->challenge) &&
            verify_handshake(context_->identity.keys, handshake_role::gate,
                             transcript, {proof->key_id, proof->signature});
        if (!valid) {
            ++context_->counters->unauthenticated;
            return false;
        }
        const handshake_proof entry_signature = sign_handshake(
            context_->identity.keys, handshake_role::entry, transcript);
        link.state = link_state::awaiting_welcome;
        context_->send(link.connection, entry_proof{entry_signature.key_id,
                                                    entry_signature.signature});
        return true;
    }
    const auto* welcome_message = std::get_if<welcome>(&received);
    if (welcome_message == nullptr ||
        link.state != link_state::awaiting_welcome)
        return false;
    on_welcome(link, *welcome_message);
    return true;
}

void entry_links::on_welcome(outbound_link& link,
                             const welcome& welcome_message)
{
    link.state = link_state::open;
    link.failures = 0;
    link.last_sequence_number = 0;
    link.window = std::make_shared<link_send_window>();
    link.receive_window = link_receive_window();
    ++context_->counters->links_opened;
    if (welcome_message.draining)
        context_->handlers.gate_draining(link.member);
    query_outcomes(link);
    const std::vector<exchange_ptr> pending = std::move(link.pending);
    link.pending.clear();
    for (const exchange_ptr& attempt : pending)
        send_call(link, attempt);
}

/// Ends the calls of a link that was lost. A call that was not sent did not
/// run. For a call that was sent, the gate is asked after reconnecting, unless
/// reconnecting fails or the call may run twice; then its outcome is reported
/// as unknown at once. The entry can retry a call that may run twice without
/// knowing whether it ran.
void entry_links::handle_loss(outbound_link& link, time_point now)
{
    const bool was_open = link.state == link_state::open;
    members_.erase(link.connection);
    link.state = link_state::idle;
    if (was_open) {
        ++context_->counters->links_lost;
        link.next_connect_at = now;
    } else {
        const unsigned doublings =
            std::min(link.failures++, max_backoff_doublings);
        const auto max_delay = std::min<support::milliseconds>(
            min_backoff * (1U << doublings), max_backoff);
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        link.next_connect_at =
            now + support::from_ms(support::to_ms(max_delay) * jitter(random_));
    }
    for (const exchange_ptr& attempt : link.pending)
        attempt->deliver(gate_not_reached(link.member));
    link.pending.clear();
    if (!was_open)
        give_up_unresolved_calls(link);
    for (auto& [id, call] : link.calls) {
        stop_request_body(call);
        if (call.response_begun) {
            call.attempt->response_body.abort();
            continue;
        }
        if (call.attempt->head.repeatable) {
            call.attempt->deliver(outcome_unknown(link.member));
            continue;
        }
        link.unresolved_calls.push_back({call.attempt, link.epoch,
                                         call.sequence_number,
                                         now + outcome_timeout});
    }
    link.calls.clear();
}

/// Ends the calls whose outcome can no longer be asked for: the gate does not
/// take links, so the process that knew their outcome is gone or cut off.
void entry_links::give_up_unresolved_calls(outbound_link& link)
{
    const std::vector<unresolved_call> calls =
        std::exchange(link.unresolved_calls, {});
    for (const unresolved_call& call : calls)
        call.attempt->deliver(outcome_unknown(link.member));
}

void entry_links::query_outcomes(outbound_link& link)
{
    std::map<std::uint64_t, std::vector<std::uint64_t>> numbers_by_epoch;
    for (const unresolved_call& call : link.unresolved_calls)
        numbers_by_epoch[call.epoch].push_back(call.sequence_number);
    for (auto& [epoch, numbers] : numbers_by_epoch)
        context_->send(link.connection,
                       outcome_query{epoch, std::move(numbers)});
}

void entry_links::on_outcome_reply(outbound_link& link,
                                   const outcome_reply& reply)
{
    const std::set<std::uint64_t> not_run(reply.not_run.begin(),
                                          reply.not_run.end());
    for (const unresolved_call& call : link.unresolved_calls) {
        if (call.epoch != reply.epoch)
            continue;
        const bool did_not_run = not_run.contains(call.sequence_number);
        call.attempt->deliver(did_not_run ? not_started(link.member)
                                          : outcome_unknown(link.member));
    }
    std::erase_if(link.unresolved_calls, [&](const unresolved_call& call) {
        return call.epoch == reply.epoch;
    });
}

void entry_links::expire_unresolved_calls(outbound_link& link, time_point now)
{
    for (const unresolved_call& call : link.unresolved_calls) {
        if (now >= call.deadline)
            call.attempt->deliver(outcome_unknown(link.member));
    }
    std::erase_if(link.unresolved_calls, [&](const unresolved_call& call) {
        return now >= call.deadline;
    });
}

void entry_links::send_call(outbound_link& link, exchange_ptr attempt)
{
    if (attempt->deadline != time_point::max()) {
        const time_point now = support::monotonic_clock::now();
        if (now >= attempt->deadline) {
            attempt->deliver(deadline_passed(link.member));
            return;
        }
        attempt->head.remaining_time =
            std::chrono::floor<support::milliseconds>(attempt->deadline - now);
    }
    if (attempt->in_time_until != time_point::max()) {
        attempt->head.time_until_late =
            std::chrono::floor<support::milliseconds>(
                attempt->in_time_until - support::monotonic_clock::now());
    }
    const attempt_id id = attempt->head.id;
    open_call& call = link.calls[id];
    call.sequence_number = ++link.last_sequence_number;
    call.window = std::make_shared<body_receive_window>();
    call.attempt = std::move(attempt);
    send_credit_on_read(context_->endpoint, link.connection, id,
                        call.attempt->response_body, call.window);
    available_body available = take_available(call.attempt->request_body);
    call_begin begin{call.attempt->head,
                     call.sequence_number,
                     {},
                     available.complete,
                     std::chrono::floor<support::milliseconds>(
                         support::boot_time().time_since_epoch())};
    if (available.complete)
        begin.body = std::move(available.data);
    context_->send(link.connection, begin);
    if (!available.complete)
        start_request_body(link, call, std::move(available.data));
}

void entry_links::start_request_body(outbound_link& link,
                                     open_call& call,
                                     std::string initial_data)
{
    // The end is not handled: if the body breaks off, proxy::entry cancels
    // the call.
    call.sender = std::make_shared<body_sender>(
        context_->strand,
        body_target{context_->endpoint, link.connection, call.attempt->head.id,
                    link.window},
        call.attempt, &exchange::request_body, [](bool) {});
    call.sender->start(std::move(initial_data));
}

bool entry_links::handle_message(outbound_link& link, message& received)
{
    if (auto* begin = std::get_if<response_begin>(&received))
        return on_response(link, *begin);
    if (auto* part = std::get_if<body_part>(&received))
        return on_body_part(link, *part);
    if (auto* refusal_message = std::get_if<call_refused>(&received)) {
        on_refusal(link, *refusal_message);
        return true;
    }
    if (handle_credit(link, received))
        return true;
    if (const auto* reply = std::get_if<outcome_reply>(&received)) {
        on_outcome_reply(link, *reply);
        return true;
    }
    if (std::holds_alternative<drain_notice>(received)) {
        context_->handlers.gate_draining(link.member);
        return true;
    }
    return std::holds_alternative<pong>(received);
}

bool entry_links::on_response(outbound_link& link, response_begin& begin)
{
    const auto found = link.calls.find(begin.id);
    if (found == link.calls.end()) {
        ++context_->counters->late_answers;
        return true;
    }
    open_call& call = found->second;
    if (call.response_begun)
        return false;
    call.response_begun = true;
    const exchange_ptr attempt = call.attempt;
    if (call.canceled) {
        link.calls.erase(found);
    } else if (begin.body_complete) {
        attempt->response_body.try_write(
            make_chunk(std::move(begin.body), true));
        stop_request_body(call);
        link.calls.erase(found);
    }
    attempt->deliver(answered{std::move(begin.head), std::move(begin.load)});
    return true;
}

void entry_links::on_refusal(outbound_link& link, call_refused& refusal_message)
{
    const auto found = link.calls.find(refusal_message.id);
    if (found == link.calls.end()) {
        ++context_->counters->late_answers;
        return;
    }
    stop_request_body(found->second);
    const exchange_ptr attempt = found->second.attempt;
    const bool response_begun = found->second.response_begun;
    link.calls.erase(found);
    if (response_begun) {
        attempt->response_body.abort();
        return;
    }
    attempt->deliver(refused{std::move(refusal_message.refusal),
                             std::move(refusal_message.load)});
}

bool entry_links::on_body_part(outbound_link& link, body_part& part)
{
    if (!link.receive_window.on_received(part))
        return false;
    const std::size_t credit = link.receive_window.take_due_credit();
    if (credit != 0)
        context_->send(link.connection, link_credit{credit});
    const auto found = link.calls.find(part.id);
    if (found == link.calls.end())
        return true;
    open_call& call = found->second;
    if (!call.response_begun || !call.window->on_received(part.data.size()))
        return false;
    const bool last = part.last;
    // An aborted pipe accepts no chunk; proxy::entry is about to cancel this
    // call.
    call.attempt->response_body.try_write(
        make_chunk(std::move(part.data), last));
    if (!last)
        return true;
    stop_request_body(call);
    link.calls.erase(found);
    return true;
}

/// Stops sending the body of the request, which the gate no longer needs.
void entry_links::stop_request_body(open_call& call)
{
    if (call.sender)
        call.sender->stop();
    call.attempt->request_body.abort();
}

void entry_links::on_tick(time_point now)
{
    for (auto& [member, link] : links_)
        check_timeouts(link, now);
}

void entry_links::check_timeouts(outbound_link& link, time_point now)
{
    expire_unresolved_calls(link, now);
    if (link.state == link_state::idle) {
        if (!link.unresolved_calls.empty() && now >= link.next_connect_at)
            connect(link, now);
        return;
    }
    const bool open = link.state == link_state::open;
    const bool overdue =
        open ? now - link.last_received_at > receive_timeout
             : now - link.connect_started_at > handshake_timeout;
    if (overdue) {
        ++context_->counters->links_timed_out;
        const connection_id connection = link.connection;
        handle_loss(link, now);
        context_->endpoint->close(connection);
        return;
    }
    if (!open || now - std::max(link.last_received_at, link.last_ping_at) <
                     ping_interval)
        return;
    link.last_ping_at = now;
    context_->send(link.connection, ping{});
}

void entry_links::on_pause(support::duration length)
{
    for (auto& [member, link] : links_) {
        link.last_received_at += length;
        link.connect_started_at += length;
    }
}

} // namespace galenarudder::link
