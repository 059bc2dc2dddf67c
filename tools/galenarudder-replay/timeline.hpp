/// \file
/// A simulated clock that jumps from one scheduled event to the next.
#pragma once

#include "galenarudder/support/time.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
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
        queue_.push_back({time, ++last_number_, std::move(event)});
        std::push_heap(queue_.begin(), queue_.end());
    }
    void after(double ms, std::function<void()> event)
    {
        at(now_ + support::from_ms(ms), std::move(event));
    }
    void run_next()
    {
        std::pop_heap(queue_.begin(), queue_.end());
        const scheduled_event next = std::move(queue_.back());
        queue_.pop_back();
        now_ = next.time;
        next.event();
    }

private:
    struct scheduled_event
    {
        support::time_point time;
        std::uint64_t number = 0;
        std::function<void()> event;

        /// Reversed, since the heap functions put the largest first.
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
    /// A heap; unlike std::priority_queue it lets events be moved out.
    std::vector<scheduled_event> queue_;
};

} // namespace galenarudder::replay
