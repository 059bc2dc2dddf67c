/// \file
/// The connections to one upstream, in use or idle.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace galenarudder::proxy {

/// Longest part of a response that is kept until it can be parsed: the line of
/// a chunk's size with its extension, or a trailer. The head of a response has
/// a lower limit in the parser.
inline constexpr std::size_t max_unparsed_bytes = 64 * 1024;

/// What a connection carries. A connection is used for one purpose only: load
/// queries have no id, so that a late copy of a response to one could leave the
/// next response on the connection for a call.
enum class connection_purpose
{
    calls,
    load_queries
};
inline constexpr std::size_t connection_purpose_count = 2;

/// A connection to the upstream and the bytes that were read ahead from it.
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
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    std::function<void()> on_closed;
    connection_purpose purpose = connection_purpose::calls;
    /// Since when it is idle.
    support::time_point idle_since{};
    /// How long it is reused while idle: a share of the idle timeout that the
    /// upstream states; 0 if it states none.
    support::duration idle_timeout{0};
};

using connection_ptr = std::shared_ptr<connection>;

/// Never has more connections open than allowed, in use or idle. Runs on one
/// executor, which must serialize its work.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    connection_pool(boost::asio::any_io_executor executor,
                    config::endpoint upstream);

    /// Limits the open connections to \p max_open and opens \p warm_count of
    /// them before calls need them. Drops idle ones that the upstream has
    /// closed.
    void set_max_connections(std::size_t max_open, std::size_t warm_count);
    /// Returns an idle connection for \p purpose or opens one. An idle one that
    /// was idle for \p max_idle_time or longer is not used. Returns null if
    /// connecting fails, or if no connection is available before \p deadline. A
    /// call gets null also if none is available and \p still_wanted, which
    /// wake_waiting makes it ask again, returns false.
    boost::asio::awaitable<connection_ptr>
    take_connection(connection_purpose purpose,
                    support::time_point deadline,
                    support::duration max_idle_time,
                    std::function<bool()> still_wanted);
    void wake_waiting() { availability_changed_.cancel(); }
    /// Returns a connection to the pool after a call.
    void give_back(connection_ptr returned);
    /// Counts a connection that the upstream reset; returns the number of them
    /// since the last response.
    unsigned count_reset() { return ++resets_in_row_; }
    void on_response() { resets_in_row_ = 0; }
    /// Closes idle connections at once, and the others when they are given
    /// back.
    void close();

    /// Returns the number of connections that are open or being opened.
    std::size_t open_count() const { return open_count_; }
    const config::endpoint& upstream() const { return upstream_; }
    const boost::asio::any_io_executor& executor() const { return executor_; }

private:
    boost::asio::awaitable<connection_ptr> connect(support::duration timeout);
    boost::asio::awaitable<void> warm();
    boost::asio::awaitable<void>
    wait_for_availability(support::time_point deadline);
    std::deque<connection_ptr>& idle_for(connection_purpose purpose)
    {
        return idle_[static_cast<std::size_t>(purpose)];
    }
    connection_ptr take_idle(connection_purpose purpose,
                             support::duration max_idle_time);
    bool close_one_idle(connection_purpose preferred);
    void connection_closed();

    boost::asio::any_io_executor executor_;
    config::endpoint upstream_;
    std::size_t max_connections_ = 1;
    std::size_t warm_target_ = 0;
    std::size_t open_count_ = 0;
    /// By purpose.
    std::array<std::deque<connection_ptr>, connection_purpose_count> idle_;
    /// Never expires; it is canceled to wake waiters when a connection was
    /// given back or closed.
    boost::asio::steady_timer availability_changed_;
    unsigned resets_in_row_ = 0;
    bool warming_ = false;
    bool closed_ = false;
};

} // namespace galenarudder::proxy
