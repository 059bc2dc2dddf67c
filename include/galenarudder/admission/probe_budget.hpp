/// \file
/// How much of its upstream's time a gate may spend on probes.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace galenarudder::admission {

/// Holds the time spent on probes in any window of 10 s at or below a share
/// of it. Only the gate probes its upstream, one probe at a time, so that the
/// cost does not depend on the number of entries.
class probe_budget
{
public:
    static constexpr support::milliseconds window{10'000};

    explicit probe_budget(double share) : share_(share) {}
    void set_share(double share) { share_ = share; }

    /// Returns how long a probe that starts now may take, or nothing when
    /// none may start. A probe must be ended after that time.
    std::optional<support::duration> start(support::time_point now);
    /// The probe ended; \p answered is false when it failed or was cut off.
    void on_ended(bool answered, support::time_point now);

    /// Time spent in the window that ends at \p now.
    support::duration spent(support::time_point now) const;
    std::uint64_t count() const { return count_; }
    support::duration total_cost() const { return total_cost_; }

private:
    struct ended_probe
    {
        support::time_point at;
        support::duration cost{};
    };

    double share_;
    /// Expected cost; grows when a probe was cut off.
    support::duration expected_ = support::milliseconds(1);
    std::optional<support::time_point> running_since_;
    support::time_point next_;
    std::deque<ended_probe> recent_;
    std::uint64_t count_ = 0;
    support::duration total_cost_{};
};

/// What probes of an idle upstream tell about its service time.
class probe_hint
{
public:
    /// An answered call tells more than any probe.
    void on_call_answered(support::time_point now);
    void on_probe(support::duration cost, support::time_point now);
    /// Whether the gate has had no answer of late.
    bool idle(support::time_point now) const;
    /// Factor, never below 1, by which service is now likely slower than at
    /// the last answered call.
    double slowdown(support::time_point now) const;

private:
    support::time_point last_answer_;
    support::time_point last_probe_;
    support::duration fastest_ = support::duration::max();
    double factor_ = 1;
};

} // namespace galenarudder::admission
