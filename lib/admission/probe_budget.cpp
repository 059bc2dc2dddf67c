// A log of the window's probes. A probe may take no longer than what is left,
// so that even one that is cut off stays inside the budget.
#include "galenarudder/admission/probe_budget.hpp"

#include <algorithm>
#include <cassert>

namespace galenarudder::admission {

namespace {

constexpr support::milliseconds shortest_interval{1'000};
/// Part of the time left that a probe may take; the rest covers late timers.
constexpr double usable_share = 0.9;
constexpr support::milliseconds idle_after{1'000};
/// A hint from a probe holds this long.
constexpr support::milliseconds hint_span{5'000};
constexpr double largest_slowdown = 10;

} // namespace

std::optional<support::duration> probe_budget::start(support::time_point now)
{
    if (running_since_ || now < next_)
        return std::nullopt;
    while (!recent_.empty() && recent_.front().at + window < now)
        recent_.pop_front();
    const support::duration budget =
        support::from_ms(share_ * support::to_ms(window));
    const support::duration left = budget - spent(now);
    if (left <= support::duration(0) || left < std::min(expected_, budget))
        return std::nullopt;
    running_since_ = now;
    next_ = now + shortest_interval;
    ++count_;
    return support::from_ms(usable_share * support::to_ms(left));
}

void probe_budget::on_ended(bool answered, support::time_point now)
{
    assert(running_since_ && "only a started probe ends");
    const support::duration cost = now - *running_since_;
    running_since_.reset();
    recent_.push_back({now, cost});
    total_cost_ += cost;
    expected_ = answered ? std::max(cost, expected_ / 2)
                         : std::min<support::duration>(2 * expected_, window);
}

support::duration probe_budget::spent(support::time_point now) const
{
    support::duration sum{};
    for (const ended_probe& each : recent_) {
        if (each.at + window >= now)
            sum += each.cost;
    }
    return sum;
}

void probe_hint::on_call_answered(support::time_point now)
{
    last_answer_ = now;
    factor_ = 1;
}

void probe_hint::on_probe(support::duration cost, support::time_point now)
{
    fastest_ = std::min(fastest_, std::max(cost, support::duration(1)));
    last_probe_ = now;
    factor_ = std::clamp(support::to_ms(cost) / support::to_ms(fastest_), 1.0,
                         largest_slowdown);
}

bool probe_hint::idle(support::time_point now) const
{
    return now - last_answer_ >= idle_after;
}

double probe_hint::slowdown(support::time_point now) const
{
    const bool holds = idle(now) && now - last_probe_ <= hint_span;
    return holds ? factor_ : 1;
}

} // namespace galenarudder::admission
