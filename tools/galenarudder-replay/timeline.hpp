/// \file
/// A simulated clock that jumps from one scheduled event to the next.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace galenarudder::replay {

/// Runs events by time, those of equal time in the order in which they were
/// scheduled.
class timeline
{
public:
    support::time_point now() const { return now_; }
    bool empty() const { return queue_.empty(); }

    void at(support::time_point time, std::function<void()> event)
    {
        queue_.push({time, ++last_number_, std::move(event)});
    }
    void after(double ms, std::function<void()> event)
    {
        at(now_ + support::from_ms(ms), std::move(event));
    }
    void run_next()
    {
        const scheduled_event next = queue_.top();
        queue_.pop();
        now_ = next.time;
        next.event();
    }

private:
    struct scheduled_event
    {
        support::time_point time;
        std::uint64_t number = 0;
        std::function<void()> event;

        /// Reversed, since \c std::priority_queue puts the largest first.
        friend bool operator<(const scheduled_event& left,
                              const scheduled_event& right)
        {
            if (left.time != right.time)
                return left.time > right.time;
            return left.number > right.number;
        }
    };

    /// Starts away from the epoch, which means "never" in other components.
    support::time_point now_{std::chrono::hours(1)};
    std::uint64_t last_number_ = 0;
    std::priority_queue<scheduled_event> queue_;
};

} // namespace galenarudder::replay
