// The older the last report of an upstream, the more its values are replaced by
// the means of the service.
#include "galenarudder/routing/estimate.hpp"

#include <algorithm>

namespace galenarudder::routing {

namespace {

/// Age at which a reported load has half its weight, in mean service times.
constexpr double load_half_age_service_times = 1.5;
/// Age at which a reported service time has half its weight.
constexpr double service_time_half_age_ms = 2000;
/// Ratio of a service time to the mean up to which it counts as random
/// variation.
constexpr double random_variation = 1.5;
/// Assumed service time until one was reported.
constexpr double default_service_ms = 5;
/// Additional cost of an upstream at its concurrency limit, compared to an idle
/// one, in service times. It grows linearly with the load up to the limit.
constexpr double utilization_cost = 0.5;
/// Cost of each outstanding call from this entry, in service times, beyond its
/// part in the load. Only this load is known without delay.
constexpr double own_call_cost = 0.5;
/// Cost of a failed attempt: the sum of a part in mean service times and a part
/// in milliseconds.
constexpr double failure_cost_service_times = 10;
constexpr double failure_cost_ms = 50;
/// Age at which the last failure has half its weight.
constexpr double failure_half_age_ms = 1000;
/// Time without an answer that is normal, in service times.
constexpr double normal_stall_service_times = 0.5;
/// Time without an answer that is normal for a single outstanding call, in
/// service times. It is divided by the number of outstanding calls, since fewer
/// calls yield answers less often.
constexpr double single_call_stall_service_times = 2;
/// Lower bound of slow_start_progress. A new upstream costs at most twice as
/// much, so that it gets fewer calls but still takes load from the others while
/// upstreams are replaced one after another.
constexpr double min_slow_start_progress = 0.5;

double age_ms(std::int64_t at_ns, support::time_point now)
{
    const std::int64_t age_ns = now.time_since_epoch().count() - at_ns;
    return support::to_ms(support::duration(std::max<std::int64_t>(age_ns, 0)));
}

/// Returns a mean of \p reported and \p mean in which the weight of \p reported
/// decreases with its age.
double weigh_by_age(double reported,
                    double mean,
                    double age_value_ms,
                    double half_age_ms)
{
    const double weight = half_age_ms / (half_age_ms + age_value_ms);
    return weight * reported + (1 - weight) * mean;
}

/// Returns the mean service time plus what exceeds random variation. Reported
/// service times vary randomly around the mean of the service, and all entries
/// receive the same reports. Without this filter all entries would prefer the
/// same upstream.
double without_random_variation(double service_ms, double mean_ms)
{
    const double excess_ms = service_ms - random_variation * mean_ms;
    return mean_ms + std::max(0.0, excess_ms);
}

/// Returns the time without an answer beyond what is normal.
double stall_ms(const upstream_state& upstream,
                double service_ms,
                support::time_point now)
{
    const std::uint32_t outstanding =
        upstream.outstanding.load(std::memory_order_relaxed);
    if (outstanding == 0)
        return 0;
    const double waited_ms =
        age_ms(upstream.progress_at_ns.load(std::memory_order_relaxed), now);
    const double normal_service_times =
        std::max(normal_stall_service_times,
                 single_call_stall_service_times / outstanding);
    return std::max(0.0, waited_ms - normal_service_times * service_ms);
}

/// Returns the cost of recent failures. It decreases with the time since the
/// last failure.
double recent_failure_cost_ms(const upstream_state& upstream,
                              double mean_service_ms,
                              support::time_point now)
{
    const double rate = upstream.error_rate.load(std::memory_order_relaxed);
    if (rate == 0)
        return 0;
    const double age_value_ms =
        age_ms(upstream.failed_at_ns.load(std::memory_order_relaxed), now);
    const double recent_rate =
        weigh_by_age(rate, 0, age_value_ms, failure_half_age_ms);
    return recent_rate *
           (failure_cost_service_times * mean_service_ms + failure_cost_ms);
}

/// Returns the expected time in which the gate starts no further calls, because
/// of a slowdown or a limit of the upstream.
double remaining_start_delay_ms(const upstream_state& upstream,
                                support::time_point now)
{
    const std::int64_t remaining_ns =
        upstream.starts_calls_at_ns.load(std::memory_order_relaxed) -
        now.time_since_epoch().count();
    return support::to_ms(
        support::duration(std::max<std::int64_t>(remaining_ns, 0)));
}

} // namespace

double slow_start_progress(const upstream_state& upstream,
                           const estimate_inputs& inputs)
{
    const std::int64_t started_at_ns =
        std::max(upstream.serving_since_ns.load(std::memory_order_relaxed),
                 upstream.ejection_ends_at_ns.load(std::memory_order_relaxed));
    if (started_at_ns == 0 || inputs.slow_start_ms <= 0)
        return 1;
    const double progress =
        age_ms(started_at_ns, inputs.now) / inputs.slow_start_ms;
    return std::clamp(progress, min_slow_start_progress, 1.0);
}

double expected_completion_ms(const upstream_state& upstream,
                              const estimate_inputs& inputs)
{
    constexpr auto relaxed = std::memory_order_relaxed;
    const service_state& service = *upstream.service;
    const std::size_t rank = std::min(inputs.rank, max_ranks - 1);
    const std::uint32_t reported_limit = upstream.reported_limit.load(relaxed);
    const bool has_report = reported_limit != 0;
    const double limit =
        std::max<std::uint32_t>(has_report ? reported_limit : inputs.slots, 1);
    const double mean_calls = service.mean_load.load(relaxed) * limit;
    double mean_service_ms = service.mean_service_ms.load(relaxed);
    if (mean_service_ms <= 0)
        mean_service_ms = default_service_ms;
    double others_calls = mean_calls;
    double service_ms = mean_service_ms;
    if (has_report) {
        const double age_value_ms =
            age_ms(upstream.reported_at_ns.load(relaxed), inputs.now);
        const double running =
            std::min<double>(upstream.reported_running.load(relaxed), limit);
        const double reported_calls =
            running + upstream.reported_waiting_ahead.at(rank).load(relaxed);
        const double reported_others = std::max(
            0.0, reported_calls - upstream.own_calls_in_report.load(relaxed));
        others_calls =
            weigh_by_age(reported_others, mean_calls, age_value_ms,
                         load_half_age_service_times * mean_service_ms);
        const double reported_ms = weigh_by_age(
            upstream.reported_service_ms.load(relaxed), mean_service_ms,
            age_value_ms, service_time_half_age_ms);
        service_ms = without_random_variation(reported_ms, mean_service_ms);
    }
    const double calls = others_calls + upstream.outstanding.load(relaxed);
    const double queueing = std::max(0.0, calls + 1 - limit) / limit;
    const double contention =
        utilization_cost * std::min(1.0, calls / limit) +
        own_call_cost * upstream.outstanding.load(relaxed);
    const double round_trip_ms =
        std::max(0.0, upstream.link->floor_ms.load(relaxed));
    double cost_ms = round_trip_ms + service_ms * (1 + queueing + contention);
    cost_ms += remaining_start_delay_ms(upstream, inputs.now);
    cost_ms += stall_ms(upstream, service_ms, inputs.now);
    cost_ms += recent_failure_cost_ms(upstream, mean_service_ms, inputs.now);
    return cost_ms / slow_start_progress(upstream, inputs);
}

} // namespace galenarudder::routing
