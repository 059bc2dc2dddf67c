/// \file
/// The immutable view of the fleet that picks read, and its parts.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/routing/pick_strategy.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::routing {

/// Upper bound of the candidates of one service, whatever is configured.
inline constexpr std::size_t max_candidates = 256;

struct service_view
{
    std::shared_ptr<service_state> shared;
    const pick_strategy* strategy = nullptr;
    std::vector<candidate> candidates;
    /// Positions of the candidates in the own failure domain come first.
    std::size_t local_count = 0;
};

/// What of the configuration a pick or an attempt needs.
struct routing_limits
{
    std::size_t samples = 2;
    double slow_start_ms = 0;
    double eject_share = 0;
    double eject_error_rate = 1;
    double eject_ms = 0;
    double retry_share = 0;
    double hedge_share = 0;
    double hedge_percentile = 1;
    /// Retries, and as many hedges, that this entry may save up for a service.
    double saved_extra = budget::max_burst;
    config::automation_mode eject = config::automation_mode::automatic;
    config::automation_mode reroute = config::automation_mode::automatic;
    config::automation_mode retry = config::automation_mode::automatic;
    config::automation_mode hedge = config::automation_mode::automatic;
};

/// Takes the limits out of a configuration.
routing_limits limits_of(const config::configuration& in_force);

struct fleet_view
{
    routing_limits limits;
    /// Sorted by name.
    std::vector<std::shared_ptr<const service_view>> services;

    const service_view* find(std::string_view name) const;
};

/// Orders \p all by a rendezvous hash of \p own_member and keeps
/// \p subset_size of them, taken from the failure domains in turn.
std::vector<candidate> subset_of(std::vector<candidate> all,
                                 std::string_view own_member,
                                 std::size_t subset_size);

} // namespace galenarudder::routing
