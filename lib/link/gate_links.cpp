// The gate's side: takes links and calls, sends answers, states the fate of
// calls whose link broke.
#include "gate_links.hpp"

#include "galenarudder/link/handshake.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace galenarudder::link {

namespace asio = boost::asio;
using support::call_id;
using support::member_id;
using support::refusal_kind;
using support::run_outcome;
using support::time_point;

namespace {

/// The gate drops waiting calls of a closed link within this time.
constexpr support::milliseconds settle_time{100};

/// Calls of one link that may be open at once.
constexpr std::size_t max_open_calls = 4096;

call_refused broken_answer(call_id id)
{
    return {id,
            {refusal_kind::upstream_failed, run_outcome::unknown, true,
             support::milliseconds(0), "the answer broke off"},
            {}};
}

} // namespace

gate_links::gate_links(std::shared_ptr<const link_context> context)
    : context_(std::move(context))
{
}

void gate_links::on_opened(connection_id connection, time_point now)
{
    inbound_link& link = links_[connection];
    link.opened_at = now;
    link.heard_at = now;
}

void gate_links::on_message(connection_id connection,
                            message* received,
                            time_point now)
{
    const auto found = links_.find(connection);
    if (found == links_.end())
        return;
    inbound_link& link = found->second;
    link.heard_at = now;
    const bool proven = link.proven;
    const bool taken = received != nullptr &&
                       (proven ? take_message(connection, link, *received)
                               : shake_hands(connection, link, *received));
    if (taken)
        return;
    ++(proven ? context_->counters->malformed_messages
              : context_->counters->unauthenticated);
    close(connection);
}

void gate_links::on_closed(connection_id connection)
{
    lose(connection);
}

void gate_links::close(connection_id connection)
{
    lose(connection);
    context_->endpoint->close(connection);
}

bool gate_links::shake_hands(connection_id connection,
                             inbound_link& link,
                             message& received)
{
    if (const auto* greeting = std::get_if<hello>(&received))
        return greet(connection, link, *greeting);
    const auto* proof = std::get_if<entry_proof>(&received);
    if (proof == nullptr || link.own_challenge.empty())
        return false;
    const handshake_terms terms{link.entry, context_->identity.member,
                                link.epoch, link.entry_challenge,
                                link.own_challenge};
    const bool known = holds(context_->identity.keys, handshake_side::entry,
                             terms, {proof->key_id, proof->signature});
    if (!known || !take_over(connection, link))
        return false;
    link.proven = true;
    link.window = std::make_shared<link_window>();
    context_->send(connection, welcome{draining_});
    return true;
}

bool gate_links::greet(connection_id connection,
                       inbound_link& link,
                       const hello& greeting)
{
    const bool acceptable =
        greeting.version == protocol_version && !greeting.member.empty() &&
        is_challenge(greeting.challenge) && link.own_challenge.empty();
    if (!acceptable)
        return false;
    link.entry = greeting.member;
    link.epoch = greeting.epoch;
    link.entry_challenge = greeting.challenge;
    link.own_challenge = make_challenge();
    const handshake_terms terms{link.entry, context_->identity.member,
                                link.epoch, link.entry_challenge,
                                link.own_challenge};
    const handshake_proof own =
        prove(context_->identity.keys, handshake_side::gate, terms);
    context_->send(connection,
                   gate_proof{protocol_version, context_->identity.member,
                              link.own_challenge, own.key_id, own.signature});
    return true;
}

/// Closes older links of the same entry, so that a call that was not started
/// on them never starts. False when a newer link is open already.
bool gate_links::take_over(connection_id connection, const inbound_link& link)
{
    std::vector<connection_id> older;
    for (const auto& [other, known] : links_) {
        if (other == connection || !known.proven || known.entry != link.entry)
            continue;
        if (known.epoch >= link.epoch)
            return false;
        older.push_back(other);
    }
    for (const connection_id other : older)
        close(other);
    return true;
}

