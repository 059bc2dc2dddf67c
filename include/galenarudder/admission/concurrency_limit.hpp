/// \file
/// How many calls a gate runs at once: at most the upstream's slots, fewer
/// when more of them at once only make each other slower.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace galenarudder::admission {

/// A decision about the limit; carried out when \c effect is acted.
struct limit_change
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    telemetry::decision_effect effect{};
    std::string_view reason;
};

/// A call that was answered.
struct latency_sample
{
    /// Service time as a multiple of service without contention.
    double inflation = 1;
    /// Whether all of the limit was in use when it ended.
    bool at_limit = false;
};

/// A longer service time alone is no reason for a lower limit: a neighbour on
/// the machine slows calls whatever their number. A lower limit is therefore
/// tried, and kept only if the rate of answers stays.
class concurrency_limit
{
public:
    void configure(std::uint32_t floor, config::automation_mode mode);
    /// The upstream's slots; a change starts again from all of them.
    void set_slots(std::uint32_t slots, support::time_point now);
    std::uint32_t current() const { return limit_; }
    std::uint32_t slots() const { return slots_; }

    std::optional<limit_change> on_answered(const latency_sample& ended,
                                            support::time_point now);
    /// The upstream shed a call: it wants fewer at once.
    std::optional<limit_change> on_shed(support::time_point now);

private:
    /// One span of measurement.
    struct interval
    {
        support::time_point begun;
        std::uint32_t answers = 0;
        std::uint32_t at_limit = 0;
        double inflation_sum = 0;

        double rate(support::time_point now) const;
        double inflation() const;
        bool saturated() const;
    };

    std::optional<limit_change> judge(support::time_point now);
    std::optional<limit_change> judge_trial(support::time_point now);
    std::optional<limit_change> lower(support::time_point now);
    std::optional<limit_change> move_to(std::uint32_t wanted,
                                        std::string_view reason);

    std::uint32_t slots_ = 0;
    std::uint32_t limit_ = 0;
    std::uint32_t floor_ = 1;
    config::automation_mode mode_ = config::automation_mode::automatic;
    interval current_;
    bool in_trial_ = false;
    std::uint32_t limit_before_trial_ = 0;
    double rate_before_trial_ = 0;
    support::time_point no_lowering_before_;
    support::time_point no_raising_before_;
};

} // namespace galenarudder::admission
