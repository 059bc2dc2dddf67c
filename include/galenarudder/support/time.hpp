/// \file
/// Time types of the state machines. A state machine never reads a clock: it
/// receives the time of each event, so that a replay gives the same actions.
#pragma once

#include <chrono>
#include <ctime>

namespace galenarudder::support {

using duration = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// A monotonic clock. Its epoch is arbitrary, so time points of different
/// processes cannot be compared.
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

/// Returns the time since the VM was started. Unlike the monotonic clock it
/// goes on while the VM is suspended.
inline time_point boot_time()
{
    std::timespec elapsed{};
    ::clock_gettime(CLOCK_BOOTTIME, &elapsed);
    return time_point(std::chrono::seconds(elapsed.tv_sec) +
                      std::chrono::nanoseconds(elapsed.tv_nsec));
}

/// Converts a duration to fractional milliseconds.
constexpr double to_ms(duration interval)
{
    return std::chrono::duration<double, std::milli>(interval).count();
}

/// Converts fractional milliseconds to a duration.
constexpr duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

} // namespace galenarudder::support
