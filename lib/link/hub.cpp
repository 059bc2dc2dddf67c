// Carries exchanges over links. All state is touched on one strand; the
// endpoint's thread only posts to it.
#include "galenarudder/link/hub.hpp"

#include "galenarudder/link/message.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <vector>

namespace galenarudder::link {

namespace asio = boost::asio;
using support::call_id;
using support::member_id;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

using strand = asio::strand<asio::io_context::executor_type>;

/// The sending side of one body: what the receiver still has room for.
struct body_sender
{
    explicit body_sender(const strand& executor) : credit_arrived(executor)
    {
        credit_arrived.expires_at(asio::steady_timer::time_point::max());
    }

    std::size_t credit = body_window_bytes;
    bool stopped = false;
    asio::steady_timer credit_arrived;
};

/// One call on a link, at either side.
struct link_call
{
    exchange_ptr attempt;
    std::shared_ptr<body_sender> sender;
    bool answer_begun = false;
};

using call_map = std::map<call_id, link_call>;

struct outbound_link
{
    member_id member;
    connection_id connection = 0;
    bool open = false;
    /// Submitted before the link was open.
    std::vector<exchange_ptr> pending;
    call_map calls;
};

struct inbound_link
{
    member_id member;
    std::uint64_t epoch = 0;
    call_map calls;
};

void stop_sender(link_call& call)
{
    if (!call.sender)
        return;
    call.sender->stopped = true;
    call.sender->credit_arrived.cancel();
}

/// Entry side: no more of the request's body is wanted.
void end_request(link_call& call)
{
    stop_sender(call);
    call.attempt->request.cut();
}

exchange_event broken(run_outcome outcome, std::string detail)
{
    return refused{{refusal_kind::link_broken, outcome, false,
                    support::milliseconds(0), std::move(detail)},
                   {}};
}

} // namespace

class hub::impl : public std::enable_shared_from_this<hub::impl>
{
public:
    impl(asio::io_context& io, member_id self, hub_handlers handlers)
        : strand_(asio::make_strand(io)), self_(std::move(self)),
          handlers_(std::move(handlers))
    {
    }

    void open_endpoint();
    void submit(const member_id& member,
                const config::endpoint& where,
                exchange_ptr attempt);
    void cancel(const member_id& member, const exchange_ptr& attempt);
    void announce_drain();

    const strand& executor() const { return strand_; }
    websocket_endpoint& endpoint() { return *endpoint_; }
    const hub_counters& counters() const { return counters_; }

private:
    void on_opened(connection_id connection, bool inbound);
    void on_received(connection_id connection, const std::string& payload);
    void on_closed(connection_id connection);

    void entry_message(outbound_link& link, message& received);
    void gate_message(connection_id connection,
                      inbound_link& link,
                      message& received);
    bool take_over(connection_id connection,
                   inbound_link& link,
                   const hello& greeting);

    void begin_call(outbound_link& link, exchange_ptr attempt);
    void on_answer(outbound_link& link, answer_begin& begun);
    void on_refusal(outbound_link& link, call_refused& ended);
    void on_answer_part(outbound_link& link, body_part& part);
    void
    on_call(connection_id connection, inbound_link& link, call_begin& begun);
    void on_request_part(inbound_link& link, body_part& part);
    void on_cancel(connection_id connection, inbound_link& link, call_id id);
    static void on_credit(call_map& calls, const body_credit& credit);

    void deliver_from_gate(connection_id connection,
                           call_id id,
                           exchange_event event);
    void end_inbound(connection_id connection, call_id id);
    void lose_outbound(const member_id& member);
    void lose_inbound(connection_id connection);
    void malformed(connection_id connection);

    std::shared_ptr<body_sender> start_sender(connection_id connection,
                                              call_id id,
                                              exchange_ptr attempt,
                                              body_pipe exchange::*pipe);
    asio::awaitable<void> send_body(connection_id connection,
                                    call_id id,
                                    exchange_ptr attempt,
                                    body_pipe exchange::*pipe,
                                    std::shared_ptr<body_sender> sender);
    asio::awaitable<bool> wait_for_credit(body_sender& sender,
                                          std::size_t cost);
    void send_part(connection_id connection, call_id id, body_chunk& chunk);
    void send_broken_answer(connection_id connection, call_id id);
    void return_credit(connection_id connection, call_id id, body_pipe& pipe);

