/// \file
/// The effective configuration of one site: the base document with the
/// site's overlay applied. Immutable once built; published to the path of a
/// call through read-copy-update.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// How far the system may act by itself in one matter.
enum class automation_mode
{
    /// Acts freely within the product's own safety rules.
    automatic,
    /// Acts within the limits that the configuration states.
    bounded,
    /// Only counts what it would have done.
    observe,
};

/// The decisions that operators can bound.
enum class automation
{
    eject,
    shed,
    hedge,
    retry,
    adapt_limit,
    reroute
};
inline constexpr std::size_t automation_count = 6;

/// The numeric limits that operators can move.
enum class limit
{
    /// Share of recent calls that may be retried, 0 to 1.
    retry_share,
    /// Share of recent calls that may be hedged, 0 to 1.
    hedge_share,
    /// Percentile of a service's latency after which a hedge is sent.
    hedge_percentile,
    /// Largest share of a service's upstreams ejected at once, 0 to 1.
    eject_share,
    /// Share of failed answers above which an upstream is ejected, 0 to 1.
    eject_error_rate,
    /// Time an ejected upstream stays out, in milliseconds.
    eject_ms,
    /// Time over which a new upstream's share grows, in milliseconds.
    slow_start_ms,
    /// Share of an upstream's time spent on probes, 0 to 1.
    probe_share,
    /// Load queries between daemons per second and daemon.
    load_queries_per_s,
    /// Candidates sampled for one pick.
    pick_samples,
    /// Candidates kept for a large service.
    subset_size,
    /// Calls waiting at one gate.
    queue_length,
    /// Smallest concurrency limit that adaptation may choose.
    concurrency_min,
    /// Window over which minimum shares are counted, in milliseconds.
    share_window_ms,
    /// Time a claim of an idempotency key is kept, in milliseconds.
    claim_retention_ms,
};
inline constexpr std::size_t limit_count = 15;

/// What the product itself knows of a limit.
struct limit_facts
{
    std::string_view name;
    std::string_view unit;
    /// In force when the base document does not state the limit.
    double first_value;
    /// No document may state a bound outside of these.
    double floor;
    double ceiling;
    /// The automation whose extent the limit caps; absent for a limit whose
    /// value holds in every mode.
    std::optional<automation> binds;
    /// Whether it caps from above; from below otherwise.
    bool smaller_is_tighter;
};

const limit_facts& facts(limit which);

/// The bounds that the base document states for a limit.
struct limit_bounds
{
    double min = 0;
    double max = 0;
};

/// One rank of work; ranks are ordered from most to least urgent.
struct rank_policy
{
    std::string name;
    /// Share of the service kept for this rank when it has work, 0 to 1.
    double minimum_share = 0;
    /// Slots that only this rank and more urgent ones may use.
    unsigned held_slots = 0;
};

/// How calls to one path prefix of a service are treated.
struct route_policy
{
    /// Empty for any method.
    std::string method;
    std::string prefix;
    std::string rank;
    bool repeatable = false;
    support::milliseconds deadline{0};
    std::uint64_t body_limit_bytes = 0;
};

struct service_policy
{
    std::string name;
    std::vector<route_policy> routes;
    /// Name of the pick strategy.
    std::string strategy;
    /// Where the gate may probe an upstream; empty for the path that the
    /// upstream announces.
    std::string probe_path;
    /// Connections that an upstream accepts; 0 for the number that it
    /// announces.
    std::uint32_t connections = 0;
};

/// A service that takes a part of a route's calls.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// How calls to one path prefix of one host are treated. The longest prefix
/// that begins the path wins.
struct host_route
{
    std::string host;
    std::string prefix;
    std::string rank;
    bool repeatable = false;
    /// The longest time that a caller is kept waiting.
    support::milliseconds deadline{0};
    /// The latency that callers expect; 0 when none is stated.
    support::milliseconds goal{0};
    /// Upstreams on which one call may run.
    unsigned attempts = 1;
    /// Calls are divided among these by weight.
    std::vector<weighted_service> services;
};

/// What a caller may send and how long it may take.
struct caller_limits
{
    std::uint32_t head_bytes = 16 * 1024;
    /// Applies to host routes; routes of a service have their own limit.
    std::uint64_t body_bytes = 1 << 20;
    support::milliseconds head_time{5000};
    support::milliseconds idle_time{75'000};
};

struct configuration
{
    std::uint64_t version = 0;
    std::string site;
    std::vector<rank_policy> ranks;
    std::vector<service_policy> services;
    /// Sorted by host, then by prefix, the longest first. Calls to these hosts
    /// are not looked up by service name.
    std::vector<host_route> host_routes;
    caller_limits callers;
    std::array<double, limit_count> limits{};
    std::array<limit_bounds, limit_count> bounds{};
    std::array<automation_mode, automation_count> modes{};

    double value(limit which) const
    {
        return limits.at(static_cast<std::size_t>(which));
    }
    automation_mode mode(automation which) const
    {
        return modes.at(static_cast<std::size_t>(which));
    }
    /// Returns what binds an automated decision: in mode automatic the loosest
    /// value that the base document's bounds admit, else the value in force.
    double binding(limit which) const;
    /// Returns the service, or null when there is none of that name.
    const service_policy* find_service(std::string_view name) const;
    /// Returns the position of a rank, 0 for the most urgent.
    std::optional<std::size_t> rank_index(std::string_view name) const;
};

/// Returns the first route that matches, or null.
const route_policy* find_route(const service_policy& service,
                               std::string_view method,
                               std::string_view path);

/// Returns the route of \p host with the longest prefix that begins \p path,
/// or null. Letter case of the host does not matter.
const host_route* find_host_route(const configuration& in_force,
                                  std::string_view host,
                                  std::string_view path);

std::string_view to_string(automation_mode mode);
std::string_view to_string(automation which);
std::string_view to_string(limit which);
std::optional<limit> limit_from(std::string_view name);
std::optional<automation> automation_from(std::string_view name);
std::optional<automation_mode> automation_mode_from(std::string_view name);

/// A configuration with the product's own first values and no services: three
/// ranks `urgent`, `normal`, `bulk`, minimum shares 10% and 5%, probe budget
/// 1%, all automation automatic. In force until a document is accepted.
configuration default_configuration();

} // namespace galenarudder::config
