// Weighs the last report by its age against the service's mean.
#include "galenarudder/routing/estimate.hpp"

#include <algorithm>

namespace galenarudder::routing {

namespace {

/// Age at which a reported load counts half, in mean service times.
constexpr double load_half_age_services = 1.5;
/// Age at which a reported service time counts half, in milliseconds.
constexpr double speed_half_age_ms = 2000;
/// Ratio to the mean up to which a service time is taken for chance.
constexpr double usual_variation = 1.5;
/// Assumed before anything was measured, in milliseconds.
constexpr double first_service_ms = 5;
/// Share of a service time by which a full upstream costs more than an idle
/// one while slots are left.
constexpr double crowding = 0.5;
/// Share of a service time that each own call under way costs beyond its
/// place in the load: it is the only load known without delay.
constexpr double own_call_weight = 0.5;
/// What a failed attempt costs, in mean service times and in milliseconds.
constexpr double failure_cost_services = 10;
constexpr double failure_cost_ms = 50;
/// Age at which the last failure counts half, in milliseconds.
constexpr double failure_half_age_ms = 1000;
/// A stall shorter than this many service times is normal.
constexpr double normal_stall_services = 0.5;
/// An answer is awaited this many service times for each call under way, so
/// that few calls may be without an answer for longer than many.
constexpr double stall_services_of_one_call = 2;
constexpr double least_slow_start_share = 0.5;

double age_ms(std::int64_t at_ns, support::time_point now)
{
    const std::int64_t age_ns = now.time_since_epoch().count() - at_ns;
    return support::to_ms(support::duration(std::max<std::int64_t>(age_ns, 0)));
}

double weighed(double reported, double mean, double age, double half_age)
{
    const double trust = half_age / (half_age + age);
    return trust * reported + (1 - trust) * mean;
}

/// Service times vary by chance around the mean of a service; all entries see
/// the same chance, so that following it would send them all to one upstream.
/// Only what lies beyond is taken for a difference in speed.
double clear_difference(double service_ms, double mean_ms)
{
    const double excess = service_ms - usual_variation * mean_ms;
    return mean_ms + std::max(0.0, excess);
}

/// Milliseconds without any progress beyond what is normal.
double stall_ms(const upstream_state& upstream,
                double service_ms,
                support::time_point now)
{
    const std::uint32_t outstanding =
        upstream.outstanding.load(std::memory_order_relaxed);
    if (outstanding == 0)
        return 0;
    const double since =
        age_ms(upstream.progress_at_ns.load(std::memory_order_relaxed), now);
    const double normal = std::max(normal_stall_services,
                                   stall_services_of_one_call / outstanding);
    return std::max(0.0, since - normal * service_ms);
}

/// Cost of recent failures; it fades while no attempts are made.
double error_cost_ms(const upstream_state& upstream,
                     double mean_service_ms,
                     support::time_point now)
{
    const double rate = upstream.error_rate.load(std::memory_order_relaxed);
    if (rate == 0)
        return 0;
    const double age =
        age_ms(upstream.failed_at_ns.load(std::memory_order_relaxed), now);
    const double faded = weighed(rate, 0, age, failure_half_age_ms);
    return faded * (failure_cost_services * mean_service_ms + failure_cost_ms);
}

/// Milliseconds until the upstream should begin further calls.
double spell_ms(const upstream_state& upstream, support::time_point now)
{
    const std::int64_t left_ns =
        upstream.spell_until_ns.load(std::memory_order_relaxed) -
        now.time_since_epoch().count();
    return support::to_ms(
        support::duration(std::max<std::int64_t>(left_ns, 0)));
}

} // namespace

double slow_start_share(const upstream_state& upstream,
                        const estimate_terms& terms)
{
    const std::int64_t since =
        std::max(upstream.serving_since_ns.load(std::memory_order_relaxed),
                 upstream.returned_at_ns.load(std::memory_order_relaxed));
    if (since == 0 || terms.slow_start_ms <= 0)
        return 1;
    const double share = age_ms(since, terms.now) / terms.slow_start_ms;
    return std::clamp(share, least_slow_start_share, 1.0);
}

double expected_ms(const upstream_state& upstream, const estimate_terms& terms)
{
    constexpr auto relaxed = std::memory_order_relaxed;
    const service_state& service = *upstream.service;
    const std::size_t rank = std::min(terms.rank, max_ranks - 1);
    const std::uint32_t reported_limit = upstream.reported_limit.load(relaxed);
    const bool reported = reported_limit != 0;
    const double limit =
        std::max<std::uint32_t>(reported ? reported_limit : terms.slots, 1);
    const double mean_load = service.mean_load.load(relaxed) * limit;
    double mean_service = service.mean_service_ms.load(relaxed);
    if (mean_service <= 0)
        mean_service = first_service_ms;
    double others = mean_load;
    double service_ms = mean_service;
    if (reported) {
        const double age =
            age_ms(upstream.reported_at_ns.load(relaxed), terms.now);
        const double running =
            std::min<double>(upstream.reported_running.load(relaxed), limit);
        const double stated =
            running + upstream.reported_ahead.at(rank).load(relaxed);
        const double foreign =
            std::max(0.0, stated - upstream.own_in_report.load(relaxed));
        others = weighed(foreign, mean_load, age,
                         load_half_age_services * mean_service);
        const double stated_ms =
            weighed(upstream.reported_service_ms.load(relaxed), mean_service,
                    age, speed_half_age_ms);
        service_ms = clear_difference(stated_ms, mean_service);
    }
    const double load = others + upstream.outstanding.load(relaxed);
    const double queued = std::max(0.0, load + 1 - limit) / limit;
    const double crowded = crowding * std::min(1.0, load / limit) +
                           own_call_weight * upstream.outstanding.load(relaxed);
    const double trip = std::max(0.0, upstream.link->floor_ms.load(relaxed));
    double cost = trip + service_ms * (1 + queued + crowded);
    cost += spell_ms(upstream, terms.now);
    cost += stall_ms(upstream, service_ms, terms.now);
    cost += error_cost_ms(upstream, mean_service, terms.now);
    return cost / slow_start_share(upstream, terms);
}

} // namespace galenarudder::routing
