// Keeps a list of the probes in the window. The time limit of a probe is what
// is left of the budget, so that even a probe that reaches it stays within the
// budget.
#include "galenarudder/admission/probe_budget.hpp"

#include <algorithm>
#include <cassert>

namespace galenarudder::admission {

namespace {

/// Least time between the starts of two probes.
constexpr support::milliseconds min_probe_interval{1'000};
/// Share of the remaining budget that a probe may take. The rest covers timers
/// that fire late.
constexpr double usable_share = 0.9;
/// Time without an answered call after which an upstream counts as idle.
constexpr support::milliseconds idle_after{1'000};
/// Time for which the estimate from a probe is valid.
constexpr support::milliseconds estimate_lifetime{5'000};
constexpr double max_slowdown = 10;

} // namespace

std::optional<support::duration> probe_budget::start(support::time_point now)
{
    if (running_since_ || now < next_start_)
        return std::nullopt;
    while (!recent_probes_.empty() &&
           recent_probes_.front().ended_at + window < now)
        recent_probes_.pop_front();
    const support::duration budget =
        support::from_ms(share_ * support::to_ms(window));
    const support::duration remaining = budget - spent(now);
    if (remaining <= support::duration(0) ||
        remaining < std::min(expected_cost_, budget))
        return std::nullopt;
    running_since_ = now;
    next_start_ = now + min_probe_interval;
    ++count_;
    return support::from_ms(usable_share * support::to_ms(remaining));
}

void probe_budget::on_ended(bool answered, support::time_point now)
{
    assert(running_since_ && "a probe must be started before it ends");
    const support::duration cost = now - *running_since_;
    running_since_.reset();
    recent_probes_.push_back({now, cost});
    total_cost_ += cost;
    expected_cost_ =
        answered ? std::max(cost, expected_cost_ / 2)
                 : std::min<support::duration>(2 * expected_cost_, window);
}

support::duration probe_budget::spent(support::time_point now) const
{
    support::duration sum{};
    for (const ended_probe& probe : recent_probes_) {
        if (probe.ended_at + window >= now)
            sum += probe.cost;
    }
    return sum;
}

void probe_estimate::on_call_answered(support::time_point now)
{
    last_answer_ = now;
    slowdown_ = 1;
}

void probe_estimate::on_probe_answered(support::duration cost,
                                       support::time_point now)
{
    shortest_probe_ =
        std::min(shortest_probe_, std::max(cost, support::duration(1)));
    last_probe_ = now;
    slowdown_ =
        std::clamp(support::to_ms(cost) / support::to_ms(shortest_probe_), 1.0,
                   max_slowdown);
}

bool probe_estimate::idle(support::time_point now) const
{
    return now - last_answer_ >= idle_after;
}

double probe_estimate::slowdown(support::time_point now) const
{
    const bool valid = idle(now) && now - last_probe_ <= estimate_lifetime;
    return valid ? slowdown_ : 1;
}

} // namespace galenarudder::admission
