/// \file
/// Takes failing upstreams out of a service for a time, within a largest
/// share.
#pragma once

#include "galenarudder/routing/fleet_view.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::telemetry {
class decision_log;
} // namespace galenarudder::telemetry

namespace galenarudder::routing {

/// Whether the upstream is out at \p now because of failures.
bool is_ejected(const upstream_state& upstream, support::time_point now);

/// An attempt was answered well.
void note_success(upstream_state& upstream);

/// An attempt failed; returns true when the failures of \p upstream are
/// enough to eject it.
bool note_failure(upstream_state& upstream,
                  const routing_limits& limits,
                  support::time_point now);

/// Ejects \p upstream when mode and share allow; records the decision.
/// \p decisions may be null.
void eject(const service_view& service,
           const candidate& upstream,
           const routing_limits& limits,
           telemetry::decision_log* decisions,
           support::time_point now);

} // namespace galenarudder::routing
