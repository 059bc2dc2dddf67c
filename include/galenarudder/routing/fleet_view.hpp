/// \file
/// The immutable snapshot of services and upstreams from which upstreams are
/// picked.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/routing/pick_strategy.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::routing {

/// Largest number of candidates of one service, regardless of the configured
/// subset size.
inline constexpr std::size_t max_candidates = 256;

/// A service and the upstreams that may serve its calls.
struct service_view
{
    std::shared_ptr<service_state> state;
    const pick_strategy* strategy = nullptr;
    /// Ordered by distance, those in this entry's failure domain first.
    std::vector<candidate> candidates;
    /// Number of candidates in this entry's failure domain.
    std::size_t local_count = 0;
    /// Calls per second that each upstream takes while it is cold; 0 for no
    /// limit.
    double cold_calls_per_s = 0;
    /// This entry's share of the starts of all cold upstreams, as the time
    /// between two of its calls.
    support::duration cold_interval{0};
};

/// The limits and modes of the configuration that apply to picks and attempts.
struct routing_limits
{
    /// Candidates that a pick compares.
    std::size_t samples = 2;
    double slow_start_ms = 0;
    /// Largest share of a service's upstreams that may be ejected.
    double eject_share = 0;
    double eject_error_rate = 1;
    double eject_ms = 0;
    double retry_share = 0;
    double hedge_share = 0;
    double hedge_percentile = 1;
    /// Largest number of unspent tokens for retries, and as many for hedges,
    /// that this entry may accumulate per service.
    double saved_extra_attempts = extra_attempt_budget::max_burst;
    /// Largest share of a service's calls that leave their failure domain for a
    /// gain while nearer upstreams can be used.
    double leave_share = 1;
    config::automation_mode eject_mode = config::automation_mode::automatic;
    config::automation_mode reroute_mode = config::automation_mode::automatic;
    config::automation_mode retry_mode = config::automation_mode::automatic;
    config::automation_mode hedge_mode = config::automation_mode::automatic;
    config::automation_mode cold_mode = config::automation_mode::automatic;
};

/// Returns the limits and modes set by a configuration.
routing_limits limits_of(const config::configuration& in_force);

/// All services with at least one upstream, with the limits for picks.
struct fleet_view
{
    routing_limits limits;
    /// Sorted by name.
    std::vector<std::shared_ptr<const service_view>> services;

    /// Returns the service \p name, or null when it has no upstream.
    const service_view* find(std::string_view name) const;
};

/// Returns \p subset_size of \p all, taken from the failure domains in turn.
/// Within a domain they are taken in the order of their rendezvous hash with
/// \p own_member, so that each entry uses a different subset.
std::vector<candidate> select_subset(std::vector<candidate> all,
                                     std::string_view own_member,
                                     std::size_t subset_size);

/// Like select_subset, but prefers near upstreams: those of this entry's domain
/// get up to half of the places, those of its region up to half of the rest.
std::vector<candidate> select_near_subset(std::vector<candidate> all,
                                          std::string_view own_member,
                                          std::size_t subset_size);

} // namespace galenarudder::routing