    void send(connection_id connection, const message& outgoing)
    {
        endpoint_->send(connection, encode(outgoing));
    }

    strand strand_;
    member_id self_;
    hub_handlers handlers_;
    hub_counters counters_;
    std::unique_ptr<websocket_endpoint> endpoint_;
    std::uint64_t next_epoch_ = 1;
    std::map<member_id, outbound_link> outbound_;
    std::map<connection_id, member_id> outbound_members_;
    std::map<connection_id, inbound_link> inbound_;
};

void hub::impl::open_endpoint()
{
    const std::weak_ptr<impl> weak = weak_from_this();
    const auto on_strand = [weak, this](auto work) {
        asio::post(strand_, [weak, work = std::move(work)] {
            if (const auto self = weak.lock())
                work(*self);
        });
    };
    websocket_handlers handlers;
    handlers.opened = [on_strand](connection_id connection, bool inbound) {
        on_strand([=](impl& self) { self.on_opened(connection, inbound); });
    };
    handlers.received = [on_strand](connection_id connection,
                                    std::string payload) {
        on_strand([connection, payload = std::move(payload)](impl& self) {
            self.on_received(connection, payload);
        });
    };
    handlers.closed = [on_strand](connection_id connection) {
        on_strand([=](impl& self) { self.on_closed(connection); });
    };
    endpoint_ = std::make_unique<websocket_endpoint>(std::move(handlers));
}

void hub::impl::submit(const member_id& member,
                       const config::endpoint& where,
                       exchange_ptr attempt)
{
    outbound_link& link = outbound_[member];
    link.member = member;
    if (link.open) {
        begin_call(link, std::move(attempt));
        return;
    }
    link.pending.push_back(std::move(attempt));
    if (link.connection != 0)
        return;
    link.connection = endpoint_->connect(where.address, where.port);
    outbound_members_[link.connection] = member;
}

void hub::impl::cancel(const member_id& member, const exchange_ptr& attempt)
{
    const auto found = outbound_.find(member);
    if (found == outbound_.end())
        return;
    outbound_link& link = found->second;
    std::erase(link.pending, attempt);
    const auto call = link.calls.find(attempt->head.id);
    if (call == link.calls.end())
        return;
    end_request(call->second);
    link.calls.erase(call);
    send(link.connection, call_cancel{attempt->head.id});
}

void hub::impl::announce_drain()
{
    for (const auto& [connection, link] : inbound_)
        send(connection, drain_notice{});
}

void hub::impl::on_opened(connection_id connection, bool inbound)
{
    if (inbound) {
        inbound_.try_emplace(connection);
        return;
    }
    const auto member = outbound_members_.find(connection);
    if (member == outbound_members_.end())
        return;
    ++counters_.links_opened;
    outbound_link& link = outbound_[member->second];
    link.open = true;
    send(connection, hello{protocol_version, self_, next_epoch_++});
    const std::vector<exchange_ptr> pending = std::move(link.pending);
    link.pending.clear();
    for (const exchange_ptr& attempt : pending)
        begin_call(link, attempt);
}

void hub::impl::on_received(connection_id connection,
                            const std::string& payload)
{
    support::result<message> decoded = decode(payload);
    if (!decoded) {
        malformed(connection);
        return;
    }
    const auto member = outbound_members_.find(connection);
    if (member != outbound_members_.end()) {
        entry_message(outbound_[member->second], decoded.value());
        return;
    }
    // Messages can come before the opened event of an inbound connection.
    inbound_link& link = inbound_[connection];
    gate_message(connection, link, decoded.value());
}

void hub::impl::on_closed(connection_id connection)
{
    const auto member = outbound_members_.find(connection);
    if (member != outbound_members_.end()) {
        const member_id id = member->second;
        outbound_members_.erase(member);
        lose_outbound(id);
        return;
    }
    lose_inbound(connection);
}

void hub::impl::malformed(connection_id connection)
{
    ++counters_.malformed_messages;
    endpoint_->close(connection);
}

