// Connections that are opened before calls need them are opened one after the
// other.
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

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr auto connect_timeout = std::chrono::seconds(1);
/// Used if an upstream states no idle timeout; upstreams commonly close
/// connections that were idle for 5 s or longer.
constexpr auto default_idle_timeout = std::chrono::seconds(4);

/// Returns whether the upstream has neither closed an idle connection nor sent
/// anything on it.
bool is_reusable(connection& candidate)
{
    boost::system::error_code failure;
    tcp::socket& socket = candidate.stream.socket();
    socket.non_blocking(true, failure);
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

} // namespace

connection_pool::connection_pool(asio::any_io_executor executor,
                                 config::endpoint upstream)
    : executor_(std::move(executor)), upstream_(std::move(upstream)),
      availability_changed_(executor_)
{
    availability_changed_.expires_at(asio::steady_timer::time_point::max());
}

void connection_pool::set_max_connections(std::size_t max_open,
                                          std::size_t warm_count)
{
    max_connections_ = std::max<std::size_t>(1, max_open);
    warm_target_ = std::min(warm_count, max_connections_);
    for (std::deque<connection_ptr>& idle : idle_) {
        std::erase_if(idle, [](const connection_ptr& pooled) {
            return !is_reusable(*pooled);
        });
    }
    while (open_count_ > max_connections_ &&
           close_one_idle(connection_purpose::load_queries))
        continue;
    availability_changed_.cancel();
    if (warming_ || open_count_ >= warm_target_)
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
    idle_ = {};
}

void connection_pool::connection_closed()
{
    assert(open_count_ > 0 && "each open connection closes once");
    --open_count_;
    availability_changed_.cancel();
}

/// Takes the connection that was used last, so that few stay in use. Drops one
/// that exceeded its idle timeout, since the upstream may close it just as a
/// call is sent on it. One that only exceeds \p max_idle_time stays for other
/// calls.
connection_ptr connection_pool::take_idle(connection_purpose purpose,
                                          support::duration max_idle_time)
{
    std::deque<connection_ptr>& idle = idle_for(purpose);
    const support::time_point now = support::monotonic_clock::now();
    while (!idle.empty()) {
        const connection& last = *idle.back();
        const bool timeout_stated = last.idle_timeout.count() > 0;
        const support::duration idle_timeout =
            timeout_stated ? last.idle_timeout : default_idle_timeout;
        const support::duration idle_time = now - last.idle_since;
        if (idle_time < idle_timeout && idle_time >= max_idle_time)
            return nullptr;
        connection_ptr pooled = std::move(idle.back());
        idle.pop_back();
        if (idle_time < idle_timeout && is_reusable(*pooled))
            return pooled;
    }
    return nullptr;
}

/// Closes the idle connection that was used least recently, one for
/// \p preferred if there is any. Returns whether there was one.
bool connection_pool::close_one_idle(connection_purpose preferred)
{
    std::deque<connection_ptr>* chosen = &idle_for(preferred);
    for (std::deque<connection_ptr>& idle : idle_) {
        if (chosen->empty())
            chosen = &idle;
    }
    if (chosen->empty())
        return false;
    chosen->pop_front();
    return true;
}

asio::awaitable<connection_ptr>
connection_pool::connect(support::duration timeout)
{
    ++open_count_;
    auto opened =
        std::make_shared<connection>(executor_, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->connection_closed();
        });
    opened->stream.expires_after(timeout);
    const tcp::endpoint remote(asio::ip::make_address(upstream_.address),
                               upstream_.port);
    const auto [failure] =
        co_await opened->stream.async_connect(remote, use_nothrow_awaitable);
    if (failure)
        co_return nullptr;
    boost::system::error_code ignored;
    opened->stream.socket().set_option(tcp::no_delay(true), ignored);
    opened->stream.expires_never();
    co_return opened;
}

asio::awaitable<void>
connection_pool::wait_for_availability(support::time_point deadline)
{
    asio::steady_timer timer(executor_);
    timer.expires_at(
        std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code failure) {
            const auto self = weak.lock();
            if (self && !failure)
                self->availability_changed_.cancel();
        });
    co_await availability_changed_.async_wait(use_nothrow_awaitable);
}

/// Closes an idle connection that this call cannot use if the limit would
/// otherwise keep it from opening one.
asio::awaitable<connection_ptr>
connection_pool::take_connection(connection_purpose purpose,
                                 support::time_point deadline,
                                 support::duration max_idle_time,
                                 std::function<bool()> still_wanted)
{
    const auto self = shared_from_this();
    for (;;) {
        if (connection_ptr pooled = take_idle(purpose, max_idle_time))
            co_return pooled;
        if (!still_wanted())
            co_return nullptr;
        const support::duration time_left =
            deadline - support::monotonic_clock::now();
        if (time_left <= support::duration(0))
            co_return nullptr;
        if (open_count_ >= max_connections_)
            close_one_idle(purpose);
        if (open_count_ < max_connections_) {
            const support::duration timeout =
                std::min<support::duration>(time_left, connect_timeout);
            connection_ptr opened = co_await connect(timeout);
            if (opened)
                opened->purpose = purpose;
            co_return opened;
        }
        co_await wait_for_availability(deadline);
    }
}

/// Opens connections before calls need them, so that calls need not wait, and
/// one after the other, so that the upstream does not get many at once.
asio::awaitable<void> connection_pool::warm()
{
    const auto self = shared_from_this();
    warming_ = true;
    while (!closed_ && open_count_ < warm_target_) {
        connection_ptr opened = co_await connect(connect_timeout);
        if (!opened)
            break;
        give_back(std::move(opened));
    }
    warming_ = false;
}

void connection_pool::give_back(connection_ptr returned)
{
    if (closed_ || open_count_ > max_connections_)
        return;
    returned->stream.expires_never();
    returned->idle_since = support::monotonic_clock::now();
    idle_for(returned->purpose).push_back(returned);
    availability_changed_.cancel();
}

} // namespace galenarudder::proxy