bool gate_links::take_message(connection_id connection,
                              inbound_link& link,
                              message& received)
{
    if (auto* begun = std::get_if<call_begin>(&received))
        return on_call(connection, link, *begun);
    if (auto* part = std::get_if<body_part>(&received))
        return on_part(connection, link, *part);
    if (const auto* canceled = std::get_if<call_cancel>(&received)) {
        on_cancel(connection, link, canceled->id);
        return true;
    }
    if (take_credit(link, received))
        return true;
    if (auto* asked = std::get_if<fate_query>(&received)) {
        on_query(connection, link, *asked);
        return true;
    }
    if (!std::holds_alternative<ping>(received))
        return false;
    context_->send(connection, pong{});
    return true;
}

bool gate_links::on_call(connection_id connection,
                         inbound_link& link,
                         call_begin& begun)
{
    const call_id id = begun.head.id;
    const bool in_order = begun.number == link.last_number + 1;
    if (!in_order || link.calls.contains(id) ||
        link.calls.size() >= max_open_calls)
        return false;
    link.last_number = begun.number;
    auto attempt =
        std::make_shared<exchange>(std::move(begun.head), context_->strand);
    open_call& call = link.calls[id];
    call.attempt = attempt;
    call.number = begun.number;
    call.request_complete = begun.body_complete;
    call.window = std::make_shared<receive_window>();
    return_credit(context_->endpoint, connection, id, attempt->request,
                  call.window);
    if (begun.body_complete)
        attempt->request.try_write(make_chunk(std::move(begun.body), true));
    const std::weak_ptr<gate_links> weak = weak_from_this();
    attempt->deliver = [weak, strand = context_->strand, connection,
                        id](exchange_event event) {
        asio::post(strand,
                   [weak, connection, id, event = std::move(event)]() mutable {
                       if (const auto self = weak.lock())
                           self->deliver(connection, id, std::move(event));
                   });
    };
    context_->handlers.call_arrived(connection, std::move(attempt));
    return true;
}

bool gate_links::on_part(connection_id connection,
                         inbound_link& link,
                         body_part& part)
{
    if (!link.receiver.take(part))
        return false;
    const std::size_t credit = link.receiver.due_credit();
    if (credit != 0)
        context_->send(connection, link_credit{credit});
    const auto found = link.calls.find(part.id);
    if (found == link.calls.end())
        return true;
    open_call& call = found->second;
    if (call.request_complete || !call.window->take(part.data.size()))
        return false;
    call.request_complete = part.last;
    // A pipe that was cut takes nothing more; the call ends by itself.
    call.attempt->request.try_write(
        make_chunk(std::move(part.data), part.last));
    return true;
}

void gate_links::on_cancel(connection_id connection,
                           inbound_link& link,
                           call_id id)
{
    const auto found = link.calls.find(id);
    if (found == link.calls.end())
        return;
    // A body that is not complete never will be.
    if (!found->second.request_complete)
        found->second.attempt->request.cut();
    context_->handlers.call_canceled(connection, id);
}

/// Waits for calls that the gate is about to drop before it answers.
void gate_links::on_query(connection_id connection,
                          const inbound_link& link,
                          fate_query& asked)
{
    if (!fates_.undecided(link.entry, asked.epoch, asked.numbers))
        return answer_query(connection, link.entry, asked);
    auto timer = std::make_shared<asio::steady_timer>(context_->strand);
    timer->expires_after(settle_time);
    timer->async_wait([weak = weak_from_this(), timer, connection,
                       entry = link.entry,
                       asked = std::move(asked)](boost::system::error_code) {
        if (const auto self = weak.lock())
            self->answer_query(connection, entry, asked);
    });
}

void gate_links::answer_query(connection_id connection,
                              const member_id& entry,
                              const fate_query& asked)
{
    context_->send(connection,
                   fate_answer{asked.epoch, fates_.not_run(entry, asked.epoch,
                                                           asked.numbers)});
}

