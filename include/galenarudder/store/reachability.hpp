/// \file
/// Tracks from the results of calls whether the platform's store is reachable.
#pragma once

#include "galenarudder/support/time.hpp"

#include <optional>

namespace galenarudder::store {

/// The store was lost or regained.
struct reachability_change
{
    bool reachable = false;
    /// Time from the first failed call; 0 when the store was lost.
    support::duration outage{0};
};

/// Reachability of the store, as a state machine without I/O.
class reachability
{
public:
    /// Consecutive failed calls after which the store counts as lost; a single
    /// failure may be due to the store's rate limit.
    static constexpr unsigned failures_until_lost = 2;

    /// Records the result of a call; returns a change of reachability, if any.
    std::optional<reachability_change> on_call(bool succeeded,
                                               support::time_point now);

private:
    unsigned consecutive_failures_ = 0;
    support::time_point failing_since_{};
};

} // namespace galenarudder::store
