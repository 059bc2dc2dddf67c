/// \file
/// The expected completion of one more call at one upstream, from reports
/// that are always stale.
#pragma once

#include "galenarudder/routing/upstream_state.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>

namespace galenarudder::routing {

struct estimate_terms
{
    support::time_point now;
    /// Position of the call's rank, 0 for the most urgent.
    std::size_t rank = 0;
    std::uint32_t slots = 0;
    double slow_start_ms = 0;
};

/// Returns a cost in milliseconds: link delay and work ahead of this rank
/// over the service rate, with penalties for errors, stalls and cold starts.
double expected_ms(const upstream_state& upstream, const estimate_terms& terms);

/// Returns how far an upstream is through its slow start, above 0 and up to
/// 1.
double slow_start_share(const upstream_state& upstream,
                        const estimate_terms& terms);

} // namespace galenarudder::routing
