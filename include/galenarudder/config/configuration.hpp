/// \file
/// The effective configuration of one site: the base document with the site's
/// overlay applied. It is immutable once built, and the threads that serve
/// calls read it through read-copy-update.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::organisations {
class key_index;
} // namespace galenarudder::organisations

namespace galenarudder::config {

/// How much freedom the system has in one kind of automated decision.
enum class automation_mode
{
    /// Decides freely within the built-in safety rules.
    automatic,
    /// Decides within the limits that the configuration sets.
    bounded,
    /// Takes no action; only counts the actions it would have taken.
    observe,
};

/// The kinds of automated decisions whose mode operators can set.
enum class automation
{
    eject,
    shed,
    hedge,
    retry,
    adapt_limit,
    reroute,
    /// Refuses calls of organisations above their rate limits.
    organisation_limit,
    /// Refuses calls that a cold upstream cannot answer before they are late.
    cold_admission,
    /// Starts and removes the waiting calls of a gate by turns of their
    /// organisations instead of by arrival.
    organisation_turns
};
inline constexpr std::size_t automation_count = 9;

/// The numeric limits that operators can change.
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
    /// Share of failed responses above which an upstream is ejected, 0 to 1.
    eject_error_rate,
    /// Time for which an upstream stays ejected, in milliseconds.
    eject_ms,
    /// Time over which the share of calls sent to a new upstream grows to its
    /// full value, in milliseconds.
    slow_start_ms,
    /// Share of an upstream's time that health probes may use, 0 to 1.
    probe_share,
    /// Load queries that one daemon may send to other daemons per second.
    load_queries_per_s,
    /// Number of upstreams sampled to pick one for a call.
    pick_samples,
    /// Number of upstreams of a large service among which an entry picks.
    subset_size,
    /// Maximum number of calls that wait at one gate.
    queue_length,
    /// Smallest concurrency limit that the adaptive limiter may choose.
    concurrency_min,
    /// Time window over which the minimum shares of the ranks are measured, in
    /// milliseconds.
    share_window_ms,
    /// Time for which a claim of an idempotency key is kept, in milliseconds.
    claim_retention_ms,
    /// Largest share of a service's calls that may leave the failure domain of
    /// their entry for a gain, 0 to 1.
    leave_share,
};
inline constexpr std::size_t limit_count = 16;

/// The built-in properties of a limit.
struct limit_definition
{
    std::string_view name;
    std::string_view unit;
    /// Used if the base document does not set the limit.
    double default_value;
    /// The bounds in the base document must lie between floor and ceiling.
    double floor;
    double ceiling;
    /// The automated decision that the limit restricts in the modes bounded and
    /// observe; empty if the limit's value applies in every mode.
    std::optional<automation> restricted_automation;
    /// True for an upper limit, false for a lower one.
    bool smaller_is_tighter;
};

const limit_definition& definition_of(limit id);

/// The range within which a limit's value may be set, from the base document.
struct limit_bounds
{
    double min = 0;
    double max = 0;
};

/// A priority class of calls. Ranks are ordered from most to least urgent.
struct rank_policy
{
    std::string name;
    /// Share of the capacity guaranteed to this rank while it has calls
    /// waiting, 0 to 1.
    double minimum_share = 0;
    /// Number of slots that only this rank and more urgent ones may use.
    unsigned held_slots = 0;
};

/// How calls to a path prefix of one service are handled.
struct route_policy
{
    /// HTTP method; empty matches every method.
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
    /// Name of the strategy that picks an upstream for a call.
    std::string strategy;
    /// Path of the health probes; empty to use the path that the upstream
    /// announces.
    std::string probe_path;
    /// Number of connections that an upstream accepts; 0 to use the number that
    /// the upstream announces.
    std::uint32_t connections = 0;
    /// Calls per second that an upstream takes from all daemons together while
    /// it is cold; 0 for no limit.
    double cold_calls_per_s = 0;
};

/// An organisation whose callers share a rank, a rate limit and regions.
struct organisation_policy
{
    std::string name;
    /// SHA-256 digests of its keys, in bytes.
    std::vector<std::string> key_digests;
    /// Takes precedence over the rank of the route; empty to use the route's.
    std::string rank;
    /// Calls per second of all its callers at all daemons; 0 for no limit.
    double calls_per_s = 0;
    /// Calls that it may send at once beyond that rate.
    double burst = 0;
    /// Regions in which its calls may be served; empty for all.
    std::vector<std::string> regions;
};

