// Two rules bind: an even spacing, so that calls do not start together, and the
// number of starts in the last second, which includes those from before the
// upstream was known to be cold.
#include "galenarudder/admission/cold_limit.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::admission {

namespace {

constexpr std::chrono::seconds window{1};

/// Bounds of what others state, so that times do not overflow.
constexpr support::milliseconds max_cold_time = std::chrono::hours(1);
constexpr double min_rate = 0.01;

} // namespace

void cold_limit::set_rate(double calls_per_s)
{
    calls_per_s_ = calls_per_s <= 0 ? 0 : std::max(calls_per_s, min_rate);
    if (calls_per_s_ <= 0)
        starts_.clear();
}

void cold_limit::on_stated(cold_source source,
                           support::milliseconds remaining,
                           support::time_point now)
{
    cold_until_.at(static_cast<std::size_t>(source)) =
        now + std::min(remaining, max_cold_time);
    is_unknown_ = false;
}

void cold_limit::on_query_failed(support::time_point now)
{
    is_unknown_ = is_unknown_ || now - instance_since_ < start_span;
}

void cold_limit::on_new_instance(support::time_point now)
{
    instance_since_ = now;
    is_unknown_ = true;
    cold_until_ = {};
    starts_.clear();
    next_start_ = {};
}

support::duration cold_limit::remaining(support::time_point now) const
{
    const support::time_point until =
        *std::max_element(cold_until_.begin(), cold_until_.end());
    return until > now ? until - now : support::duration(0);
}

support::duration cold_limit::interval() const
{
    constexpr double ms_per_s = 1000;
    return support::from_ms(ms_per_s / calls_per_s_);
}

std::size_t cold_limit::started_in_last_second(support::time_point now) const
{
    const auto first =
        std::upper_bound(starts_.begin(), starts_.end(), now - window);
    return static_cast<std::size_t>(starts_.end() - first);
}

support::duration cold_limit::wait(std::size_t ahead,
                                   support::time_point now) const
{
    if (!applies(now))
        return support::duration(0);
    const auto permitted =
        std::max<std::size_t>(1, static_cast<std::size_t>(calls_per_s_));
    support::time_point first = std::max(next_start_, now);
    if (started_in_last_second(now) >= permitted)
        first = std::max(first, starts_[starts_.size() - permitted] + window);
    const support::duration wait =
        first - now + static_cast<std::int64_t>(ahead) * interval();
    return is_unknown(now) ? wait : std::min(wait, remaining(now));
}

void cold_limit::on_start(support::time_point now)
{
    if (calls_per_s_ <= 0)
        return;
    while (!starts_.empty() && starts_.front() <= now - window)
        starts_.pop_front();
    starts_.push_back(now);
    // A start that was late by up to half an interval, since timers are coarse,
    // does not delay the next.
    next_start_ = std::max(next_start_, now - interval() / 2) + interval();
    next_start_ = std::min(next_start_, now + interval());
}

bool cold_limit::needs_query(support::time_point now) const
{
    if (calls_per_s_ <= 0 || now - queried_at_ < query_interval)
        return false;
    const auto started = static_cast<double>(started_in_last_second(now));
    return is_unknown(now) ? started > 0
                           : !applies(now) && started > calls_per_s_;
}

} // namespace galenarudder::admission
