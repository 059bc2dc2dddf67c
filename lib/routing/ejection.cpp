// Failures are counted without a lock, since that happens on the path of a
// call. Decisions are rare, and only one is made per service at a time.
#include "galenarudder/routing/ejection.hpp"

#include "galenarudder/telemetry/decision_log.hpp"

#include <algorithm>

namespace galenarudder::routing {

namespace {

/// Weight of one attempt in the moving average of failures.
constexpr double failure_weight = 0.25;
/// Failures in a row that qualify an upstream for ejection. Fewer may be
/// chance.
constexpr std::uint32_t min_failures_in_row = 3;
/// The duration of an ejection doubles with each repetition, up to this many
/// times.
constexpr std::uint32_t max_doublings = 3;

std::size_t count_ejected(const service_view& service, support::time_point now)
{
    std::size_t count = 0;
    for (const candidate& upstream : service.candidates) {
        if (is_ejected(*upstream.state, now))
            ++count;
    }
    return count;
}

void start_ejection(upstream_state& upstream,
                    double eject_ms,
                    support::time_point now)
{
    const std::uint32_t doublings =
        std::min(upstream.ejections_in_row.fetch_add(1), max_doublings);
    const support::time_point until =
        now + support::from_ms(eject_ms * static_cast<double>(1U << doublings));
    const std::int64_t until_ns = until.time_since_epoch().count();
    upstream.ejection_ends_at_ns = until_ns;
    upstream.ejected_until_ns = until_ns;
    upstream.service->extend_exclusion(until_ns);
}

} // namespace

bool is_ejected(const upstream_state& upstream, support::time_point now)
{
    return upstream.ejected_until_ns.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
}

void record_success(upstream_state& upstream)
{
    if (upstream.error_rate.load(std::memory_order_relaxed) != 0)
        update_average(upstream.error_rate, 0, failure_weight);
    if (upstream.failures_in_row.load(std::memory_order_relaxed) != 0)
        upstream.failures_in_row = 0;
    if (upstream.ejections_in_row.load(std::memory_order_relaxed) != 0)
        upstream.ejections_in_row = 0;
}

bool record_failure(upstream_state& upstream,
                    const routing_limits& limits,
                    support::time_point now)
{
    update_average(upstream.error_rate, 1, failure_weight);
    upstream.failed_at_ns = now.time_since_epoch().count();
    const std::uint32_t failures = upstream.failures_in_row.fetch_add(1) + 1;
    return failures >= min_failures_in_row && !is_ejected(upstream, now) &&
           upstream.error_rate > limits.eject_error_rate;
}

void eject(const service_view& service,
           const candidate& upstream,
           const routing_limits& limits,
           telemetry::decision_log* decisions,
           support::time_point now)
{
    if (service.state->ejecting.exchange(true))
        return;
    upstream.state->failures_in_row = 0;
    const auto max_ejected = static_cast<std::size_t>(
        limits.eject_share * static_cast<double>(service.candidates.size()));
    const bool within_limit = count_ejected(service, now) < max_ejected;
    const telemetry::decision_effect effect =
        telemetry::effect_of(limits.eject_mode, within_limit);
    if (effect == telemetry::decision_effect::acted)
        start_ejection(*upstream.state, limits.eject_ms, now);
    service.state->ejecting = false;
    if (decisions == nullptr)
        return;
    decisions->record(
        {now, config::automation::eject, effect, upstream.member,
         within_limit ? "consecutive attempts failed"
                      : "the maximum share of upstreams is already ejected"});
}

} // namespace galenarudder::routing
