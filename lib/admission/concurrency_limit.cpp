// The limit is lowered in trials and raised one by one.
#include "galenarudder/admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::admission {

using telemetry::decision_effect;

namespace {

/// An interval of measurement ends when it has both this duration and this many
/// answers.
constexpr support::milliseconds min_interval{100};
constexpr std::uint32_t min_answers_per_interval = 200;
/// Mean inflation above which a lower limit is tried.
constexpr double high_inflation = 2.0;
/// Decrease of the limit in a trial, as a share of the slots.
constexpr double trial_step_share = 0.2;
/// Ratio of the rate of answers in a trial to the rate before it, below which
/// the limit is restored.
constexpr double min_rate_ratio = 0.95;
/// Share of an interval's answers that must arrive while as many calls run as
/// the limit allows for the interval to count as saturated.
constexpr double min_saturated_share = 0.8;
constexpr support::milliseconds pause_after_failed_trial{10'000};
constexpr support::milliseconds pause_before_raising{2'000};
constexpr support::milliseconds pause_after_shed{100};
/// After the upstream has shed, the limit rises by one in this time, however
/// few answers there are: a lowered limit itself makes them few.
constexpr support::milliseconds pause_before_raising_after_shed{500};

} // namespace

double concurrency_limit::interval::rate(support::time_point now) const
{
    const double span_ms = support::to_ms(now - started_at);
    return span_ms > 0 ? answers / span_ms : 0;
}

double concurrency_limit::interval::inflation() const
{
    return answers > 0 ? inflation_sum / answers : 1;
}

bool concurrency_limit::interval::saturated() const
{
    return answers_at_limit >= min_saturated_share * answers;
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
    lowered_by_shed_ = false;
    interval_ = {now};
    no_lowering_before_ = now;
    no_raising_before_ = now;
}

std::optional<limit_change>
concurrency_limit::on_answered(const answer_sample& sample,
                               support::time_point now)
{
    if (lowered_by_shed_ && now >= no_raising_before_) {
        no_raising_before_ = now + pause_before_raising_after_shed;
        lowered_by_shed_ = limit_ + 1 < slots_;
        return change_limit(limit_ + 1, "the upstream sheds no more calls");
    }
    ++interval_.answers;
    interval_.answers_at_limit += sample.at_limit ? 1 : 0;
    interval_.inflation_sum += sample.inflation;
    if (interval_.answers < min_answers_per_interval ||
        now - interval_.started_at < min_interval)
        return std::nullopt;
    const std::optional<limit_change> change = evaluate_interval(now);
    interval_ = {now};
    return change;
}

std::optional<limit_change> concurrency_limit::on_shed(support::time_point now)
{
    if (now < no_lowering_before_ || limit_ <= floor_)
        return std::nullopt;
    in_trial_ = false;
    no_lowering_before_ = now + pause_after_shed;
    no_raising_before_ = now + pause_before_raising_after_shed;
    lowered_by_shed_ = mode_ != config::automation_mode::observe;
    return change_limit(limit_ - 1, "the upstream sheds calls");
}

std::optional<limit_change>
concurrency_limit::evaluate_interval(support::time_point now)
{
    if (in_trial_)
        return evaluate_trial(now);
    const bool contended =
        interval_.saturated() && interval_.inflation() > high_inflation;
    if (contended && now >= no_lowering_before_)
        return try_lower_limit(now);
    if (limit_ == slots_ || now < no_raising_before_)
        return std::nullopt;
    no_raising_before_ = now + pause_before_raising;
    return change_limit(limit_ + 1, "raised toward the number of slots");
}

std::optional<limit_change>
concurrency_limit::try_lower_limit(support::time_point now)
{
    const auto step = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::lround(trial_step_share * slots_)));
    const std::uint32_t new_limit =
        std::max(floor_, limit_ > step ? limit_ - step : 1);
    if (new_limit >= limit_) {
        // The configured minimum does not allow a lower limit.
        no_lowering_before_ = now + pause_after_failed_trial;
        return limit_change{
            limit_, limit_, decision_effect::limited,
            "service times rose; the limit is at its configured minimum"};
    }
    if (mode_ == config::automation_mode::observe) {
        no_lowering_before_ = now + pause_after_failed_trial;
        return change_limit(new_limit, "service times rose");
    }
    in_trial_ = true;
    limit_before_trial_ = limit_;
    rate_before_trial_ = interval_.rate(now);
    return change_limit(new_limit,
                        "service times rose; a lower limit is tried");
}

std::optional<limit_change>
concurrency_limit::evaluate_trial(support::time_point now)
{
    in_trial_ = false;
    const bool demand_fell = !interval_.saturated();
    if (!demand_fell &&
        interval_.rate(now) >= min_rate_ratio * rate_before_trial_) {
        no_raising_before_ = now + pause_before_raising;
        return std::nullopt;
    }
    no_lowering_before_ = now + pause_after_failed_trial;
    return change_limit(
        limit_before_trial_,
        "the lower limit reduced the rate of answers; restored");
}

std::optional<limit_change>
concurrency_limit::change_limit(std::uint32_t new_limit,
                                std::string_view reason)
{
    limit_change change;
    change.from = limit_;
    change.to = std::min(new_limit, slots_);
    change.effect = telemetry::effect_of(mode_, true);
    change.reason = reason;
    if (change.effect == decision_effect::acted)
        limit_ = change.to;
    return change;
}

} // namespace galenarudder::admission
