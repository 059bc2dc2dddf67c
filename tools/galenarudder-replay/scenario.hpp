/// \file
/// A scenario: fleet, demand and faults as rates and times, from which calls
/// are drawn for each seed.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/organisations/limit.hpp"
#include "galenarudder/routing/crossing.hpp"
#include "galenarudder/support/error.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::replay {

/// A time from the start of a scenario.
struct period
{
    double at_s = 0;
    double for_s = 0;

    bool contains(double time_s) const
    {
        return time_s >= at_s && time_s < at_s + for_s;
    }
};

struct scenario_domain
{
    std::string name;
    std::string region;
    /// Position in a wave's period, 0 to 1.
    double phase = 0;
};

/// One-way delays by distance, and the bandwidth of each direction between two
/// regions.
struct scenario_links
{
    std::array<double, routing::distance_count> one_way_ms{};
    double to_callers_ms = 0;
    /// 0 for no limit.
    double between_regions_mbit_per_s = 0;
};

struct scenario_service
{
    std::string name;
    /// By domain.
    std::vector<std::size_t> upstreams;
    std::uint32_t slots = 1;
    /// Upstreams differ in speed by up to this share, slower and faster.
    double speed_spread = 0;
    /// Factor right after a cold start; it falls linearly to 1.
    double cold_slowdown = 4;
};

struct nested_call
{
    /// Position in scenario::calls.
    std::size_t type = 0;
    /// Number of calls, one after the other.
    std::size_t count = 1;
    /// Share of the parent calls that make them.
    double share = 1;
};

struct call_type
{
    std::string name;
    std::string service;
    std::string rank;
    /// Calls per second from outside, by domain.
    std::vector<double> per_s;
    /// Mean, and standard deviation as a share of it.
    double work_ms = 0;
    double work_spread = 0;
    double goal_ms = 0;
    double deadline_ms = 0;
    double request_bytes = 0;
    double response_bytes = 0;
    bool repeatable = false;
    std::vector<nested_call> nested;
};

struct demand_wave
{
    double amplitude = 0;
    double period_s = 1;
};

/// A time in which some calls are more frequent.
struct demand_burst
{
    period when;
    double factor = 1;
    /// By call type and by domain.
    std::vector<bool> calls;
    std::vector<bool> domains;
};

struct scenario_organisation
{
    std::string name;
    /// Its part of the demand, in proportion to the parts of the others.
    double load = 1;
    double surge_factor = 1;
    period surge;
};

enum class fleet_change
{
    /// Upstreams stop, and start cold at the end of the time.
    stop,
    /// Upstreams work more slowly by a factor.
    slow,
    /// Upstreams are replaced by new, cold instances.
    restart
};

struct fleet_event
{
    period when;
    fleet_change change{};
    std::size_t domain = 0;
    /// Empty for all services.
    std::string service;
    /// Share of the domain's upstreams that are affected.
    double share = 1;
    double factor = 1;
    double cold_ms = 0;
};

struct scenario
{
    std::string name;
    double seconds = 0;
    std::vector<scenario_domain> domains;
    scenario_links links;
    std::vector<scenario_service> services;
    std::vector<call_type> calls;
    demand_wave wave;
    std::vector<demand_burst> bursts;
    std::vector<scenario_organisation> organisations;
    std::vector<fleet_event> events;
    /// Without the own domain.
    routing::crossing_settings crossings;
    organisations::tolerance organisation_tolerance;
    double saved_extra_attempts = 0;
    config::configuration in_force;
};

/// Parses a scenario and the settings of \p overlay, which is merged over it
/// by the rules of JSON merge patch (RFC 7396); an empty one changes nothing.
/// Errors name the file, the key, the value and the remedy.
support::result<scenario> parse_scenario(std::string_view text,
                                         std::string_view file,
                                         std::string_view overlay = {},
                                         std::string_view overlay_file = {});

} // namespace galenarudder::replay
