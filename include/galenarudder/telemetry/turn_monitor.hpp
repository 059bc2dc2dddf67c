/// \file
/// Shows what keeps the event loop. While one turn runs, nothing else does:
/// closes of callers, deadlines, checks of readiness and all other calls wait.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string_view>

namespace galenarudder::telemetry {

class metrics;

/// A turn or a delay of the loop beyond this is logged, with the events
/// loop.turn_long and loop.delayed.
inline constexpr support::milliseconds long_turn_bound{50};

/// Measures turns that do work for the whole daemon by their names, and the
/// delay of a timer, which includes all other turns and the time for which the
/// process gets no processor. Safe from any thread.
class turn_monitor
{
public:
    /// Measures the turn until the end of this object's lifetime. \p name
    /// refers to static storage.
    class turn
    {
    public:
        turn(turn_monitor& monitor, std::string_view name);
        ~turn();
        turn(const turn&) = delete;
        turn& operator=(const turn&) = delete;

    private:
        turn_monitor& monitor_;
        std::string_view name_;
        support::time_point begin_;
    };

    /// A timer that was to expire at \p due was handled at \p now. To be called
    /// on the thread of the loop.
    void on_timer(support::time_point due, support::time_point now);

    /// Returns the longest turn called \p name; 0 before the first.
    support::duration longest_turn(std::string_view name) const;
    support::duration longest_delay() const;

    void collect(metrics& registry) const;

private:
    struct totals
    {
        support::duration longest{0};
        std::uint64_t count = 0;
        std::uint64_t over_bound = 0;

        /// Returns whether \p length is over the bound.
        bool add(support::duration length);
    };

    void on_turn(std::string_view name, support::duration length);

    mutable std::mutex mutex_;
    std::map<std::string_view, totals> turns_;
    totals delays_;
    support::duration processor_time_{0};
};

} // namespace galenarudder::telemetry