void gate_links::deliver(connection_id connection,
                         call_id id,
                         exchange_event event)
{
    const auto* ended = std::get_if<refused>(&event);
    const auto link = links_.find(connection);
    if (link == links_.end()) {
        const bool not_run =
            ended != nullptr && ended->why.outcome == run_outcome::not_run;
        fates_.on_ended(connection, id, not_run);
        return;
    }
    if (!link->second.calls.contains(id))
        return;
    if (ended != nullptr) {
        context_->send(connection, call_refused{id, ended->why, ended->load});
        end_call(connection, id);
        return;
    }
    deliver_answer(connection, link->second, id, std::get<answered>(event));
}

void gate_links::deliver_answer(connection_id connection,
                                inbound_link& link,
                                call_id id,
                                answered& begun)
{
    open_call& call = link.calls[id];
    ready_body ready = take_ready(call.attempt->answer);
    answer_begin answer{
        id, std::move(begun.head), std::move(begun.load), {}, ready.complete};
    if (ready.complete)
        answer.body = std::move(ready.data);
    context_->send(connection, answer);
    if (ready.complete)
        end_call(connection, id);
    else
        start_body(connection, link, call, std::move(ready.data));
}

void gate_links::start_body(connection_id connection,
                            inbound_link& link,
                            open_call& call,
                            std::string ahead)
{
    const call_id id = call.attempt->head.id;
    const std::weak_ptr<gate_links> weak = weak_from_this();
    call.sender = std::make_shared<body_sender>(
        context_->strand,
        body_target{context_->endpoint, connection, id, link.window},
        call.attempt, &exchange::answer, [weak, connection, id](bool whole) {
            if (const auto self = weak.lock())
                self->end_body(connection, id, whole);
        });
    call.sender->start(std::move(ahead));
}

void gate_links::end_body(connection_id connection, call_id id, bool whole)
{
    if (!whole)
        context_->send(connection, broken_answer(id));
    end_call(connection, id);
}

void gate_links::end_call(connection_id connection, call_id id)
{
    const auto link = links_.find(connection);
    if (link == links_.end())
        return;
    const auto call = link->second.calls.find(id);
    if (call == link->second.calls.end())
        return;
    if (call->second.sender)
        call->second.sender->stop();
    call->second.attempt->request.cut();
    link->second.calls.erase(call);
}

void gate_links::lose(connection_id connection)
{
    const auto found = links_.find(connection);
    if (found == links_.end())
        return;
    inbound_link lost = std::move(found->second);
    links_.erase(found);
    if (!lost.proven)
        return;
    fate_record::closed_link closed{
        connection, lost.entry, lost.epoch, lost.last_number, {}};
    for (const auto& [id, call] : lost.calls)
        closed.open[id] = call.number;
    fates_.on_closed(std::move(closed));
    context_->handlers.link_closed(connection);
    for (auto& [id, call] : lost.calls) {
        if (call.sender)
            call.sender->stop();
        call.attempt->request.cut();
        call.attempt->answer.cut();
    }
}

void gate_links::on_tick(time_point now)
{
    std::vector<connection_id> overdue;
    for (const auto& [connection, link] : links_) {
        const bool late = link.proven
                              ? now - link.heard_at > silence_timeout
                              : now - link.opened_at > handshake_timeout;
        if (late)
            overdue.push_back(connection);
    }
    for (const connection_id connection : overdue) {
        ++context_->counters->links_timed_out;
        close(connection);
    }
}

void gate_links::on_pause(support::duration length)
{
    for (auto& [connection, link] : links_) {
        link.heard_at += length;
        link.opened_at += length;
    }
}

void gate_links::announce_drain()
{
    draining_ = true;
    for (const auto& [connection, link] : links_) {
        if (link.proven)
            context_->send(connection, drain_notice{});
    }
}

} // namespace galenarudder::link