void hub::impl::entry_message(outbound_link& link, message& received)
{
    if (auto* begun = std::get_if<answer_begin>(&received))
        return on_answer(link, *begun);
    if (auto* ended = std::get_if<call_refused>(&received))
        return on_refusal(link, *ended);
    if (auto* part = std::get_if<body_part>(&received))
        return on_answer_part(link, *part);
    if (const auto* credit = std::get_if<body_credit>(&received))
        return on_credit(link.calls, *credit);
    if (std::holds_alternative<drain_notice>(received))
        return handlers_.gate_draining(link.member);
    malformed(link.connection);
}

void hub::impl::gate_message(connection_id connection,
                             inbound_link& link,
                             message& received)
{
    if (const auto* greeting = std::get_if<hello>(&received)) {
        if (!take_over(connection, link, *greeting))
            malformed(connection);
        return;
    }
    if (link.member.empty())
        return malformed(connection);
    if (auto* begun = std::get_if<call_begin>(&received))
        return on_call(connection, link, *begun);
    if (auto* part = std::get_if<body_part>(&received))
        return on_request_part(link, *part);
    if (const auto* credit = std::get_if<body_credit>(&received))
        return on_credit(link.calls, *credit);
    if (const auto* canceled = std::get_if<call_cancel>(&received))
        return on_cancel(connection, link, canceled->id);
    malformed(connection);
}

/// Closes older links of the same entry, so that a call that was not started
/// on them never starts.
bool hub::impl::take_over(connection_id connection,
                          inbound_link& link,
                          const hello& greeting)
{
    if (greeting.version != protocol_version || greeting.member.empty())
        return false;
    std::vector<connection_id> older;
    for (const auto& [other, known] : inbound_) {
        if (other != connection && known.member == greeting.member)
            older.push_back(other);
    }
    link.member = greeting.member;
    link.epoch = greeting.epoch;
    for (const connection_id other : older) {
        lose_inbound(other);
        endpoint_->close(other);
    }
    return true;
}

void hub::impl::begin_call(outbound_link& link, exchange_ptr attempt)
{
    const call_id id = attempt->head.id;
    send(link.connection, call_begin{attempt->head});
    return_credit(link.connection, id, attempt->answer);
    link_call& call = link.calls[id];
    call.attempt = attempt;
    call.sender = start_sender(link.connection, id, std::move(attempt),
                               &exchange::request);
}

void hub::impl::on_answer(outbound_link& link, answer_begin& begun)
{
    const auto call = link.calls.find(begun.id);
    if (call == link.calls.end()) {
        ++counters_.late_answers;
        return;
    }
    call->second.answer_begun = true;
    call->second.attempt->deliver(
        answered{std::move(begun.head), std::move(begun.load)});
}

void hub::impl::on_refusal(outbound_link& link, call_refused& ended)
{
    const auto call = link.calls.find(ended.id);
    if (call == link.calls.end()) {
        ++counters_.late_answers;
        return;
    }
    end_request(call->second);
    const exchange_ptr attempt = call->second.attempt;
    const bool begun = call->second.answer_begun;
    link.calls.erase(call);
    if (begun) {
        attempt->answer.cut();
        return;
    }
    attempt->deliver(refused{std::move(ended.why), std::move(ended.load)});
}

void hub::impl::on_answer_part(outbound_link& link, body_part& part)
{
    const auto call = link.calls.find(part.id);
    if (call == link.calls.end())
        return;
    const exchange_ptr attempt = call->second.attempt;
    const bool last = part.last;
    if (!attempt->answer.try_write({std::move(part.data), last}))
        return malformed(link.connection);
    if (!last)
        return;
    end_request(call->second);
    link.calls.erase(call);
}

void hub::impl::on_credit(call_map& calls, const body_credit& credit)
{
    const auto call = calls.find(credit.id);
    if (call == calls.end() || !call->second.sender)
        return;
    body_sender& sender = *call->second.sender;
    sender.credit += credit.bytes;
    sender.credit_arrived.cancel();
}

