// Connections are opened one after the other ahead of the calls.
#include "connection_pool.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
constexpr auto connect_timeout = std::chrono::seconds(1);
/// Upstreams commonly close connections that were idle for 5 s or longer.
constexpr auto usual_idle_time = std::chrono::seconds(4);

/// Whether the upstream has neither closed an idle connection nor sent
/// anything on it.
bool is_quiet(connection& idle)
{
    boost::system::error_code failure;
    tcp::socket& socket = idle.stream.socket();
    socket.non_blocking(true, failure);
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor,
                                 config::endpoint upstream)
    : executor_(std::move(executor)), upstream_(std::move(upstream)),
      room_(executor_)
{
    room_.expires_at(asio::steady_timer::time_point::max());
}

void connection_pool::set_max_connections(std::size_t count, std::size_t warm)
{
    max_connections_ = std::max<std::size_t>(1, count);
    warm_ = std::min(warm, max_connections_);
    std::erase_if(idle_,
                  [](const connection_ptr& kept) { return !is_quiet(*kept); });
    while (open_ > max_connections_ && !idle_.empty())
        idle_.pop_front();
    room_.cancel();
    if (warming_ || open_ >= warm_)
        return;
    asio::co_spawn(
        executor_,
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->warm();
        },
        asio::detached);
}

void connection_pool::close()
{
    closed_ = true;
    idle_.clear();
}

void connection_pool::connection_closed()
{
    assert(open_ > 0 && "each open connection closes once");
    --open_;
    room_.cancel();
}

/// Takes the connection that was used last, so that few stay in use. One that
/// was idle for too long may be closed by the upstream just as a call is sent
/// on it; one that is too old for this call alone stays for others.
connection_ptr connection_pool::take_idle(support::duration longest_idle)
{
    const support::time_point now = support::monotonic_clock::now();
    while (!idle_.empty()) {
        const connection& last = *idle_.back();
        const bool stated = last.kept_for.count() > 0;
        const support::duration usable =
            stated ? last.kept_for : usual_idle_time;
        const support::duration idle = now - last.idle_since;
        if (idle < usable && idle >= longest_idle)
            return nullptr;
        connection_ptr kept = std::move(idle_.back());
        idle_.pop_back();
        if (idle < usable && is_quiet(*kept))
            return kept;
    }
    return nullptr;
}

asio::awaitable<connection_ptr>
connection_pool::connect(support::duration timeout)
{
    ++open_;
    auto made =
        std::make_shared<connection>(executor_, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->connection_closed();
        });
    made->stream.expires_after(timeout);
    const tcp::endpoint remote(asio::ip::make_address(upstream_.address),
                               upstream_.port);
    const auto [failed] = co_await made->stream.async_connect(remote, awaiting);
    if (failed)
        co_return nullptr;
    boost::system::error_code ignored;
    made->stream.socket().set_option(tcp::no_delay(true), ignored);
    made->stream.expires_never();
    co_return made;
}

asio::awaitable<void>
connection_pool::wait_for_room(support::time_point deadline)
{
    asio::steady_timer until(executor_);
    until.expires_at(
        std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    until.async_wait([weak = weak_from_this()](boost::system::error_code off) {
        const auto self = weak.lock();
        if (self && !off)
            self->room_.cancel();
    });
    co_await room_.async_wait(awaiting);
}

/// Takes an idle connection or opens one, never more than the most allowed.
asio::awaitable<connection_ptr>
connection_pool::take_connection(support::time_point deadline,
                                 support::duration longest_idle)
{
    const auto self = shared_from_this();
    for (;;) {
        if (connection_ptr kept = take_idle(longest_idle))
            co_return kept;
        const support::duration left =
            deadline - support::monotonic_clock::now();
        if (left <= support::duration(0))
            co_return nullptr;
        if (open_ >= max_connections_ && !idle_.empty())
            idle_.pop_front();
        if (open_ < max_connections_) {
            const support::duration timeout =
                std::min<support::duration>(left, connect_timeout);
            co_return co_await connect(timeout);
        }
        co_await wait_for_room(deadline);
    }
}

/// Opens connections ahead, one after the other, so that calls do not wait
/// for them and the upstream is not hit by many at once.
asio::awaitable<void> connection_pool::warm()
{
    const auto self = shared_from_this();
    warming_ = true;
    while (!closed_ && open_ < warm_) {
        connection_ptr made = co_await connect(connect_timeout);
        if (!made)
            break;
        give_back(std::move(made));
    }
    warming_ = false;
}

void connection_pool::give_back(connection_ptr used)
{
    if (closed_ || open_ > max_connections_)
        return;
    used->stream.expires_never();
    used->idle_since = support::monotonic_clock::now();
    idle_.push_back(std::move(used));
    room_.cancel();
}

} // namespace galenarudder::proxy
