// Counts failures by atomics; the decision itself is rare.
#include "galenarudder/routing/ejection.hpp"

#include "galenarudder/telemetry/decision_log.hpp"

#include <algorithm>

namespace galenarudder::routing {

namespace {

/// Weight of one attempt in the recent share of failures.
constexpr double error_share = 0.25;
/// Fewer failures in a row may be chance.
constexpr std::uint32_t min_failures_in_row = 3;
/// Repeated ejections last longer, up to this power of two.
constexpr std::uint32_t max_backoff_steps = 3;

std::size_t count_ejected(const service_view& service, support::time_point now)
{
    std::size_t count = 0;
    for (const candidate& upstream : service.candidates) {
        if (is_ejected(*upstream.state, now))
            ++count;
    }
    return count;
}

void put_out(upstream_state& upstream, double eject_ms, support::time_point now)
{
    const std::uint32_t steps =
        std::min(upstream.ejections_in_row.fetch_add(1), max_backoff_steps);
    const support::time_point until =
        now + support::from_ms(eject_ms * static_cast<double>(1U << steps));
    const std::int64_t until_ns = until.time_since_epoch().count();
    upstream.returned_at_ns = until_ns;
    upstream.ejected_until_ns = until_ns;
    upstream.service->note_out_until(until_ns);
}

} // namespace

bool is_ejected(const upstream_state& upstream, support::time_point now)
{
    return upstream.ejected_until_ns.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
}

void note_success(upstream_state& upstream)
{
    if (upstream.error_rate.load(std::memory_order_relaxed) != 0)
        blend(upstream.error_rate, 0, error_share);
    if (upstream.failures_in_row.load(std::memory_order_relaxed) != 0)
        upstream.failures_in_row = 0;
    if (upstream.ejections_in_row.load(std::memory_order_relaxed) != 0)
        upstream.ejections_in_row = 0;
}

bool note_failure(upstream_state& upstream,
                  const routing_limits& limits,
                  support::time_point now)
{
    blend(upstream.error_rate, 1, error_share);
    upstream.failed_at_ns = now.time_since_epoch().count();
    const std::uint32_t in_row = upstream.failures_in_row.fetch_add(1) + 1;
    return in_row >= min_failures_in_row && !is_ejected(upstream, now) &&
           upstream.error_rate > limits.eject_error_rate;
}

void eject(const service_view& service,
           const candidate& upstream,
           const routing_limits& limits,
           telemetry::decision_log* decisions,
           support::time_point now)
{
    if (service.shared->ejecting.exchange(true))
        return;
    upstream.state->failures_in_row = 0;
    const auto most = static_cast<std::size_t>(
        limits.eject_share * static_cast<double>(service.candidates.size()));
    const bool within = count_ejected(service, now) < most;
    const telemetry::decision_effect effect =
        telemetry::effect_of(limits.eject, within);
    if (effect == telemetry::decision_effect::acted)
        put_out(*upstream.state, limits.eject_ms, now);
    service.shared->ejecting = false;
    if (decisions == nullptr)
        return;
    decisions->record({now, config::automation::eject, effect, upstream.member,
                       within ? "failed attempts in a row"
                              : "the largest share is out already"});
}

} // namespace galenarudder::routing
