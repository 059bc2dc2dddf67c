/// \file
/// What one entry knows of one upstream, its service and the links to its
/// failure domain; safe from several threads.
#pragma once

#include "galenarudder/routing/budget.hpp"
#include "galenarudder/routing/latency_histogram.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace galenarudder::routing {

/// Ranks that are told apart on the path of a call; less urgent ones share
/// the last place.
inline constexpr std::size_t max_ranks = 8;

/// Moves \p average toward \p sample by \p share. A sample lost in a race
/// does no harm.
inline void blend(std::atomic<double>& average, double sample, double share)
{
    const double before = average.load(std::memory_order_relaxed);
    average.store(before + share * (sample - before),
                  std::memory_order_relaxed);
}

/// Delay of the links from this entry to the upstreams of one service in one
/// failure domain.
struct link_delay
{
    /// A low percentile of round trips in milliseconds; negative before the
    /// first sample. Time spent at the gate is not part of them.
    std::atomic<double> floor_ms{-1};

    void on_trip(support::duration trip);
};

/// Shared by all upstreams of one service.
struct service_state
{
    explicit service_state(std::string of) : name(std::move(of)) {}

    const std::string name;
    /// Mean of reported calls per slot.
    std::atomic<double> mean_load{0};
    std::atomic<double> mean_service_ms{0};
    budget retries;
    budget hedges;
    std::array<latency_histogram, max_ranks> latencies;
    /// Whether calls leave the own domain because its upstreams are out.
    std::atomic<bool> rerouting{false};
    /// Held by the thread that decides about an ejection; others skip theirs.
    std::atomic<bool> ejecting{false};
    /// Until when any upstream is ejected or leaving; before it nobody needs
    /// to look at each one.
    std::atomic<std::int64_t> any_out_until_ns{0};
    /// Counts picks, for strategies that take turns.
    std::atomic<std::uint64_t> turn{0};

    void note_out_until(std::int64_t until_ns)
    {
        std::int64_t known = any_out_until_ns.load(std::memory_order_relaxed);
        while (known < until_ns &&
               !any_out_until_ns.compare_exchange_weak(known, until_ns)) {
        }
    }

    latency_histogram& latency(std::size_t rank)
    {
        return latencies.at(rank < max_ranks ? rank : max_ranks - 1);
    }
};

/// Counts and the last load report, written by atomics on a call's path.
struct upstream_state
{
    /// Of no service; for tests and embedders that need only the counts.
    upstream_state()
        : upstream_state(std::make_shared<service_state>(""),
                         std::make_shared<link_delay>())
    {
    }
    upstream_state(std::shared_ptr<service_state> of,
                   std::shared_ptr<link_delay> over)
        : service(std::move(of)), link(std::move(over))
    {
    }

    const std::shared_ptr<service_state> service;
    const std::shared_ptr<link_delay> link;

    /// Calls that this entry sent and that have not ended.
    std::atomic<std::uint32_t> outstanding{0};
    /// Calls sent since the last load report.
    std::atomic<std::uint32_t> sent_since_report{0};
    std::atomic<std::uint32_t> reported_running{0};
    std::atomic<std::uint32_t> reported_waiting{0};
    /// Own calls among the reported ones.
    std::atomic<std::uint32_t> own_in_report{0};
    /// Calls waiting at this rank or a more urgent one.
    std::array<std::atomic<std::uint32_t>, max_ranks> reported_ahead{};
    /// Calls that the gate runs at once; 0 before the first report.
    std::atomic<std::uint32_t> reported_limit{0};
    std::atomic<double> reported_service_ms{0};
    /// Nanoseconds of the monotonic clock; 0 before the first report.
    std::atomic<std::int64_t> reported_at_ns{0};
    /// Until when the upstream should be in a slow spell; 0 when it is not.
    std::atomic<std::int64_t> spell_until_ns{0};
    /// Since when the upstream serves; 0 when it is not known.
    std::atomic<std::int64_t> serving_since_ns{0};

    /// When an attempt last ended, or began while none was under way.
    std::atomic<std::int64_t> progress_at_ns{0};

    /// Recent share of failed attempts, 0 to 1.
    std::atomic<double> error_rate{0};
    std::atomic<std::int64_t> failed_at_ns{0};
    std::atomic<std::uint32_t> failures_in_row{0};
    /// Ejections without a good answer between them.
    std::atomic<std::uint32_t> ejections_in_row{0};
    std::atomic<std::int64_t> ejected_until_ns{0};
    /// When it came back from its last ejection; 0 when there was none.
    std::atomic<std::int64_t> returned_at_ns{0};
    /// Said itself that it leaves; kept out until membership tells more.
    std::atomic<std::int64_t> leaving_until_ns{0};
};

} // namespace galenarudder::routing