void hub::impl::on_call(connection_id connection,
                        inbound_link& link,
                        call_begin& begun)
{
    const call_id id = begun.head.id;
    if (link.calls.contains(id))
        return malformed(connection);
    auto attempt = std::make_shared<exchange>(std::move(begun.head), strand_);
    return_credit(connection, id, attempt->request);
    const std::weak_ptr<impl> weak = weak_from_this();
    attempt->deliver = [weak, connection, id](exchange_event event) {
        const auto self = weak.lock();
        if (!self)
            return;
        asio::post(self->strand_, [self, connection, id,
                                   event = std::move(event)]() mutable {
            self->deliver_from_gate(connection, id, std::move(event));
        });
    };
    link.calls[id].attempt = attempt;
    handlers_.call_arrived(connection, std::move(attempt));
}

void hub::impl::on_request_part(inbound_link& link, body_part& part)
{
    const auto call = link.calls.find(part.id);
    if (call == link.calls.end())
        return;
    // A pipe that was cut takes nothing more; the call has ended by itself.
    call->second.attempt->request.try_write({std::move(part.data), part.last});
}

void hub::impl::on_cancel(connection_id connection,
                          inbound_link& link,
                          call_id id)
{
    if (!link.calls.contains(id))
        return;
    handlers_.call_canceled(connection, id);
}

void hub::impl::deliver_from_gate(connection_id connection,
                                  call_id id,
                                  exchange_event event)
{
    const auto link = inbound_.find(connection);
    if (link == inbound_.end())
        return;
    const auto call = link->second.calls.find(id);
    if (call == link->second.calls.end())
        return;
    if (auto* ended = std::get_if<refused>(&event)) {
        send(connection, call_refused{id, ended->why, ended->load});
        end_inbound(connection, id);
        return;
    }
    auto& begun = std::get<answered>(event);
    send(connection, answer_begin{id, begun.head, begun.load});
    call->second.answer_begun = true;
    call->second.sender =
        start_sender(connection, id, call->second.attempt, &exchange::answer);
}

void hub::impl::end_inbound(connection_id connection, call_id id)
{
    const auto link = inbound_.find(connection);
    if (link == inbound_.end())
        return;
    const auto call = link->second.calls.find(id);
    if (call == link->second.calls.end())
        return;
    stop_sender(call->second);
    call->second.attempt->request.cut();
    link->second.calls.erase(call);
}

/// Ends every call of a lost link. Calls that were never sent did not run;
/// of the others this side cannot know.
void hub::impl::lose_outbound(const member_id& member)
{
    const auto found = outbound_.find(member);
    if (found == outbound_.end())
        return;
    outbound_link lost = std::move(found->second);
    outbound_.erase(found);
    if (lost.open)
        ++counters_.links_lost;
    for (const exchange_ptr& attempt : lost.pending) {
        attempt->deliver(
            broken(run_outcome::not_run, "no link to the gate of " + member));
    }
    for (auto& [id, call] : lost.calls) {
        end_request(call);
        if (call.answer_begun) {
            call.attempt->answer.cut();
            continue;
        }
        call.attempt->deliver(
            broken(run_outcome::unknown, "the link to " + member + " broke"));
    }
}

void hub::impl::lose_inbound(connection_id connection)
{
    const auto found = inbound_.find(connection);
    if (found == inbound_.end())
        return;
    inbound_link lost = std::move(found->second);
    inbound_.erase(found);
    handlers_.link_closed(connection);
    for (auto& [id, call] : lost.calls) {
        stop_sender(call);
        call.attempt->request.cut();
        call.attempt->answer.cut();
    }
}

std::shared_ptr<body_sender> hub::impl::start_sender(connection_id connection,
                                                     call_id id,
                                                     exchange_ptr attempt,
                                                     body_pipe exchange::*pipe)
{
    auto sender = std::make_shared<body_sender>(strand_);
    asio::co_spawn(strand_,
                   send_body(connection, id, std::move(attempt), pipe, sender),
                   asio::detached);
    return sender;
}

// Messages are built outside of coroutines: g++ 12 destroys aggregate
// temporaries of a coroutine twice.
void hub::impl::send_part(connection_id connection,
                          call_id id,
                          body_chunk& chunk)
{
    send(connection, body_part{id, std::move(chunk.data), chunk.last});
}

