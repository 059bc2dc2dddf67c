/// \file
/// Calls and speeds drawn from a scenario and a seed. They do not depend on how
/// the calls are served, so that two settings can be compared on the same load.
#pragma once

#include "scenario.hpp"

#include "galenarudder/support/random.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace galenarudder::replay {

/// A call with all that it leads to.
struct planned_call
{
    /// Position in scenario::calls.
    std::size_t type = 0;
    double at_ms = 0;
    std::size_t domain = 0;
    /// Position in scenario::organisations; nested calls have none, since they
    /// carry no key.
    std::optional<std::size_t> organisation;
    double work_ms = 0;
    /// Chooses the daemon that takes the call among those of its domain.
    std::uint64_t entry_choice = 0;
    /// Calls that its upstream makes, one after the other.
    std::vector<planned_call> nested;
};

/// Returns the calls from outside in the order of their times.
std::vector<planned_call> draw_demand(const scenario& played,
                                      std::uint64_t seed);

/// Returns the calls per second of \p type in \p domain at a time.
double demand_at(const scenario& played,
                 std::size_t type,
                 std::size_t domain,
                 double time_s);

/// Purposes with separate streams of random numbers, so that a change to one
/// does not change the others.
enum class random_purpose : std::uint64_t
{
    demand,
    fleet,
    links,
    limiters,
    entries
};

support::random_engine make_random(std::uint64_t seed,
                                   random_purpose purpose,
                                   std::uint64_t number = 0);

} // namespace galenarudder::replay
