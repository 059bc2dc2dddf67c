/// \file
/// What an entry expects of cold upstreams by their load reports: whether one
/// can start a call in time, and when a call that none can start may return.
#pragma once

#include "galenarudder/routing/upstream_state.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>

namespace galenarudder::routing {

struct timely_inputs
{
    support::time_point now;
    /// Position of the call's rank, 0 for the most urgent.
    std::size_t rank = 0;
    support::time_point in_time_until;
    /// Time between two starts of a cold upstream.
    support::duration start_interval{0};
};

/// Returns whether \p upstream stated in its last report that it is cold for
/// longer than until \p now.
bool is_known_cold(const upstream_state& upstream, support::time_point now);

/// Returns whether the upstream counts as cold: by its own report or, until it
/// has sent one, by those of the other upstreams of its service.
bool counts_as_cold(const upstream_state& upstream, support::time_point now);

/// Returns when a call that is sent now is expected to start. A report that is
/// older than the delay that it states delays no call.
support::time_point expected_start(const upstream_state& upstream,
                                   const timely_inputs& inputs);

/// Returns whether the upstream may start the call before it is late. Only one
/// that is known to be cold may not.
bool may_start_in_time(const upstream_state& upstream,
                       const timely_inputs& inputs);

/// Reserves for a call that is refused a place of its own from \p first on, as
/// many per second as \p interval allows, at most \p max_spread after it.
support::time_point reserve_return(service_state& service,
                                   support::time_point first,
                                   support::duration interval,
                                   support::duration max_spread);

} // namespace galenarudder::routing
