/// \file
/// The HTTP port for operators: metrics, health, status, members,
/// configuration, decisions and drain.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace galenarudder::daemon {

class node;

/// What the port reads and the handlers that it calls, all on \c executor. Work
/// that grows with the configuration runs on \c background.
struct operator_handlers
{
    boost::asio::any_io_executor executor;
    boost::asio::any_io_executor background;
    /// Copies the daemon's counters into its metrics and returns those of the
    /// control logic in the Prometheus text format.
    std::function<std::string()> collect_metrics;
    /// Returns the other metrics in the same format. Called on \c background.
    std::function<std::string()> render_metrics;
    const daemon::node* node = nullptr;
    const config::daemon_settings* settings = nullptr;
    std::function<void()> drain;
    /// Returns the number of calls that run at the upstream of this daemon.
    std::function<std::size_t()> running_calls;
    /// Receives an authenticated configuration transfer from a peer or from an
    /// operator's tool; \c sender is the peer's id, or empty for the tool.
    std::function<void(const std::string& encoded, const std::string& sender)>
        transfer;
};

/// Serves the operators' paths below /v1 and /metrics.
class operator_port
{
public:
    operator_port(boost::asio::io_context& io, operator_handlers handlers);
    ~operator_port();
    operator_port(const operator_port&) = delete;
    operator_port& operator=(const operator_port&) = delete;

    support::result<void> listen(const config::endpoint& address);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
