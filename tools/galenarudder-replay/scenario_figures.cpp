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

/// Rows that only one of the two has are left out.
void subtract_rows(const std::vector<figures>& base,
                   const std::vector<figures>& changed,
                   std::vector<figures>& differences)
{
    const std::size_t rows = std::min(base.size(), changed.size());
    for (std::size_t row = 0; row < rows; ++row)
        differences.push_back(difference(base[row], changed[row]));
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
        for (const figure_list list :
             {&seed_figures::per_second, &seed_figures::per_call,
              &seed_figures::per_organisation})
            subtract_rows(left.*list, right.*list, result.*list);
    }
    return summarize(differences);
}

} // namespace galenarudder::replay
