/// \file
/// Copies the counters of membership and store into the daemon's metrics.
#pragma once

#include "galenarudder/membership/member.hpp"
#include "galenarudder/store/consul_store.hpp"
#include "galenarudder/telemetry/metrics.hpp"

namespace galenarudder::daemon {

void set_metrics(telemetry::metrics& shown, const membership::member& known);
void set_metrics(telemetry::metrics& shown,
                 const store::store_counters& counters);

} // namespace galenarudder::daemon
