/// \file
/// Copies the counters of the membership protocol and of the store into the
/// daemon's metrics.
#pragma once

#include "galenarudder/membership/member.hpp"
#include "galenarudder/store/consul_store.hpp"
#include "galenarudder/telemetry/metrics.hpp"

namespace galenarudder::daemon {

void set_metrics(telemetry::metrics& registry,
                 const membership::member& local_member);
void set_metrics(telemetry::metrics& registry,
                 const store::store_counters& counters);

} // namespace galenarudder::daemon
