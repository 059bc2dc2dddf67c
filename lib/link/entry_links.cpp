// The entry's side: opens links, sends calls, learns their fate when a link
// breaks.
#include "entry_links.hpp"

#include "galenarudder/link/handshake.hpp"

#include <algorithm>
#include <set>

namespace galenarudder::link {

using support::call_id;
using support::member_id;
using support::refusal_kind;
using support::run_outcome;
using support::time_point;

namespace {

constexpr support::milliseconds first_backoff{50};
constexpr support::milliseconds longest_backoff{1000};
constexpr unsigned most_doublings = 5;

/// How long a caller waits to learn whether its call ran.
constexpr support::milliseconds fate_timeout{2000};

exchange_event broken(run_outcome outcome, std::string detail)
{
    return refused{{refusal_kind::link_broken, outcome, false,
                    support::milliseconds(0), std::move(detail)},
                   {}};
}

exchange_event not_reached(const member_id& member)
{
    return broken(run_outcome::not_run, "no link to the gate of " + member);
}

exchange_event not_started(const member_id& member)
{
    return broken(run_outcome::not_run,
                  "the link to " + member + " broke before the call started");
}

exchange_event perhaps_run(const member_id& member)
{
    return broken(run_outcome::unknown, "the link to " + member + " broke");
}

} // namespace

entry_links::entry_links(std::shared_ptr<const link_context> context,
                         std::uint64_t first_epoch,
                         std::uint64_t seed)
    : context_(std::move(context)), next_epoch_(first_epoch), random_(seed)
{
}

void entry_links::submit(const member_id& member,
                         const config::endpoint& where,
                         exchange_ptr attempt,
                         time_point now)
{
    outbound_link& link = links_[member];
    link.member = member;
    if (link.state == link_state::open) {
        begin_call(link, std::move(attempt));
        return;
    }
    if (link.state == link_state::idle && now < link.retry_at) {
        attempt->deliver(not_reached(member));
        return;
    }
    link.where = where;
    link.pending.push_back(std::move(attempt));
    if (link.state == link_state::idle)
        connect(link, now);
}

void entry_links::cancel(const member_id& member, const exchange_ptr& attempt)
{
    const auto found = links_.find(member);
    if (found == links_.end())
        return;
    outbound_link& link = found->second;
    std::erase(link.pending, attempt);
    std::erase_if(link.orphans, [&](const orphan& waiting) {
        return waiting.attempt == attempt;
    });
    const auto call = link.calls.find(attempt->head.id);
    if (call == link.calls.end())
        return;
    end_request(call->second);
    link.calls.erase(call);
    context_->send(link.connection, call_cancel{attempt->head.id});
}

void entry_links::connect(outbound_link& link, time_point now)
{
    link.state = link_state::connecting;
    link.begun_at = now;
    link.connection =
        context_->endpoint->connect(link.where.address, link.where.port);
    members_[link.connection] = link.member;
}

void entry_links::on_opened(connection_id connection)
{
    const auto member = members_.find(connection);
    if (member == members_.end())
        return;
    outbound_link& link = links_[member->second];
    link.state = link_state::greeting;
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
    link.heard_at = now;
    if (received == nullptr)
        return reject(link, now);
    const bool taken = link.state == link_state::open
                           ? take_message(link, *received)
                           : shake_hands(link, *received, now);
    if (!taken)
        reject(link, now);
}

void entry_links::on_closed(connection_id connection, time_point now)
{
    const auto member = members_.find(connection);
    if (member != members_.end())
        lose(links_[member->second], now);
}

/// The peer does not keep to the protocol.
void entry_links::reject(outbound_link& link, time_point now)
{
    ++context_->counters->malformed_messages;
    const connection_id connection = link.connection;
    lose(link, now);
    context_->endpoint->close(connection);
}

bool entry_links::shake_hands(outbound_link& link,
                              message& received,
                              time_point)
{
    const auto* proof = std::get_if<gate_proof>(&received);
    if (proof != nullptr && link.state == link_state::greeting) {
        const handshake_terms terms{context_->identity.member, link.member,
                                    link.epoch, link.challenge,
                                    proof->challenge};
        const bool known = proof->version == protocol_version &&
                           proof->member == link.member &&
                           is_challenge(proof->challenge) &&
                           holds(context_->identity.keys, handshake_side::gate,
                                 terms, {proof->key_id, proof->signature});
        if (!known) {
            ++context_->counters->unauthenticated;
            return false;
        }
        const handshake_proof own =
            prove(context_->identity.keys, handshake_side::entry, terms);
        link.state = link_state::proving;
        context_->send(link.connection, entry_proof{own.key_id, own.signature});
        return true;
    }
    const auto* opened = std::get_if<welcome>(&received);
    if (opened == nullptr || link.state != link_state::proving)
        return false;
    open(link, *opened);
    return true;
}

void entry_links::open(outbound_link& link, const welcome& opened)
{
    link.state = link_state::open;
    link.failures = 0;
    link.last_number = 0;
    link.window = std::make_shared<link_window>();
    link.receiver = link_receiver();
    ++context_->counters->links_opened;
    if (opened.draining)
        context_->handlers.gate_draining(link.member);
    ask_fates(link);
    const std::vector<exchange_ptr> pending = std::move(link.pending);
    link.pending.clear();
    for (const exchange_ptr& attempt : pending)
        begin_call(link, attempt);
}

/// Ends every call of a lost link. Calls that were never sent did not run; of
/// the others the gate is asked, unless they may simply be repeated.
void entry_links::lose(outbound_link& link, time_point now)
{
    const bool was_open = link.state == link_state::open;
    members_.erase(link.connection);
    link.state = link_state::idle;
    if (was_open) {
        ++context_->counters->links_lost;
        link.retry_at = now;
    } else {
        const unsigned doublings = std::min(link.failures++, most_doublings);
        const auto longest = std::min<support::milliseconds>(
            first_backoff * (1U << doublings), longest_backoff);
        std::uniform_real_distribution<double> share(0.5, 1.0);
        link.retry_at =
            now + support::from_ms(support::to_ms(longest) * share(random_));
    }
    for (const exchange_ptr& attempt : link.pending)
        attempt->deliver(not_reached(link.member));
    link.pending.clear();
    for (auto& [id, call] : link.calls) {
        end_request(call);
        if (call.answer_begun) {
            call.attempt->answer.cut();
            continue;
        }
        if (call.attempt->head.repeatable) {
            call.attempt->deliver(perhaps_run(link.member));
            continue;
        }
        link.orphans.push_back(
            {call.attempt, link.epoch, call.number, now + fate_timeout});
    }
    link.calls.clear();
}

void entry_links::ask_fates(outbound_link& link)
{
    std::map<std::uint64_t, std::vector<std::uint64_t>> numbers;
    for (const orphan& waiting : link.orphans)
        numbers[waiting.epoch].push_back(waiting.number);
    for (auto& [epoch, asked] : numbers)
        context_->send(link.connection, fate_query{epoch, std::move(asked)});
}

void entry_links::on_fates(outbound_link& link, const fate_answer& fates)
{
    const std::set<std::uint64_t> not_run(fates.not_run.begin(),
                                          fates.not_run.end());
    for (const orphan& waiting : link.orphans) {
        if (waiting.epoch != fates.epoch)
            continue;
        const bool safe = not_run.contains(waiting.number);
        waiting.attempt->deliver(safe ? not_started(link.member)
                                      : perhaps_run(link.member));
    }
    std::erase_if(link.orphans, [&](const orphan& waiting) {
        return waiting.epoch == fates.epoch;
    });
}

void entry_links::give_up_orphans(outbound_link& link, time_point now)
{
    for (const orphan& waiting : link.orphans) {
        if (now >= waiting.until)
            waiting.attempt->deliver(perhaps_run(link.member));
    }
    std::erase_if(link.orphans,
                  [&](const orphan& waiting) { return now >= waiting.until; });
}

void entry_links::begin_call(outbound_link& link, exchange_ptr attempt)
{
    const call_id id = attempt->head.id;
    open_call& call = link.calls[id];
    call.number = ++link.last_number;
    call.window = std::make_shared<receive_window>();
    call.attempt = std::move(attempt);
    return_credit(context_->endpoint, link.connection, id, call.attempt->answer,
                  call.window);
    ready_body ready = take_ready(call.attempt->request);
    call_begin begun{call.attempt->head, call.number, {}, ready.complete};
    if (ready.complete)
        begun.body = std::move(ready.data);
    context_->send(link.connection, begun);
    if (!ready.complete)
        start_body(link, call, std::move(ready.data));
}

void entry_links::start_body(outbound_link& link,
                             open_call& call,
                             std::string ahead)
{
    // A body that breaks off ends by the call's cancel.
    call.sender = std::make_shared<body_sender>(
        context_->strand,
        body_target{context_->endpoint, link.connection, call.attempt->head.id,
                    link.window},
        call.attempt, &exchange::request, [](bool) {});
    call.sender->start(std::move(ahead));
}

bool entry_links::take_message(outbound_link& link, message& received)
{
    if (auto* begun = std::get_if<answer_begin>(&received))
        return on_answer(link, *begun);
    if (auto* part = std::get_if<body_part>(&received))
        return on_part(link, *part);
    if (auto* ended = std::get_if<call_refused>(&received)) {
        on_refusal(link, *ended);
        return true;
    }
    if (take_credit(link, received))
        return true;
    if (const auto* fates = std::get_if<fate_answer>(&received)) {
        on_fates(link, *fates);
        return true;
    }
    if (std::holds_alternative<drain_notice>(received)) {
        context_->handlers.gate_draining(link.member);
        return true;
    }
    return std::holds_alternative<pong>(received);
}

bool entry_links::on_answer(outbound_link& link, answer_begin& begun)
{
    const auto found = link.calls.find(begun.id);
    if (found == link.calls.end()) {
        ++context_->counters->late_answers;
        return true;
    }
    open_call& call = found->second;
    if (call.answer_begun)
        return false;
    call.answer_begun = true;
    const exchange_ptr attempt = call.attempt;
    if (begun.body_complete) {
        attempt->answer.try_write(make_chunk(std::move(begun.body), true));
        end_request(call);
        link.calls.erase(found);
    }
    attempt->deliver(answered{std::move(begun.head), std::move(begun.load)});
    return true;
}

void entry_links::on_refusal(outbound_link& link, call_refused& ended)
{
    const auto found = link.calls.find(ended.id);
    if (found == link.calls.end()) {
        ++context_->counters->late_answers;
        return;
    }
    end_request(found->second);
    const exchange_ptr attempt = found->second.attempt;
    const bool begun = found->second.answer_begun;
    link.calls.erase(found);
    if (begun) {
        attempt->answer.cut();
        return;
    }
    attempt->deliver(refused{std::move(ended.why), std::move(ended.load)});
}

bool entry_links::on_part(outbound_link& link, body_part& part)
{
    if (!link.receiver.take(part))
        return false;
    const std::size_t credit = link.receiver.due_credit();
    if (credit != 0)
        context_->send(link.connection, link_credit{credit});
    const auto found = link.calls.find(part.id);
    if (found == link.calls.end())
        return true;
    open_call& call = found->second;
    if (!call.answer_begun || !call.window->take(part.data.size()))
        return false;
    const bool last = part.last;
    // A pipe that was cut takes nothing; its cancel is on the way.
    call.attempt->answer.try_write(make_chunk(std::move(part.data), last));
    if (!last)
        return true;
    end_request(call);
    link.calls.erase(found);
    return true;
}

/// No more of the request's body is wanted.
void entry_links::end_request(open_call& call)
{
    if (call.sender)
        call.sender->stop();
    call.attempt->request.cut();
}

void entry_links::on_tick(time_point now)
{
    for (auto& [member, link] : links_)
        check(link, now);
}

void entry_links::check(outbound_link& link, time_point now)
{
    give_up_orphans(link, now);
    if (link.state == link_state::idle) {
        if (!link.orphans.empty() && now >= link.retry_at)
            connect(link, now);
        return;
    }
    const bool open = link.state == link_state::open;
    const bool overdue = open ? now - link.heard_at > silence_timeout
                              : now - link.begun_at > handshake_timeout;
    if (overdue) {
        ++context_->counters->links_timed_out;
        const connection_id connection = link.connection;
        lose(link, now);
        context_->endpoint->close(connection);
        return;
    }
    if (!open || now - std::max(link.heard_at, link.asked_at) < ping_interval)
        return;
    link.asked_at = now;
    context_->send(link.connection, ping{});
}

void entry_links::on_pause(support::duration length)
{
    for (auto& [member, link] : links_) {
        link.heard_at += length;
        link.begun_at += length;
    }
}

} // namespace galenarudder::link
