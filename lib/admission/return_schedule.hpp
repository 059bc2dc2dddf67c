/// \file
/// The times at which refused calls are to return.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <map>

namespace galenarudder::admission {

/// Where an upstream has room for calls that it refuses now.
struct return_room
{
    /// When the calls that wait have started.
    support::time_point first;
    /// End of the time in which the smaller rate applies.
    support::time_point cold_until;
    /// Calls per second that may start before and after cold_until.
    double cold_rate = 0;
    double warm_rate = 0;
};

/// Reserves a place of its own for each refused call, so that calls which
/// return at the stated times find room and do not return together. Room that
/// calls which arrive steadily are going to use is not reserved: the least
/// number of them in any of the last 3 seconds counts, so that a burst does
/// not.
class return_schedule
{
public:
    /// A call arrived that can only be sent here. It may be one that returns.
    void on_offer(support::time_point now);
    /// Returns the next free place. Places are at most \p max_wait away.
    support::time_point reserve(const return_room& room,
                                support::time_point now,
                                support::duration max_wait);
    void clear();

private:
    struct second_counts
    {
        std::uint32_t offered = 0;
        /// Reserved places within this second.
        std::uint32_t reserved = 0;
    };

    double steady_rate(support::time_point now) const;

    /// Counts by second of the clock: of the last 3 seconds, the present one
    /// and those with reserved places.
    std::map<std::int64_t, second_counts> seconds_;
    support::time_point next_{};
};

} // namespace galenarudder::admission
