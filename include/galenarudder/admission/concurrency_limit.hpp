/// \file
/// Limits how many calls a gate runs at once: at most one per slot of the
/// upstream, and fewer when more concurrency only makes calls slower.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace galenarudder::admission {

/// A decision to change the limit. The limit changes only when \c effect is
/// \c acted.
struct limit_change
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    telemetry::decision_effect effect{};
    std::string_view reason;
};

/// Measurement of one answered call.
struct answer_sample
{
    /// Ratio of the service time to the service time without contention.
    double inflation = 1;
    /// Whether as many calls ran as the limit allows when the call ended.
    bool at_limit = false;
};

/// Adapts the number of concurrent calls to the upstream. Longer service times
/// alone do not justify a lower limit, since another VM on the same machine
/// slows calls at any concurrency. A lower limit is therefore first tried and
/// is kept only if the rate of answers does not drop.
class concurrency_limit
{
public:
    /// Sets the lowest limit that may be chosen and the mode of automation
    /// `adapt_limit`.
    void configure(std::uint32_t floor, config::automation_mode mode);
    /// Sets the upstream's number of slots. A change resets the limit to it.
    void set_slots(std::uint32_t slots, support::time_point now);
    std::uint32_t current() const { return limit_; }
    std::uint32_t slots() const { return slots_; }

    /// Records an answered call. Returns a decision when this call completes
    /// an interval of measurement that calls for one.
    std::optional<limit_change> on_answered(const answer_sample& sample,
                                            support::time_point now);
    /// Records that the upstream shed a call. Returns the decision to lower the
    /// limit by one, unless a recent change or the minimum prevents it.
    std::optional<limit_change> on_shed(support::time_point now);

private:
    /// One interval of measurement.
    struct interval
    {
        support::time_point started_at;
        std::uint32_t answers = 0;
        /// Answers with answer_sample::at_limit set.
        std::uint32_t answers_at_limit = 0;
        double inflation_sum = 0;

        /// Answers per millisecond.
        double rate(support::time_point now) const;
        /// Mean of answer_sample::inflation.
        double inflation() const;
        /// Whether the limit was reached for most of the interval.
        bool saturated() const;
    };

    std::optional<limit_change> evaluate_interval(support::time_point now);
    std::optional<limit_change> evaluate_trial(support::time_point now);
    std::optional<limit_change> try_lower_limit(support::time_point now);
    std::optional<limit_change> change_limit(std::uint32_t new_limit,
                                             std::string_view reason);

    std::uint32_t slots_ = 0;
    std::uint32_t limit_ = 0;
    std::uint32_t floor_ = 1;
    config::automation_mode mode_ = config::automation_mode::automatic;
    interval interval_;
    bool in_trial_ = false;
    /// Whether the limit is below the slots since the upstream shed calls.
    bool lowered_by_shed_ = false;
    std::uint32_t limit_before_trial_ = 0;
    double rate_before_trial_ = 0;
    support::time_point no_lowering_before_;
    support::time_point no_raising_before_;
};

} // namespace galenarudder::admission
