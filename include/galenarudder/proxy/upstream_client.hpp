/// \file
/// Sends attempts to the upstream of this daemon over persistent connections
/// that are opened before calls need them.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::proxy {

class connection_pool;

/// How one attempt at the upstream ended.
enum class upstream_result
{
    answered,
    failed,
    /// The upstream stated that it shed the call without running it.
    shed,
    /// No connection was available: none could be opened, or none became free
    /// before the deadline. The attempt may have been canceled meanwhile.
    unreachable,
    /// Another instance answered at the upstream's address.
    replaced,
    /// No byte was sent, although a connection was available or was still
    /// waited for: the attempt was canceled or its deadline had passed.
    not_sent
};

/// A running attempt; abort() closes its connection.
class upstream_call
{
public:
    virtual ~upstream_call() = default;
    virtual void abort() = 0;
    /// Ends the attempt as not run if no byte of it was sent; otherwise it
    /// completes.
    virtual void abort_unsent() = 0;
};

/// Returns the load that \p head states, if \p instance sent it. A response
/// that does not name its instance states no cold time, since the process
/// before may have sent it.
std::optional<upstream_load>
load_of_instance(const support::response_head& head,
                 std::string_view instance,
                 const http_dialect& dialect);

/// An HTTP/1.1 client of one upstream. Runs on one executor, which must
/// serialize its work.
class upstream_client
{
public:
    /// \p instance is the id of the upstream's instance that is to run the
    /// calls; empty if the dialect has no instance ids.
    upstream_client(boost::asio::any_io_executor executor,
                    config::endpoint upstream,
                    std::string instance = {},
                    const http_dialect& dialect = product_dialect());
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// Limits the open connections, in use or idle, to \p max_open and opens
    /// \p warm_count of them before calls need them. To be called again to
    /// replace connections that the upstream closed.
    void set_max_connections(std::size_t max_open, std::size_t warm_count);
    /// Returns the number of connections that are open or being opened.
    std::size_t open_connections() const;

    /// Called before the response or refusal is delivered, to state the gate's
    /// load with it.
    using load_source = std::function<support::load_report()>;
    /// Called once, when the attempt has ended, with the load that the upstream
    /// stated, if any.
    using finished_handler =
        std::function<void(upstream_result result,
                           support::duration elapsed,
                           const std::optional<upstream_load>& stated_load)>;

    /// Called with what a response states about further calls, before the
    /// response is delivered.
    using demand_handler = std::function<void(const upstream_demand& stated)>;

    /// Sends the attempt and delivers its response or a refusal. Nothing is
    /// sent once \p deadline has passed.
    std::shared_ptr<upstream_call> run(link::exchange_ptr attempt,
                                       support::time_point deadline,
                                       load_source get_load,
                                       finished_handler on_finished,
                                       demand_handler on_demand = {});

    /// Queries the upstream's load by a request for \p path, on a connection of
    /// the pool that calls use. \p on_load is called with nullopt if the
    /// upstream does not state its load within \p timeout.
    void query_load(
        const std::string& path,
        support::duration timeout,
        std::function<void(const std::optional<upstream_load>&)> on_load);

    /// Closes idle connections at once, and the others when their attempts have
    /// ended.
    void close();

private:
    std::shared_ptr<connection_pool> pool_;
    std::string instance_;
    const http_dialect& dialect_;
};

} // namespace galenarudder::proxy
