/// \file
/// Estimates how long one more call would take at an upstream. The load reports
/// behind the estimate are always out of date to some degree.
#pragma once

#include "galenarudder/routing/upstream_state.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>

namespace galenarudder::routing {

/// Inputs of an estimate beside the state of the upstream.
struct estimate_inputs
{
    support::time_point now;
    /// Position of the call's rank, 0 for the most urgent.
    std::size_t rank = 0;
    /// Used as the gate's concurrency limit until the gate reports its own.
    std::uint32_t slots = 0;
    double slow_start_ms = 0;
};

/// Returns the expected completion time in milliseconds: the round-trip time
/// plus the service and queueing time behind calls of this or a more urgent
/// rank, with penalties for slowdowns, stalls, failures and slow start.
double expected_completion_ms(const upstream_state& upstream,
                              const estimate_inputs& inputs);

/// Returns the elapsed share of the upstream's slow start, at least 0.5; 1 when
/// it is over.
double slow_start_progress(const upstream_state& upstream,
                           const estimate_inputs& inputs);

} // namespace galenarudder::routing
