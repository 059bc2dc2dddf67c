/// \file
/// The daemon with its sockets, timers and threads around daemon::node.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/integration.hpp"
#include "galenarudder/support/error.hpp"

#include <memory>

namespace galenarudder::daemon {

class runtime
{
public:
    explicit runtime(config::daemon_settings settings,
                     integration with = product_integration());
    ~runtime();
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;

    /// Opens every port.
    support::result<void> start();

    /// Serves until a drain that was asked for by SIGTERM or SIGINT has ended.
    void run();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
