/// \file
/// The running daemon: the sockets, timers and threads around daemon::node.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/integration.hpp"
#include "galenarudder/support/error.hpp"

#include <memory>

namespace galenarudder::daemon {

/// Owns the ports of a daemon and runs its threads.
class runtime
{
public:
    explicit runtime(config::daemon_settings settings,
                     integration deployment = product_integration());
    ~runtime();
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;

    /// Opens all ports and starts the timers.
    support::result<void> start();

    /// Runs until the drain that SIGTERM or SIGINT starts is complete.
    void run();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
