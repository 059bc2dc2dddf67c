// The gate's side of links: accepts them, passes calls to the gate, sends
// responses, and states the outcome of calls whose link broke.
#include "gate_links.hpp"

#include "galenarudder/link/handshake.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>
#include <vector>

namespace galenarudder::link {

namespace asio = boost::asio;
using support::attempt_id;
using support::member_id;
using support::refusal_kind;
using support::run_outcome;
using support::time_point;

namespace {

/// Time within which the gate drops the waiting calls of a closed link. An
/// outcome query about calls that have not ended is answered after it.
constexpr support::milliseconds outcome_query_delay{100};

/// Largest number of calls that may be open on one link.
constexpr std::size_t max_open_calls = 4096;

/// Returns the message that ends a response whose body cannot be completed.
call_refused incomplete_answer(attempt_id id)
{
    return {id,
            {refusal_kind::upstream_failed, run_outcome::unknown, true,
             support::milliseconds(0),
             "the upstream's answer ended before it was complete"},
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
    link.last_received_at = now;
}

void gate_links::on_message(connection_id connection,
                            message* received,
                            time_point now)
{
    const auto found = links_.find(connection);
    if (found == links_.end())
        return;
    inbound_link& link = found->second;
    link.last_received_at = now;
    const bool authenticated = link.authenticated;
    const bool accepted =
        received != nullptr &&
        (authenticated ? handle_message(connection, link, *received)
                       : handle_handshake(connection, link, *received));
    if (accepted)
        return;
    ++(authenticated ? context_->counters->malformed_messages
                     : context_->counters->unauthenticated);
    close_link(connection);
}

void gate_links::on_closed(connection_id connection)
{
    remove_link(connection);
}

void gate_links::close_link(connection_id connection)
{
    remove_link(connection);
    context_->endpoint->close(connection);
}

bool gate_links::handle_handshake(connection_id connection,
                                  inbound_link& link,
                                  message& received)
{
    if (const auto* hello_message = std::get_if<hello>(&received))
        return on_hello(connection, link, *hello_message);
    const auto* proof = std::get_if<entry_proof>(&received);
    if (proof == nullptr || link.gate_challenge.empty())
        return false;
    const handshake_transcript transcript{link.entry, context_->identity.member,
                                          link.epoch, link.entry_challenge,
                                          link.gate_challenge};
    const bool valid =
        verify_handshake(context_->identity.keys, handshake_role::entry,
                         transcript, {proof->key_id, proof->signature});
    if (!valid || !close_older_links(connection, link))
        return false;
    link.authenticated = true;
    link.window = std::make_shared<link_send_window>();
    context_->send(connection, welcome{draining_});
    return true;
}

bool gate_links::on_hello(connection_id connection,
                          inbound_link& link,
                          const hello& hello_message)
{
    const bool valid = hello_message.version == protocol_version &&
                       !hello_message.member.empty() &&
                       is_valid_challenge(hello_message.challenge) &&
                       link.gate_challenge.empty();
    if (!valid)
        return false;
    link.entry = hello_message.member;
    link.epoch = hello_message.epoch;
    link.entry_challenge = hello_message.challenge;
    link.gate_challenge = make_challenge();
    const handshake_transcript transcript{link.entry, context_->identity.member,
                                          link.epoch, link.entry_challenge,
                                          link.gate_challenge};
    const handshake_proof gate_signature = sign_handshake(
        context_->identity.keys, handshake_role::gate, transcript);
    context_->send(connection,
                   gate_proof{protocol_version, context_->identity.member,
                              link.gate_challenge, gate_signature.key_id,
                              gate_signature.signature});
    return true;
}

/// Closes older links of the same entry, so that their calls that have not yet
/// started never start. Returns false if the entry already has a newer link.
bool gate_links::close_older_links(connection_id connection,
                                   const inbound_link& link)
{
    std::vector<connection_id> older;
    for (const auto& [other, other_link] : links_) {
        if (other == connection || !other_link.authenticated ||
            other_link.entry != link.entry)
            continue;
        if (other_link.epoch >= link.epoch)
            return false;
        older.push_back(other);
    }
    for (const connection_id other : older)
        close_link(other);
    return true;
}

bool gate_links::handle_message(connection_id connection,
                                inbound_link& link,
                                message& received)
{
    if (auto* begin = std::get_if<call_begin>(&received))
        return on_call_begin(connection, link, *begin);
    if (auto* part = std::get_if<body_part>(&received))
        return on_body_part(connection, link, *part);
    if (const auto* cancel = std::get_if<call_cancel>(&received)) {
        on_cancel(connection, link, cancel->id);
        return true;
    }
    if (handle_credit(link, received))
        return true;
    if (auto* query = std::get_if<outcome_query>(&received)) {
        on_outcome_query(connection, link, *query);
        return true;
    }
    if (!std::holds_alternative<ping>(received))
        return false;
    context_->send(connection, pong{});
    return true;
}

bool gate_links::on_call_begin(connection_id connection,
                               inbound_link& link,
                               call_begin& begin)
{
    const attempt_id id = begin.head.id;
    const bool in_order =
        begin.sequence_number == link.last_sequence_number + 1;
    if (!in_order || link.calls.contains(id) ||
        link.calls.size() >= max_open_calls)
        return false;
    link.last_sequence_number = begin.sequence_number;
    auto attempt =
        std::make_shared<exchange>(std::move(begin.head), context_->strand);
    const support::duration waited = link.transit.on_message(
        time_point(begin.sent_at), support::boot_time());
    const support::time_point sent_at =
        support::monotonic_clock::now() - waited;
    attempt->deadline = sent_at + attempt->head.remaining_time;
    if (attempt->head.time_until_late)
        attempt->in_time_until = sent_at + *attempt->head.time_until_late;
    open_call& call = link.calls[id];
    call.attempt = attempt;
    call.sequence_number = begin.sequence_number;
    call.request_complete = begin.body_complete;
    call.window = std::make_shared<body_receive_window>();
    send_credit_on_read(context_->endpoint, connection, id,
                        attempt->request_body, call.window);
    if (begin.body_complete)
        attempt->request_body.try_write(
            make_chunk(std::move(begin.body), true));
    const std::weak_ptr<gate_links> weak = weak_from_this();
    attempt->deliver = [weak, strand = context_->strand, connection,
                        id](exchange_event event) {
        asio::post(strand,
                   [weak, connection, id, event = std::move(event)]() mutable {
                       if (const auto self = weak.lock())
                           self->deliver(connection, id, std::move(event));
                   });
    };
    context_->handlers.call_received(connection, std::move(attempt));
    return true;
}

bool gate_links::on_body_part(connection_id connection,
                              inbound_link& link,
                              body_part& part)
{
    if (!link.receive_window.on_received(part))
        return false;
    const std::size_t credit = link.receive_window.take_due_credit();
    if (credit != 0)
        context_->send(connection, link_credit{credit});
    const auto found = link.calls.find(part.id);
    if (found == link.calls.end())
        return true;
    open_call& call = found->second;
    if (call.request_complete || !call.window->on_received(part.data.size()))
        return false;
    call.request_complete = part.last;
    // An aborted pipe accepts no chunk; the gate is about to end this call.
    call.attempt->request_body.try_write(
        make_chunk(std::move(part.data), part.last));
    return true;
}

/// Ends the bodies of a canceled call. A response that has begun gets no more
/// credit, so its call ends here; other calls end with the gate's result.
void gate_links::on_cancel(connection_id connection,
                           inbound_link& link,
                           attempt_id id)
{
    const auto found = link.calls.find(id);
    if (found == link.calls.end())
        return;
    // The rest of an incomplete body will not follow.
    if (!found->second.request_complete)
        found->second.attempt->request_body.abort();
    found->second.attempt->response_body.abort();
    context_->handlers.call_canceled(connection, id);
    if (found->second.sender)
        end_call(connection, id);
}

/// Answers an outcome query. If some of its calls have not ended, waits first,
/// because the gate may be about to drop them.
void gate_links::on_outcome_query(connection_id connection,
                                  const inbound_link& link,
                                  outcome_query& query)
{
    if (!closed_links_.has_unfinished(link.entry, query.epoch, query.numbers))
        return send_outcome_reply(connection, link.entry, query);
    auto timer = std::make_shared<asio::steady_timer>(context_->strand);
    timer->expires_after(outcome_query_delay);
    timer->async_wait([weak = weak_from_this(), timer, connection,
                       entry = link.entry,
                       query = std::move(query)](boost::system::error_code) {
        if (const auto self = weak.lock())
            self->send_outcome_reply(connection, entry, query);
    });
}

void gate_links::send_outcome_reply(connection_id connection,
                                    const member_id& entry,
                                    const outcome_query& query)
{
    context_->send(connection,
                   outcome_reply{query.epoch,
                                 closed_links_.find_not_run(entry, query.epoch,
                                                            query.numbers)});
}

void gate_links::deliver(connection_id connection,
                         attempt_id id,
                         exchange_event event)
{
    const auto* refusal_event = std::get_if<refused>(&event);
    const auto link = links_.find(connection);
    if (link == links_.end()) {
        const bool not_run =
            refusal_event != nullptr &&
            refusal_event->refusal.outcome == run_outcome::not_run;
        closed_links_.on_ended(connection, id, not_run);
        return;
    }
    if (!link->second.calls.contains(id))
        return;
    if (refusal_event != nullptr) {
        context_->send(connection, call_refused{id, refusal_event->refusal,
                                                refusal_event->load});
        end_call(connection, id);
        return;
    }
    deliver_response(connection, link->second, id, std::get<answered>(event));
}

void gate_links::deliver_response(connection_id connection,
                                  inbound_link& link,
                                  attempt_id id,
                                  answered& response)
{
    open_call& call = link.calls[id];
    available_body available = take_available(call.attempt->response_body);
    response_begin begin{id,
                         std::move(response.head),
                         std::move(response.load),
                         {},
                         available.complete};
    if (available.complete)
        begin.body = std::move(available.data);
    context_->send(connection, begin);
    if (available.complete)
        end_call(connection, id);
    else
        start_response_body(connection, link, call, std::move(available.data));
}

void gate_links::start_response_body(connection_id connection,
                                     inbound_link& link,
                                     open_call& call,
                                     std::string initial_data)
{
    const attempt_id id = call.attempt->head.id;
    const std::weak_ptr<gate_links> weak = weak_from_this();
    call.sender = std::make_shared<body_sender>(
        context_->strand,
        body_target{context_->endpoint, connection, id, link.window},
        call.attempt, &exchange::response_body,
        [weak, connection, id](bool complete) {
            if (const auto self = weak.lock())
                self->on_response_body_end(connection, id, complete);
        });
    call.sender->start(std::move(initial_data));
}

void gate_links::on_response_body_end(connection_id connection,
                                      attempt_id id,
                                      bool complete)
{
    if (!complete)
        context_->send(connection, incomplete_answer(id));
    end_call(connection, id);
}

void gate_links::end_call(connection_id connection, attempt_id id)
{
    const auto link = links_.find(connection);
    if (link == links_.end())
        return;
    const auto call = link->second.calls.find(id);
    if (call == link->second.calls.end())
        return;
    if (call->second.sender)
        call->second.sender->stop();
    call->second.attempt->request_body.abort();
    link->second.calls.erase(call);
    notify_if_responses_sent();
}

bool gate_links::has_unsent_responses() const
{
    for (const auto& [connection, link] : links_) {
        for (const auto& [id, call] : link.calls) {
            if (call.sender)
                return true;
        }
    }
    return false;
}

void gate_links::when_responses_sent(std::function<void()> handler)
{
    on_responses_sent_ = std::move(handler);
    notify_if_responses_sent();
}

void gate_links::notify_if_responses_sent()
{
    if (!on_responses_sent_ || has_unsent_responses())
        return;
    const std::function<void()> handler = std::move(on_responses_sent_);
    on_responses_sent_ = nullptr;
    handler();
}

void gate_links::remove_link(connection_id connection)
{
    const auto found = links_.find(connection);
    if (found == links_.end())
        return;
    inbound_link removed = std::move(found->second);
    links_.erase(found);
    if (!removed.authenticated)
        return;
    closed_link_registry::closed_link closed{connection,
                                             removed.entry,
                                             removed.epoch,
                                             removed.last_sequence_number,
                                             {}};
    for (const auto& [id, call] : removed.calls)
        closed.unfinished[id] = call.sequence_number;
    closed_links_.on_closed(std::move(closed));
    context_->handlers.link_closed(connection);
    for (auto& [id, call] : removed.calls) {
        if (call.sender)
            call.sender->stop();
        call.attempt->request_body.abort();
        call.attempt->response_body.abort();
    }
    notify_if_responses_sent();
}

void gate_links::on_tick(time_point now)
{
    std::vector<connection_id> overdue;
    for (const auto& [connection, link] : links_) {
        const bool timed_out =
            link.authenticated ? now - link.last_received_at > receive_timeout
                               : now - link.opened_at > handshake_timeout;
        if (timed_out)
            overdue.push_back(connection);
    }
    for (const connection_id connection : overdue) {
        ++context_->counters->links_timed_out;
        close_link(connection);
    }
}

void gate_links::on_pause(support::duration length)
{
    for (auto& [connection, link] : links_) {
        link.last_received_at += length;
        link.opened_at += length;
    }
}

void gate_links::announce_drain()
{
    draining_ = true;
    for (const auto& [connection, link] : links_) {
        if (link.authenticated)
            context_->send(connection, drain_notice{});
    }
}

} // namespace galenarudder::link
