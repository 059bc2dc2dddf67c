/// \file
/// A token bucket: limits a sustained rate and the size of bursts.
#pragma once

#include "galenarudder/support/time.hpp"

#include <algorithm>

namespace galenarudder::support {

/// A token bucket that starts full. The owner chooses the unit of a token, such
/// as a byte or a call, and passes the current time to each function.
class token_bucket
{
public:
    token_bucket(double tokens_per_s, double burst)
        : tokens_per_s_(tokens_per_s), burst_(burst), tokens_(burst)
    {
    }

    /// Takes \p amount tokens if the bucket holds that many; returns whether it
    /// did.
    bool try_take(double amount, time_point now)
    {
        refill(now);
        if (tokens_ < amount)
            return false;
        tokens_ -= amount;
        return true;
    }

    /// Takes \p amount tokens even if the balance becomes negative; for traffic
    /// that cannot be delayed. The balance never falls below minus one burst.
    void charge(double amount, time_point now)
    {
        refill(now);
        tokens_ = std::max(tokens_ - amount, -burst_);
    }

    /// Returns whether the bucket holds at least \p amount tokens.
    bool can_take(double amount, time_point now)
    {
        refill(now);
        return tokens_ >= amount;
    }

    /// Returns the balance at the last refill; negative if tokens are owed.
    double tokens() const { return tokens_; }

private:
    void refill(time_point now)
    {
        if (now <= last_refill_)
            return;
        const double elapsed_s = to_ms(now - last_refill_) / 1000;
        tokens_ = std::min(burst_, tokens_ + elapsed_s * tokens_per_s_);
        last_refill_ = now;
    }

    double tokens_per_s_;
    double burst_;
    double tokens_;
    time_point last_refill_{};
};

} // namespace galenarudder::support
