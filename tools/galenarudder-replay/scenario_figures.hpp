/// \file
/// Counts of a scenario's calls by their outcome, and their mean and spread
/// over several seeds.
#pragma once

#include "scenario.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::replay {

/// In the order of figure_names. Every offered call is counted as one of
/// in_time, late, refused_at_once and failed.
enum class figure
{
    offered,
    /// Answered within the call's goal.
    in_time,
    late,
    /// Refused as not run within the call's goal.
    refused_at_once,
    /// Not answered, or refused later.
    failed,
    /// Sent to another domain at least once.
    left_domain,
    /// Of these, sent to another region.
    left_region
};
inline constexpr std::size_t figure_count = 7;
inline constexpr std::array<std::string_view, figure_count> figure_names = {
    "offered", "in_time",     "late",       "refused_at_once",
    "failed",  "left_domain", "left_region"};

using figures = std::array<double, figure_count>;

inline double& at(figures& counts, figure which)
{
    return counts.at(static_cast<std::size_t>(which));
}

/// Counts of one seed. Totals and seconds are those of calls from outside, by
/// the time at which they were sent.
struct seed_figures
{
    std::vector<figures> per_second;
    figures total{};
    /// By call type, nested calls included.
    std::vector<figures> per_call;
    /// By position in scenario::organisations.
    std::vector<figures> per_organisation;
};

/// Mean and standard deviation over seeds; the latter is 0 for one seed.
struct figure_summary
{
    double mean = 0;
    double spread = 0;
};
using figures_summary = std::array<figure_summary, figure_count>;

struct scenario_summary
{
    std::vector<figures_summary> per_second;
    figures_summary total{};
    std::vector<figures_summary> per_call;
    std::vector<figures_summary> per_organisation;
};

scenario_summary summarize(std::span<const seed_figures> seeds);

/// Summarizes \p changed less \p base, seed by seed. Both have the same seeds
/// in the same order. Rows of call types and organisations belong together only
/// if both scenarios have the same ones.
scenario_summary summarize_difference(std::span<const seed_figures> base,
                                      std::span<const seed_figures> changed);

} // namespace galenarudder::replay
