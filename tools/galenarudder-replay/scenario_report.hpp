/// \file
/// Text, JSON and SVG forms of the figures of scenarios.
#pragma once

#include "scenario.hpp"
#include "scenario_figures.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::replay {

/// A scenario that was played with several seeds.
struct played_scenario
{
    const scenario* played = nullptr;
    std::vector<seed_figures> seeds;
    scenario_summary summary;
};

/// What was played: a scenario, and the same with other settings.
struct scenario_results
{
    std::uint64_t first_seed = 1;
    played_scenario base;
    std::optional<played_scenario> changed;
    /// Of the changed scenario less the base.
    std::optional<scenario_summary> difference;
};

std::string to_text(const scenario_results& results);
/// Equal results give equal bytes.
std::string to_json(const scenario_results& results);
/// Plots the means of each second, with bands of one standard deviation; one
/// panel for each scenario, with the same scale.
std::string to_svg(const scenario_results& results);

} // namespace galenarudder::replay
