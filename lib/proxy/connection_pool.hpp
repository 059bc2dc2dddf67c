/// \file
/// The connections of one upstream: those in use and those kept open.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace galenarudder::proxy {

/// One connection to the upstream with what was read ahead on it.
struct connection
{
    connection(const boost::asio::any_io_executor& executor,
               std::function<void()> closed)
        : stream(executor), on_closed(std::move(closed))
    {
    }
    ~connection() { on_closed(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::function<void()> on_closed;
    /// Since when no call uses it.
    support::time_point idle_since{};
    /// How long the upstream keeps it without a call; 0 when not stated.
    support::duration kept_for{0};
};

using connection_ptr = std::shared_ptr<connection>;

/// Runs on one executor that must serialize its work. Never has more
/// connections open than allowed, in use or idle.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(boost::asio::any_io_executor executor,
                    config::endpoint upstream);

    /// Bounds the open connections and opens \p warm of them ahead; drops those
    /// that the upstream has closed.
    void set_max_connections(std::size_t count, std::size_t warm);
    /// Takes a connection that was idle for at most \p longest_idle or opens
    /// one; null when that fails, or when none came free before \p deadline.
    boost::asio::awaitable<connection_ptr>
    take_connection(support::time_point deadline,
                    support::duration longest_idle);
    void give_back(connection_ptr used);
    /// Closes idle connections, and others when they are given back.
    void close();

    /// Connections that are open or being opened.
    std::size_t open() const { return open_; }
    const config::endpoint& upstream() const { return upstream_; }
    const boost::asio::any_io_executor& executor() const { return executor_; }

private:
    boost::asio::awaitable<connection_ptr> connect(support::duration timeout);
    boost::asio::awaitable<void> warm();
    boost::asio::awaitable<void> wait_for_room(support::time_point deadline);
    connection_ptr take_idle(support::duration longest_idle);
    void connection_closed();

    boost::asio::any_io_executor executor_;
    config::endpoint upstream_;
    std::size_t max_connections_ = 1;
    std::size_t warm_ = 0;
    std::size_t open_ = 0;
    std::deque<connection_ptr> idle_;
    /// Its waiters wake when a connection was given back or closed.
    boost::asio::steady_timer room_;
    bool warming_ = false;
    bool closed_ = false;
};

} // namespace galenarudder::proxy