void hub::impl::send_broken_answer(connection_id connection, call_id id)
{
    const refusal why{refusal_kind::upstream_failed, run_outcome::unknown, true,
                      support::milliseconds(0), "the answer broke off"};
    send(connection, call_refused{id, why, {}});
}

asio::awaitable<bool> hub::impl::wait_for_credit(body_sender& sender,
                                                 std::size_t cost)
{
    while (sender.credit < cost && !sender.stopped) {
        co_await sender.credit_arrived.async_wait(
            asio::as_tuple(asio::use_awaitable));
        sender.credit_arrived.expires_at(asio::steady_timer::time_point::max());
    }
    co_return !sender.stopped;
}

asio::awaitable<void> hub::impl::send_body(connection_id connection,
                                           call_id id,
                                           exchange_ptr attempt,
                                           body_pipe exchange::*pipe,
                                           std::shared_ptr<body_sender> sender)
{
    const auto self = shared_from_this();
    const bool is_answer = pipe == &exchange::answer;
    for (;;) {
        std::optional<body_chunk> chunk = co_await ((*attempt).*pipe).read();
        if (sender->stopped)
            co_return;
        if (!chunk) {
            if (!is_answer)
                co_return;
            send_broken_answer(connection, id);
            break;
        }
        const std::size_t cost = window_cost(chunk->data.size());
        if (!co_await wait_for_credit(*sender, cost))
            co_return;
        sender->credit -= cost;
        send_part(connection, id, *chunk);
        if (chunk->last)
            break;
    }
    if (is_answer)
        end_inbound(connection, id);
}

/// Lets the other side send more as \p pipe is read.
void hub::impl::return_credit(connection_id connection,
                              call_id id,
                              body_pipe& pipe)
{
    const std::weak_ptr<impl> weak = weak_from_this();
    pipe.on_consumed([weak, connection, id](std::size_t size) {
        if (const auto self = weak.lock())
            self->send(connection, body_credit{id, window_cost(size)});
    });
}

namespace {

/// The gate of another daemon, behind a link.
class remote_gate final : public gate_port
{
public:
    remote_gate(std::function<void(exchange_ptr)> submit,
                std::function<void(exchange_ptr)> cancel)
        : submit_(std::move(submit)), cancel_(std::move(cancel))
    {
    }
    void submit(exchange_ptr attempt) override { submit_(std::move(attempt)); }
    void cancel(exchange_ptr attempt) override { cancel_(std::move(attempt)); }

private:
    std::function<void(exchange_ptr)> submit_;
    std::function<void(exchange_ptr)> cancel_;
};

} // namespace

hub::hub(asio::io_context& io, member_id self, hub_handlers handlers)
    : impl_(std::make_shared<impl>(io, std::move(self), std::move(handlers)))
{
    impl_->open_endpoint();
}

hub::~hub()
{
    stop();
}

support::result<void> hub::listen(const config::endpoint& where)
{
    const std::string failure =
        impl_->endpoint().listen(where.address, where.port);
    if (failure.empty())
        return boost::outcome_v2::success();
    return support::error{support::error_kind::connection_failed,
                          "link cannot listen on " + to_string(where) + ": " +
                              failure,
                          "free the port or change link in the settings"};
}

std::shared_ptr<gate_port> hub::gate_of(const member_id& member,
                                        const config::endpoint& where)
{
    auto submit = [impl = impl_, member, where](exchange_ptr attempt) {
        asio::post(impl->executor(),
                   [impl, member, where, attempt = std::move(attempt)] {
                       impl->submit(member, where, attempt);
                   });
    };
    auto cancel = [impl = impl_, member](exchange_ptr attempt) {
        asio::post(impl->executor(),
                   [impl, member, attempt = std::move(attempt)] {
                       impl->cancel(member, attempt);
                   });
    };
    return std::make_shared<remote_gate>(std::move(submit), std::move(cancel));
}

void hub::announce_drain()
{
    asio::post(impl_->executor(), [impl = impl_] { impl->announce_drain(); });
}

void hub::stop()
{
    impl_->endpoint().stop();
}

const hub_counters& hub::counters() const
{
    return impl_->counters();
}

} // namespace galenarudder::link
