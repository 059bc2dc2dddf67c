// One coroutine for each body that is not sent at once.
#include "body_transfer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace galenarudder::link {

namespace asio = boost::asio;

namespace {

/// Credit is returned once this much is owed, so that small bodies cost no
/// credit messages.
constexpr std::size_t body_credit_step = body_window_bytes / 4;
constexpr std::size_t link_credit_step = link_window_bytes / 4;

} // namespace

void send_message(websocket_endpoint& endpoint,
                  connection_id connection,
                  const message& outgoing)
{
    endpoint.send(connection, encode(outgoing));
}

void link_window::wait(std::shared_ptr<body_sender> sender)
{
    waiting_.push_back(std::move(sender));
}

void link_window::on_credit(std::size_t size)
{
    room_ = std::min(room_ + size, link_window_bytes);
    const std::vector<std::shared_ptr<body_sender>> woken = std::move(waiting_);
    waiting_.clear();
    for (const std::shared_ptr<body_sender>& sender : woken)
        sender->wake();
}

bool link_receiver::take(const body_part& part)
{
    if (!part.counted)
        return true;
    under_way_ += part.data.size();
    return under_way_ <= link_window_bytes;
}

std::size_t link_receiver::due_credit()
{
    if (under_way_ < link_credit_step)
        return 0;
    return std::exchange(under_way_, 0);
}

bool receive_window::take(std::size_t size)
{
    const auto cost = static_cast<std::int64_t>(window_cost(size));
    return room_.fetch_sub(cost) >= cost;
}

std::size_t receive_window::on_consumed(std::size_t size)
{
    const std::size_t cost = window_cost(size);
    const std::size_t owed = owed_.fetch_add(cost) + cost;
    if (owed < body_credit_step)
        return 0;
    const std::size_t returned = owed_.exchange(0);
    room_.fetch_add(static_cast<std::int64_t>(returned));
    return returned;
}

void return_credit(const std::weak_ptr<websocket_endpoint>& endpoint,
                   connection_id connection,
                   support::call_id id,
                   body_pipe& pipe,
                   const std::shared_ptr<receive_window>& window)
{
    pipe.on_consumed([endpoint, connection, id, window](std::size_t size) {
        const std::size_t credit = window->on_consumed(size);
        if (credit == 0)
            return;
        if (const auto kept = endpoint.lock())
            send_message(*kept, connection, body_credit{id, credit});
    });
}

ready_body take_ready(body_pipe& pipe)
{
    ready_body ready;
    // A body's end often comes as an empty part of its own.
    while (!ready.complete &&
           ready.data.size() + max_body_part_bytes <= small_body_bytes) {
        std::optional<body_chunk> chunk = pipe.try_read();
        if (!chunk)
            break;
        ready.data += chunk->data;
        ready.complete = chunk->last;
    }
    return ready;
}

body_sender::body_sender(const link_strand& executor,
                         body_target target,
                         exchange_ptr attempt,
                         body_pipe exchange::*pipe,
                         std::function<void(bool whole)> ended)
    : executor_(executor), target_(std::move(target)),
      attempt_(std::move(attempt)), pipe_(pipe), ended_(std::move(ended)),
      room_came_(executor)
{
    room_came_.expires_at(asio::steady_timer::time_point::max());
}

void body_sender::start(std::string ahead)
{
    asio::co_spawn(
        executor_,
        [self = shared_from_this(),
         ahead = std::move(ahead)]() -> asio::awaitable<void> {
            co_await self->run(make_chunk(ahead, false));
        },
        asio::detached);
}

void body_sender::stop()
{
    stopped_ = true;
    room_came_.cancel();
}

void body_sender::on_credit(std::size_t bytes)
{
    credit_ = std::min(credit_ + bytes, body_window_bytes);
    room_came_.cancel();
}

void body_sender::wake()
{
    room_came_.cancel();
}

bool body_sender::may_send(std::size_t size)
{
    if (credit_ < window_cost(size))
        return false;
    if (!is_counted(size) || target_.window->has_room(size))
        return true;
    target_.window->wait(shared_from_this());
    return false;
}

void body_sender::send_now(body_chunk& chunk)
{
    const std::size_t size = chunk.data.size();
    const bool counted = is_counted(size);
    credit_ -= window_cost(size);
    if (counted)
        target_.window->take(size);
    sent_ += size;
    send_message(
        *target_.endpoint, target_.connection,
        body_part{target_.id, std::move(chunk.data), chunk.last, counted});
}

asio::awaitable<bool> body_sender::send(body_chunk& chunk)
{
    while (!stopped_ && !may_send(chunk.data.size())) {
        room_came_.expires_at(asio::steady_timer::time_point::max());
        co_await room_came_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (stopped_)
        co_return false;
    send_now(chunk);
    co_return true;
}

asio::awaitable<void> body_sender::run(body_chunk first)
{
    if (!first.data.empty()) {
        const bool sent = co_await send(first);
        if (!sent)
            co_return;
    }
    for (;;) {
        std::optional<body_chunk> chunk = co_await ((*attempt_).*pipe_).read();
        if (stopped_)
            co_return;
        if (!chunk) {
            ended_(false);
            co_return;
        }
        const bool last = chunk->last;
        const bool sent = co_await send(*chunk);
        if (!sent)
            co_return;
        if (!last)
            continue;
        ended_(true);
        co_return;
    }
}

} // namespace galenarudder::link
