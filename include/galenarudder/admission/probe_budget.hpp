/// \file
/// The time budget for probes of an upstream, and the estimate of its slowdown
/// that is derived from them.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace galenarudder::admission {

/// Keeps the time spent on probes in any window of 10 s within a share of the
/// window. Only the gate probes its upstream, one probe at a time, so the cost
/// does not depend on the number of entries.
class probe_budget
{
public:
    static constexpr support::milliseconds window{10'000};

    explicit probe_budget(double share) : share_(share) {}
    void set_share(double share) { share_ = share; }

    /// Returns the time limit of a probe that starts now, or \c nullopt when
    /// none may start. The probe must be ended at that limit.
    std::optional<support::duration> start(support::time_point now);
    /// The probe ended. \p answered is false when it failed or reached its time
    /// limit.
    void on_ended(bool answered, support::time_point now);

    /// Returns the time spent on probes in the window that ends at \p now.
    support::duration spent(support::time_point now) const;
    /// Number of probes started.
    std::uint64_t count() const { return count_; }
    support::duration total_cost() const { return total_cost_; }

private:
    struct ended_probe
    {
        support::time_point ended_at;
        support::duration cost{};
    };

    double share_;
    /// Expected duration of the next probe; doubles when a probe fails.
    support::duration expected_cost_ = support::milliseconds(1);
    std::optional<support::time_point> running_since_;
    support::time_point next_start_;
    std::deque<ended_probe> recent_probes_;
    std::uint64_t count_ = 0;
    support::duration total_cost_{};
};

/// Estimates from probes how much slower an upstream has become that has
/// answered no call recently.
class probe_estimate
{
public:
    /// An answered call replaces the estimate, since it is more accurate than a
    /// probe.
    void on_call_answered(support::time_point now);
    void on_probe_answered(support::duration cost, support::time_point now);
    /// Returns whether no call was answered recently.
    bool idle(support::time_point now) const;
    /// Returns the estimated ratio of the current service time to that of the
    /// last answered calls, at least 1: the ratio of the last probe's duration
    /// to the shortest probe's. It is 1 when a call was answered recently or
    /// the last probe is too old.
    double slowdown(support::time_point now) const;

private:
    support::time_point last_answer_;
    support::time_point last_probe_;
    support::duration shortest_probe_ = support::duration::max();
    double slowdown_ = 1;
};

} // namespace galenarudder::admission