/// A service that receives a share of a route's calls.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// How calls to a path prefix of one host are handled. If several prefixes
/// match the path, the longest one is used.
struct host_route
{
    std::string host;
    std::string prefix;
    std::string rank;
    bool repeatable = false;
    /// The longest time that a caller waits for the response.
    support::milliseconds deadline{0};
    /// Expected latency of a call; 0 if not set.
    support::milliseconds goal{0};
    /// Largest number of attempts of one call that may have run; attempts that
    /// certainly did not run do not count.
    unsigned attempts = 1;
    /// The calls are distributed among these services in proportion to their
    /// weights.
    std::vector<weighted_service> services;
    /// Whether calls need no key although the configuration has organisations.
    bool open = false;
    /// Regions in which its calls may be served; empty for all.
    std::vector<std::string> regions;
};

/// Returns whether \p left comes before \p right: routes are ordered by host,
/// then by descending length of the prefix.
bool precedes(const host_route& left, const host_route& right);

/// Limits on the size of a caller's request and on the time that a caller may
/// take to send it.
struct caller_limits
{
    std::uint32_t head_bytes = 16 * 1024;
    /// Applies to host routes only; each route of a service has its own limit.
    std::uint64_t body_bytes = 1 << 20;
    support::milliseconds head_time{5000};
    support::milliseconds idle_time{75'000};
};

/// The effective configuration of one site.
struct configuration
{
    std::uint64_t version = 0;
    std::string site;
    std::vector<rank_policy> ranks;
    std::vector<service_policy> services;
    /// Sorted by precedes(). A call to one of these hosts is routed by host and
    /// path instead of by service name. Versions share the routes that they
    /// have in common.
    std::vector<std::shared_ptr<const host_route>> host_routes;
    /// Whether calls need the key of an organisation, unless their route is
    /// open. Holds for a document with an empty list of organisations, too, so
    /// that withdrawing the last one does not admit everybody.
    bool requires_keys = false;
    /// Sorted by name.
    std::vector<std::shared_ptr<const organisation_policy>> organisations;
    /// Finds an organisation by a key of it; null if there are none. Versions
    /// with the same organisations share it.
    std::shared_ptr<const organisations::key_index> organisation_keys;
    caller_limits callers;
    std::array<double, limit_count> limits{};
    std::array<limit_bounds, limit_count> bounds{};
    std::array<automation_mode, automation_count> modes{};

    double value(limit id) const
    {
        return limits.at(static_cast<std::size_t>(id));
    }
    automation_mode mode(automation kind) const
    {
        return modes.at(static_cast<std::size_t>(kind));
    }
    /// Returns the value of the limit that an automated decision must respect:
    /// in mode automatic the loosest value within the base document's bounds,
    /// otherwise the value in force.
    double automation_limit(limit id) const;
    /// Returns the service called \p name, or null if there is none.
    const service_policy* find_service(std::string_view name) const;
    /// Returns the position of the rank called \p name, 0 for the most urgent
    /// rank.
    std::optional<std::size_t> rank_index(std::string_view name) const;
};

/// Returns the first route of \p service that matches, or null.
const route_policy* find_route(const service_policy& service,
                               std::string_view method,
                               std::string_view path);

/// Returns the route of \p host with the longest prefix that matches \p path,
/// or null. The host is compared without regard to case.
const host_route* find_host_route(const configuration& in_force,
                                  std::string_view host,
                                  std::string_view path);

std::string_view to_string(automation_mode mode);
std::string_view to_string(automation kind);
std::string_view to_string(limit id);
std::optional<limit> parse_limit(std::string_view name);
std::optional<automation> parse_automation(std::string_view name);
std::optional<automation_mode> parse_automation_mode(std::string_view name);

/// Returns the built-in configuration, which is in force until a document is
/// accepted. It has no services; the ranks are `urgent`, `normal` and `bulk`,
/// with minimum shares of 10% for `normal` and 5% for `bulk`; probe_share is
/// 0.01; every automation is in mode automatic.
configuration default_configuration();

} // namespace galenarudder::config
