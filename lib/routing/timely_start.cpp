// The calls that this entry sent since the last report count as waiting.
#include "galenarudder/routing/timely_start.hpp"

#include <algorithm>

namespace galenarudder::routing {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

bool is_known_cold(const upstream_state& upstream, support::time_point now)
{
    return upstream.cold_until_ns.load(relaxed) >
           now.time_since_epoch().count();
}

bool counts_as_cold(const upstream_state& upstream, support::time_point now)
{
    if (upstream.reported_at_ns.load(relaxed) != 0)
        return is_known_cold(upstream, now);
    return upstream.service->cold_until_ns.load(relaxed) >
           now.time_since_epoch().count();
}

support::time_point expected_start(const upstream_state& upstream,
                                   const timely_inputs& inputs)
{
    const std::size_t rank = std::min(inputs.rank, max_ranks - 1);
    const std::int64_t starts_at_ns = upstream.starts_calls_at_ns.load(relaxed);
    if (starts_at_ns == 0)
        return inputs.now;
    // The report states the start behind all waiting calls. Those of less
    // urgent ranks go after the call.
    const std::int64_t waiting = upstream.reported_waiting.load(relaxed);
    const std::int64_t ahead =
        upstream.reported_waiting_ahead.at(rank).load(relaxed);
    const std::int64_t sent = upstream.sent_since_report.load(relaxed);
    const support::time_point start =
        support::time_point(support::duration(starts_at_ns)) +
        (ahead + sent - waiting) * inputs.start_interval;
    return std::max(start, inputs.now);
}

bool may_start_in_time(const upstream_state& upstream,
                       const timely_inputs& inputs)
{
    return !is_known_cold(upstream, inputs.now) ||
           expected_start(upstream, inputs) < inputs.in_time_until;
}

support::time_point reserve_return(service_state& service,
                                   support::time_point first,
                                   support::duration interval,
                                   support::duration max_spread)
{
    const std::int64_t first_ns = first.time_since_epoch().count();
    const std::int64_t last_ns = first_ns + max_spread.count();
    std::int64_t next_ns = service.next_return_ns.load(relaxed);
    std::int64_t place_ns = 0;
    do {
        place_ns = std::clamp(next_ns, first_ns, last_ns);
    } while (!service.next_return_ns.compare_exchange_weak(
        next_ns, place_ns + interval.count(), relaxed));
    return support::time_point(support::duration(place_ns));
}

} // namespace galenarudder::routing
