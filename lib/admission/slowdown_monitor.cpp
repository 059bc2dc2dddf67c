// Distinguishes short slowdowns from a lasting change of speed.
#include "galenarudder/admission/slowdown_monitor.hpp"

#include <algorithm>

namespace galenarudder::admission {

namespace {

/// Ratio of the reported factor to the baseline factor above which a call
/// finishes earlier if it waits.
constexpr double slow_ratio = 1.5;
/// Age up to which a report counts as current. Slowdowns of a shared VM last
/// about ten times as long.
constexpr support::milliseconds report_lifetime{12};
/// Time between two queries while calls wait for the end of a slowdown.
constexpr support::milliseconds query_interval{20};
/// Time after which a query without a result no longer blocks the next one.
constexpr support::milliseconds query_timeout{150};
/// Time after a failed query in which calls start without a report.
constexpr support::milliseconds unmonitored_time{500};
/// When a slowdown lasts longer, its factor becomes the new baseline factor.
constexpr support::milliseconds max_slowdown_time{700};

/// Typical duration of a slowdown of a shared VM.
constexpr support::milliseconds usual_slowdown_time{150};
/// Lower bound of the expected remaining duration, for slowdowns that exceed
/// the typical one.
constexpr support::milliseconds min_remaining{25};

} // namespace

void slowdown_monitor::on_reported(double slowdown, support::time_point now)
{
    has_report_ = true;
    query_pending_ = false;
    slowdown_ = slowdown;
    reported_at_ = now;
    unmonitored_until_ = {};
    if (slowdown < baseline_factor_)
        baseline_factor_ = std::max(1.0, slowdown);
    if (slowdown <= slow_ratio * baseline_factor_) {
        slow_since_ = {};
        return;
    }
    if (slow_since_ == support::time_point())
        slow_since_ = now;
    if (now - slow_since_ > max_slowdown_time)
        baseline_factor_ = slowdown;
}

void slowdown_monitor::on_query_sent(support::time_point now)
{
    query_pending_ = true;
    queried_at_ = now;
}

void slowdown_monitor::on_query_failed(support::time_point now)
{
    query_pending_ = false;
    unmonitored_until_ = now + unmonitored_time;
}

bool slowdown_monitor::is_slow(support::time_point now) const
{
    return has_report_ && now >= unmonitored_until_ &&
           slowdown_ > slow_ratio * baseline_factor_;
}

bool slowdown_monitor::is_slow_by_fresh_report(support::time_point now) const
{
    return is_slow(now) && now - reported_at_ < query_interval;
}

support::duration slowdown_monitor::remaining(support::time_point now) const
{
    if (!is_slow(now))
        return support::duration(0);
    return std::max<support::duration>(
        usual_slowdown_time - (now - slow_since_), min_remaining);
}

bool slowdown_monitor::is_report_stale(support::time_point now) const
{
    if (!has_report_ || now < unmonitored_until_)
        return false;
    return now - reported_at_ > report_lifetime;
}

bool slowdown_monitor::needs_query(support::time_point now) const
{
    if (query_pending_ && now - queried_at_ < query_timeout)
        return false;
    if (is_slow(now))
        return now - reported_at_ >= query_interval;
    return is_report_stale(now);
}

} // namespace galenarudder::admission
