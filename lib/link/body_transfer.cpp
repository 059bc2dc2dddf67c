// A body that is not available at once is sent by a coroutine of its own.
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

/// Credit is sent only once this much has accumulated, so that small bodies
/// need no credit messages.
constexpr std::size_t min_body_credit_bytes = body_window_bytes / 4;
constexpr std::size_t min_link_credit_bytes = link_window_bytes / 4;

} // namespace

void send_message(websocket_endpoint& endpoint,
                  connection_id connection,
                  const message& outgoing)
{
    endpoint.send(connection, encode(outgoing));
}

void link_send_window::wake_on_credit(std::shared_ptr<body_sender> sender)
{
    waiting_.push_back(std::move(sender));
}

void link_send_window::on_credit(std::size_t size)
{
    available_bytes_ = std::min(available_bytes_ + size, link_window_bytes);
    const std::vector<std::shared_ptr<body_sender>> senders =
        std::move(waiting_);
    waiting_.clear();
    for (const std::shared_ptr<body_sender>& sender : senders)
        sender->wake();
}

bool link_receive_window::on_received(const body_part& part)
{
    if (!part.counts_against_link)
        return true;
    uncredited_bytes_ += part.data.size();
    return uncredited_bytes_ <= link_window_bytes;
}

std::size_t link_receive_window::take_due_credit()
{
    if (uncredited_bytes_ < min_link_credit_bytes)
        return 0;
    return std::exchange(uncredited_bytes_, 0);
}

bool body_receive_window::on_received(std::size_t size)
{
    const auto cost = static_cast<std::int64_t>(window_cost(size));
    return available_bytes_.fetch_sub(cost) >= cost;
}

std::size_t body_receive_window::on_consumed(std::size_t size)
{
    const std::size_t cost = window_cost(size);
    const std::size_t uncredited_bytes =
        uncredited_bytes_.fetch_add(cost) + cost;
    if (uncredited_bytes < min_body_credit_bytes)
        return 0;
    const std::size_t credit = uncredited_bytes_.exchange(0);
    available_bytes_.fetch_add(static_cast<std::int64_t>(credit));
    return credit;
}

void send_credit_on_read(const std::weak_ptr<websocket_endpoint>& endpoint,
                         connection_id connection,
                         support::attempt_id id,
                         body_pipe& pipe,
                         const std::shared_ptr<body_receive_window>& window)
{
    pipe.set_consumed_handler(
        [endpoint, connection, id, window](std::size_t size) {
            const std::size_t credit = window->on_consumed(size);
            if (credit == 0)
                return;
            if (const auto locked = endpoint.lock())
                send_message(*locked, connection, body_credit{id, credit});
        });
}

available_body take_available(body_pipe& pipe)
{
    available_body available;
    // Reads on after data: the end of a body often arrives as an empty chunk of
    // its own.
    while (!available.complete &&
           available.data.size() + max_body_part_bytes <= small_body_bytes) {
        std::optional<body_chunk> chunk = pipe.try_read();
        if (!chunk)
            break;
        available.data += chunk->data;
        available.complete = chunk->last;
    }
    return available;
}

body_sender::body_sender(const link_strand& executor,
                         body_target target,
                         exchange_ptr attempt,
                         body_pipe exchange::*pipe,
                         std::function<void(bool complete)> on_end)
    : executor_(executor), target_(std::move(target)),
      attempt_(std::move(attempt)), pipe_(pipe), on_end_(std::move(on_end)),
      credit_signal_(executor)
{
    credit_signal_.expires_at(asio::steady_timer::time_point::max());
}

void body_sender::start(std::string initial_data)
{
    asio::co_spawn(
        executor_,
        [self = shared_from_this(),
         initial_data = std::move(initial_data)]() -> asio::awaitable<void> {
            co_await self->run(make_chunk(initial_data, false));
        },
        asio::detached);
}

void body_sender::stop()
{
    stopped_ = true;
    credit_signal_.cancel();
}

void body_sender::on_credit(std::size_t bytes)
{
    available_bytes_ = std::min(available_bytes_ + bytes, body_window_bytes);
    credit_signal_.cancel();
}

void body_sender::wake()
{
    credit_signal_.cancel();
}

bool body_sender::may_send(std::size_t size)
{
    if (available_bytes_ < window_cost(size))
        return false;
    if (!uses_link_window(size) || target_.window->has_room(size))
        return true;
    target_.window->wake_on_credit(shared_from_this());
    return false;
}

void body_sender::send_part(body_chunk& chunk)
{
    const std::size_t size = chunk.data.size();
    const bool counts_against_link = uses_link_window(size);
    available_bytes_ -= window_cost(size);
    if (counts_against_link)
        target_.window->take(size);
    sent_bytes_ += size;
    send_message(*target_.endpoint, target_.connection,
                 body_part{target_.id, std::move(chunk.data), chunk.last,
                           counts_against_link});
}

asio::awaitable<bool> body_sender::send(body_chunk& chunk)
{
    while (!stopped_ && !may_send(chunk.data.size())) {
        credit_signal_.expires_at(asio::steady_timer::time_point::max());
        co_await credit_signal_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (stopped_)
        co_return false;
    send_part(chunk);
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
            on_end_(false);
            co_return;
        }
        const bool last = chunk->last;
        const bool sent = co_await send(*chunk);
        if (!sent)
            co_return;
        if (!last)
            continue;
        on_end_(true);
        co_return;
    }
}

} // namespace galenarudder::link
