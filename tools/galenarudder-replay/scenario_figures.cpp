// Mean and spread of figures over seeds.
#include "scenario_figures.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::replay {

namespace {

figures_summary summarize_samples(std::span<const figures> samples)
{
    figures_summary summary{};
    const auto count = static_cast<double>(samples.size());
    for (std::size_t index = 0; index < figure_count; ++index) {
        figure_summary& result = summary.at(index);
        for (const figures& sample : samples)
            result.mean += sample.at(index) / count;
        if (samples.size() < 2)
            continue;
        double squares = 0;
        for (const figures& sample : samples)
            squares += std::pow(sample.at(index) - result.mean, 2);
        result.spread = std::sqrt(squares / (count - 1));
    }
    return summary;
}

using figure_list = std::vector<figures> seed_figures::*;

/// Summarizes each row of a list over all seeds.
std::vector<figures_summary> summarize_rows(std::span<const seed_figures> seeds,
                                            figure_list list)
{
    std::vector<figures_summary> rows;
    if (seeds.empty())
        return rows;
    for (std::size_t row = 0; row < (seeds.front().*list).size(); ++row) {
        std::vector<figures> samples;
        for (const seed_figures& seed : seeds)
            samples.push_back((seed.*list).at(row));
        rows.push_back(summarize_samples(samples));
    }
    return rows;
}

figures difference(const figures& base, const figures& changed)
{
    figures result{};
    for (std::size_t index = 0; index < figure_count; ++index)
        result.at(index) = changed.at(index) - base.at(index);
    return result;
}

} // namespace

scenario_summary summarize(std::span<const seed_figures> seeds)
{
    std::vector<figures> totals;
    for (const seed_figures& seed : seeds)
        totals.push_back(seed.total);
    return {summarize_rows(seeds, &seed_figures::per_second),
            summarize_samples(totals),
            summarize_rows(seeds, &seed_figures::per_call),
            summarize_rows(seeds, &seed_figures::per_organisation)};
}

scenario_summary summarize_difference(std::span<const seed_figures> base,
                                      std::span<const seed_figures> changed)
{
    std::vector<seed_figures> differences;
    for (std::size_t seed = 0; seed < base.size(); ++seed) {
        const seed_figures& left = base[seed];
        const seed_figures& right = changed[seed];
        seed_figures& result = differences.emplace_back();
        result.total = difference(left.total, right.total);
        // A scenario may be longer with the changed settings.
        const std::size_t seconds =
            std::min(left.per_second.size(), right.per_second.size());
        for (std::size_t second = 0; second < seconds; ++second)
            result.per_second.push_back(
                difference(left.per_second[second], right.per_second[second]));
    }
    return summarize(differences);
}

} // namespace galenarudder::replay
