/// \file
/// Copies the counters of the daemon's parts into its metrics.
#pragma once

#include "galenarudder/daemon/node.hpp"
#include "galenarudder/link/link_manager.hpp"
#include "galenarudder/telemetry/metrics.hpp"

namespace galenarudder::daemon {

/// Must be called on the thread that runs the node's events.
void collect(const node& daemon_node, telemetry::metrics& registry);

void collect(const link::link_counters& counters, telemetry::metrics& registry);

} // namespace galenarudder::daemon
