/// \file
/// Whether the platform's store answers, as told by the calls made to it.
#pragma once

#include "galenarudder/support/time.hpp"

#include <optional>

namespace galenarudder::store {

/// The store stopped answering, or answers again.
struct reachability_change
{
    bool reachable = false;
    /// How long it gave no answer; 0 when it was lost.
    support::duration outage{0};
};

/// A state machine without I/O.
class reachability
{
public:
    /// Calls in a row without a useful answer after which the store counts as
    /// lost: a single one may have met a limit of its rate.
    static constexpr unsigned failures_until_lost = 2;

    /// A call ended; returns what changed by it.
    std::optional<reachability_change> on_call(bool answered,
                                               support::time_point now);

private:
    unsigned failures_ = 0;
    support::time_point failing_since_{};
};

} // namespace galenarudder::store
