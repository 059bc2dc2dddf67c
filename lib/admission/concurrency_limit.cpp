// Lowers in trials, raises step by step.
#include "galenarudder/admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::admission {

using telemetry::decision_effect;

namespace {

constexpr support::milliseconds shortest_interval{100};
constexpr std::uint32_t answers_per_interval = 200;
/// Inflation above which a lower limit is tried.
constexpr double high_inflation = 2.0;
/// Part of the slots that one trial takes away.
constexpr double trial_step = 0.2;
/// Part of the rate of answers that a lower limit must keep.
constexpr double kept_rate = 0.95;
/// Part of an interval's answers that must end with the limit in use.
constexpr double saturated_share = 0.8;
constexpr support::milliseconds pause_after_failed_trial{10'000};
constexpr support::milliseconds pause_before_raising{2'000};
constexpr support::milliseconds pause_after_shed{100};

} // namespace

double concurrency_limit::interval::rate(support::time_point now) const
{
    const double span_ms = support::to_ms(now - begun);
    return span_ms > 0 ? answers / span_ms : 0;
}

double concurrency_limit::interval::inflation() const
{
    return answers > 0 ? inflation_sum / answers : 1;
}

bool concurrency_limit::interval::saturated() const
{
    return at_limit >= saturated_share * answers;
}

void concurrency_limit::configure(std::uint32_t floor,
                                  config::automation_mode mode)
{
    floor_ = std::max<std::uint32_t>(1, floor);
    mode_ = mode;
    if (mode_ == config::automation_mode::observe)
        limit_ = slots_;
    limit_ = std::clamp(limit_, std::min(floor_, slots_), slots_);
}

void concurrency_limit::set_slots(std::uint32_t slots, support::time_point now)
{
    if (slots == slots_)
        return;
    slots_ = slots;
    limit_ = slots;
    in_trial_ = false;
    current_ = {now};
    no_lowering_before_ = now;
    no_raising_before_ = now;
}

std::optional<limit_change>
concurrency_limit::on_answered(const latency_sample& ended,
                               support::time_point now)
{
    ++current_.answers;
    current_.at_limit += ended.at_limit ? 1 : 0;
    current_.inflation_sum += ended.inflation;
    if (current_.answers < answers_per_interval ||
        now - current_.begun < shortest_interval)
        return std::nullopt;
    const std::optional<limit_change> decided = judge(now);
    current_ = {now};
    return decided;
}

std::optional<limit_change> concurrency_limit::on_shed(support::time_point now)
{
    if (now < no_lowering_before_ || limit_ <= floor_)
        return std::nullopt;
    in_trial_ = false;
    no_lowering_before_ = now + pause_after_shed;
    no_raising_before_ = now + pause_before_raising;
    return move_to(limit_ - 1, "the upstream sheds");
}

std::optional<limit_change> concurrency_limit::judge(support::time_point now)
{
    if (in_trial_)
        return judge_trial(now);
    const bool contended =
        current_.saturated() && current_.inflation() > high_inflation;
    if (contended && now >= no_lowering_before_)
        return lower(now);
    if (limit_ == slots_ || now < no_raising_before_)
        return std::nullopt;
    no_raising_before_ = now + pause_before_raising;
    return move_to(limit_ + 1, "return to the slots");
}

std::optional<limit_change> concurrency_limit::lower(support::time_point now)
{
    const auto step = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::lround(trial_step * slots_)));
    const std::uint32_t wanted =
        std::max(floor_, limit_ > step ? limit_ - step : 1);
    if (wanted >= limit_) {
        // The floor of the configuration forbids it.
        no_lowering_before_ = now + pause_after_failed_trial;
        return limit_change{limit_, limit_, decision_effect::limited,
                            "service times rose; the limit is at its floor"};
    }
    if (mode_ == config::automation_mode::observe) {
        no_lowering_before_ = now + pause_after_failed_trial;
        return move_to(wanted, "service times rose");
    }
    in_trial_ = true;
    limit_before_trial_ = limit_;
    rate_before_trial_ = current_.rate(now);
    return move_to(wanted, "service times rose; fewer at once are tried");
}

std::optional<limit_change>
concurrency_limit::judge_trial(support::time_point now)
{
    in_trial_ = false;
    const bool demand_fell = !current_.saturated();
    if (!demand_fell && current_.rate(now) >= kept_rate * rate_before_trial_) {
        no_raising_before_ = now + pause_before_raising;
        return std::nullopt;
    }
    no_lowering_before_ = now + pause_after_failed_trial;
    return move_to(limit_before_trial_,
                   "fewer at once gave fewer answers; restored");
}

std::optional<limit_change> concurrency_limit::move_to(std::uint32_t wanted,
                                                       std::string_view reason)
{
    limit_change change;
    change.from = limit_;
    change.to = std::min(wanted, slots_);
    change.effect = telemetry::effect_of(mode_, true);
    change.reason = reason;
    if (change.effect == decision_effect::acted)
        limit_ = change.to;
    return change;
}

} // namespace galenarudder::admission
