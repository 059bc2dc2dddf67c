/// \file
/// A token bucket: a sustained rate with a bounded burst.
#pragma once

#include "galenarudder/support/time.hpp"

#include <algorithm>

namespace galenarudder::support {

/// Counts in whatever unit its owner chooses, such as bytes or calls. The time
/// is handed in; it starts full.
class rate_budget
{
public:
    rate_budget(double per_second, double burst)
        : per_second_(per_second), burst_(burst), tokens_(burst)
    {
    }

    /// Takes \p amount when the bucket holds it.
    bool try_take(double amount, time_point now)
    {
        refill(now);
        if (tokens_ < amount)
            return false;
        tokens_ -= amount;
        return true;
    }

    /// Takes \p amount even when the bucket then owes tokens; for traffic that
    /// cannot wait. The debt is at most one burst.
    void take(double amount, time_point now)
    {
        refill(now);
        tokens_ = std::max(tokens_ - amount, -burst_);
    }

    /// Returns whether \p amount could be taken.
    bool holds(double amount, time_point now)
    {
        refill(now);
        return tokens_ >= amount;
    }

    double tokens() const { return tokens_; }

private:
    void refill(time_point now)
    {
        if (now <= refilled_)
            return;
        const double seconds = to_ms(now - refilled_) / 1000;
        tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
        refilled_ = now;
    }

    double per_second_;
    double burst_;
    double tokens_;
    time_point refilled_{};
};

} // namespace galenarudder::support
