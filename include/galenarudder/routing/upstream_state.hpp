/// \file
/// What an entry knows about an upstream, its service and the links to its
/// failure domain. Thread-safe.
#pragma once

#include "galenarudder/routing/crossing.hpp"
#include "galenarudder/routing/extra_attempt_budget.hpp"
#include "galenarudder/routing/latency_histogram.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace galenarudder::routing {

/// Number of ranks with counters of their own; all less urgent ranks share the
/// last.
inline constexpr std::size_t max_ranks = 8;

/// Updates an exponential moving average with a sample of the given weight.
/// The loss of a sample in a race is accepted.
inline void
update_average(std::atomic<double>& average, double sample, double weight)
{
    const double previous = average.load(std::memory_order_relaxed);
    average.store(previous + weight * (sample - previous),
                  std::memory_order_relaxed);
}

/// Round-trip time of the links from this entry to the upstreams of one service
/// in one failure domain.
struct link_delay
{
    /// A low percentile of the round-trip times in milliseconds, without the
    /// time spent at the gate; negative before the first sample.
    std::atomic<double> floor_ms{-1};

    void record_round_trip(support::duration round_trip);
};

/// State shared by all upstreams of one service.
struct service_state
{
    explicit service_state(std::string service_name)
        : name(std::move(service_name))
    {
    }

    const std::string name;
    /// Mean of the reported running and waiting calls, as a ratio to the
    /// reported concurrency limit.
    std::atomic<double> mean_load{0};
    std::atomic<double> mean_service_ms{0};
    /// Budget for retries.
    extra_attempt_budget retries;
    /// Budget for hedges.
    extra_attempt_budget hedges;
    std::array<latency_histogram, max_ranks> latencies;
    /// Whether this entry's failure domain has no healthy upstream.
    std::atomic<bool> own_domain_unhealthy{false};
    /// Set while a thread decides about an ejection; other threads skip theirs
    /// meanwhile.
    std::atomic<bool> ejecting{false};
    /// Time until which some upstream is ejected or draining. After it a pick
    /// need not check each upstream.
    std::atomic<std::int64_t> any_excluded_until_ns{0};
    /// Picks made by strategies that rotate.
    std::atomic<std::uint64_t> rotation_count{0};

    /// Mean size of a call's request and response in bytes; 0 until known.
    std::atomic<double> mean_call_bytes{0};
    crossing_share crossings;
    /// Whether many calls leave for a gain, as last recorded.
    std::atomic<bool> known_leaving{false};

    /// Latest end of a cold time that an upstream reported.
    std::atomic<std::int64_t> cold_until_ns{0};
    /// Attempts that cold gates may hand back: each call that a cold upstream
    /// answered allows for some, so that calls for which there is no room are
    /// not sent to one full gate after the other.
    extra_attempt_budget cold_moves;
    /// Earliest return of the call that this entry refuses next.
    std::atomic<std::int64_t> next_return_ns{0};
    /// Calls that this entry refused since that was last recorded, and when.
    std::atomic<std::uint32_t> cold_refusals{0};
    std::atomic<std::int64_t> cold_refusals_recorded_ns{0};

    /// Records that an upstream is excluded until \p until_ns.
    void extend_exclusion(std::int64_t until_ns)
    {
        std::int64_t known =
            any_excluded_until_ns.load(std::memory_order_relaxed);
        while (known < until_ns &&
               !any_excluded_until_ns.compare_exchange_weak(known, until_ns)) {
        }
    }

    latency_histogram& latency(std::size_t rank)
    {
        return latencies.at(rank < max_ranks ? rank : max_ranks - 1);
    }
};

/// Counters and the last load report of one upstream. Points in time are
/// nanoseconds of the monotonic clock.
struct upstream_state
{
    /// Creates a state without a service, for tests and embedders that need
    /// only the counters.
    upstream_state()
        : upstream_state(std::make_shared<service_state>(""),
                         std::make_shared<link_delay>())
    {
    }
    upstream_state(std::shared_ptr<service_state> of_service,
                   std::shared_ptr<link_delay> delay_of_link)
        : service(std::move(of_service)), link(std::move(delay_of_link))
    {
    }

    const std::shared_ptr<service_state> service;
    const std::shared_ptr<link_delay> link;

    /// Calls from this entry that have not ended.
    std::atomic<std::uint32_t> outstanding{0};
    /// Calls from this entry since the last load report.
    std::atomic<std::uint32_t> sent_since_report{0};
    std::atomic<std::uint32_t> reported_running{0};
    std::atomic<std::uint32_t> reported_waiting{0};
    /// Calls from this entry among the reported ones.
    std::atomic<std::uint32_t> own_calls_in_report{0};
    /// Per rank: reported calls that wait at that rank or a more urgent one.
    std::array<std::atomic<std::uint32_t>, max_ranks> reported_waiting_ahead{};
    /// Reported concurrency limit of the gate; 0 before the first report.
    std::atomic<std::uint32_t> reported_limit{0};
    std::atomic<double> reported_service_ms{0};
    /// Time of the last report; 0 before the first.
    std::atomic<std::int64_t> reported_at_ns{0};
    /// When the gate is expected to start further calls, which a slowdown or a
    /// limit of the upstream delays; 0 when nothing does.
    std::atomic<std::int64_t> starts_calls_at_ns{0};
    /// End of the cold time by the last report; 0 if it stated none.
    std::atomic<std::int64_t> cold_until_ns{0};
    /// Time since which the upstream serves calls; 0 when not known.
    std::atomic<std::int64_t> serving_since_ns{0};

    /// Time when an attempt last ended, or was sent while none was outstanding.
    std::atomic<std::int64_t> progress_at_ns{0};

    /// Recent share of failed attempts, 0 to 1.
    std::atomic<double> error_rate{0};
    /// Time of the last failed attempt.
    std::atomic<std::int64_t> failed_at_ns{0};
    std::atomic<std::uint32_t> failures_in_row{0};
    /// Ejections since the last successful attempt.
    std::atomic<std::uint32_t> ejections_in_row{0};
    std::atomic<std::int64_t> ejected_until_ns{0};
    /// End of the last ejection, in the future while it lasts. Slow start
    /// counts from it; 0 when there was no ejection.
    std::atomic<std::int64_t> ejection_ends_at_ns{0};
    /// Time until which the upstream is excluded because its gate said that it
    /// accepts no more calls. By then membership shows whether it left.
    std::atomic<std::int64_t> draining_until_ns{0};
};

} // namespace galenarudder::routing
