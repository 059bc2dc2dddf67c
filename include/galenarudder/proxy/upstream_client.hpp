/// \file
/// Sends attempts to the daemon's own upstream over warm keep-alive
/// connections.
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

namespace galenarudder::proxy {

class connection_pool;

/// How one attempt at the upstream ended.
enum class upstream_result
{
    answered,
    failed,
    shed,
    /// No connection could be opened.
    unreachable,
    /// Another life of the upstream answered at its address.
    replaced,
    /// No byte was sent: it was canceled or its deadline had passed.
    not_sent
};

/// One attempt that runs; abort closes its connection.
class upstream_call
{
public:
    virtual ~upstream_call() = default;
    virtual void abort() = 0;
};

/// Runs on one executor that must serialize its work.
class upstream_client
{
public:
    /// \p instance names the life of the upstream that is meant; empty when
    /// the dialect names none.
    upstream_client(boost::asio::any_io_executor executor,
                    config::endpoint upstream,
                    std::string instance = {},
                    const http_dialect& dialect = product_dialect());
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// Bounds the connections that are open, in use or not, and opens \p warm
    /// of them ahead of the calls. Call it again to replace those that were
    /// closed.
    void set_max_connections(std::size_t count, std::size_t warm);
    /// Connections that are open or being opened.
    std::size_t open_connections() const;

    /// Called before deliver, to state the load with the answer.
    using load_source = std::function<support::load_report()>;
    /// Called once when the attempt has ended.
    using finished =
        std::function<void(upstream_result how,
                           support::duration took,
                           const std::optional<upstream_load>& stated)>;

    /// Sends the attempt and delivers its answer or refusal. Nothing is sent
    /// once \p deadline has passed.
    std::shared_ptr<upstream_call> run(link::exchange_ptr attempt,
                                       support::time_point deadline,
                                       load_source load,
                                       finished done);

    /// Asks the upstream at \p path for its load, on a connection as for a
    /// call; \p told gets nothing when it does not state one in time.
    void measure(const std::string& path,
                 support::duration timeout,
                 std::function<void(const std::optional<upstream_load>&)> told);

    /// Closes idle connections.
    void close();

private:
    std::shared_ptr<connection_pool> pool_;
    std::string instance_;
    const http_dialect& dialect_;
};

} // namespace galenarudder::proxy
