/// \file
/// Temporarily excludes failing upstreams from a service, up to a maximum share
/// of its upstreams.
#pragma once

#include "galenarudder/routing/fleet_view.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::telemetry {
class decision_log;
} // namespace galenarudder::telemetry

namespace galenarudder::routing {

/// Returns whether the upstream is ejected at \p now.
bool is_ejected(const upstream_state& upstream, support::time_point now);

/// Records a successful attempt.
void record_success(upstream_state& upstream);

/// Records a failed attempt. Returns whether \p upstream now qualifies for
/// ejection.
bool record_failure(upstream_state& upstream,
                    const routing_limits& limits,
                    support::time_point now);

/// Ejects \p upstream if the mode and the maximum share of ejected upstreams
/// allow it, and records the decision. \p decisions may be null.
void eject(const service_view& service,
           const candidate& upstream,
           const routing_limits& limits,
           telemetry::decision_log* decisions,
           support::time_point now);

} // namespace galenarudder::routing
