/// \file
/// A clock that jumps from one planned event to the next.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace galenarudder::replay {

/// Runs events in order of time; equal times in the order of planning.
class timeline
{
public:
    support::time_point now() const { return now_; }
    bool empty() const { return planned_.empty(); }

    void at(support::time_point when, std::function<void()> event)
    {
        planned_.push({when, ++last_number_, std::move(event)});
    }
    void after(double ms, std::function<void()> event)
    {
        at(now_ + support::from_ms(ms), std::move(event));
    }
    void run_next()
    {
        const planned next = planned_.top();
        planned_.pop();
        now_ = next.when;
        next.event();
    }

private:
    struct planned
    {
        support::time_point when;
        std::uint64_t number = 0;
        std::function<void()> event;

        friend bool operator<(const planned& left, const planned& right)
        {
            if (left.when != right.when)
                return left.when > right.when;
            return left.number > right.number;
        }
    };

    /// The clock does not start at its epoch, which means "never" elsewhere.
    support::time_point now_{std::chrono::hours(1)};
    std::uint64_t last_number_ = 0;
    std::priority_queue<planned> planned_;
};

} // namespace galenarudder::replay
