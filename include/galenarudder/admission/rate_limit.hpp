/// \file
/// The limit on calls per second that an upstream states.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <optional>

namespace galenarudder::admission {

/// Spaces the starts of calls so that they stay within the limit. All calls of
/// an upstream start at one gate, so the limit holds for the fleet.
class rate_limit
{
public:
    /// Sets the limit in calls per second; nullopt for none.
    void set(std::optional<double> calls_per_s, support::time_point now);
    /// Returns the limit in calls per second, if there is one.
    std::optional<double> calls_per_s() const { return stated_; }

    /// Returns how long the call that starts after \p ahead others must wait.
    support::duration wait(std::size_t ahead, support::time_point now) const;
    /// Counts a call that starts.
    void on_start(support::time_point now);

    /// A lower limit is taken for this one, so that the answers to a few calls
    /// tell when the upstream takes more.
    static constexpr double min_calls_per_s = 0.25;
    /// Calls that may start at once after a time without any, as seconds of the
    /// limit; at least one.
    static constexpr double burst_s = 1;

private:
    double rate() const;
    double balance(support::time_point now) const;

    std::optional<double> stated_;
    /// Calls that may start at \c counted_at_; negative if some started early.
    double balance_ = 0;
    support::time_point counted_at_{};
};

} // namespace galenarudder::admission
