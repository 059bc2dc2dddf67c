/// \file
/// Time as the state machines see it. No machine reads a clock: the time of
/// each event is handed in, so that a replay gives the same actions.
#pragma once

#include <chrono>

namespace galenarudder::support {

using duration = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// A monotonic clock; its epoch is of no meaning between processes.
struct monotonic_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        return time_point(std::chrono::steady_clock::now().time_since_epoch());
    }
};

using time_point = monotonic_clock::time_point;

/// Converts a duration to fractional milliseconds.
constexpr double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Converts fractional milliseconds to a duration.
constexpr duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

} // namespace galenarudder::support
