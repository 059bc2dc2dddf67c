/// \file
/// Copies what the daemon's parts count into its metrics.
#pragma once

#include "galenarudder/daemon/node.hpp"
#include "galenarudder/link/hub.hpp"
#include "galenarudder/telemetry/metrics.hpp"

namespace galenarudder::daemon {

/// Call it on the node's thread.
void collect(const node& from, telemetry::metrics& into);

void collect(const link::hub_counters& from, telemetry::metrics& into);

} // namespace galenarudder::daemon
