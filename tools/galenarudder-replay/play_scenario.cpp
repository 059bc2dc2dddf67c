// Distributes seeds among threads.
#include "play_scenario.hpp"

#include "scenario_run.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace galenarudder::replay {

played_scenario play_scenario(const scenario& played,
                              std::uint64_t first_seed,
                              std::size_t seeds,
                              std::size_t threads)
{
    played_scenario result;
    result.played = &played;
    result.seeds.resize(seeds);
    std::atomic<std::size_t> next = 0;
    const auto play_seeds = [&] {
        for (std::size_t seed = next++; seed < seeds; seed = next++)
            result.seeds[seed] = scenario_run(played, first_seed + seed).run();
    };
    {
        std::vector<std::jthread> workers;
        for (std::size_t count = std::min(threads, seeds); count > 1; --count)
            workers.emplace_back(play_seeds);
        play_seeds();
    }
    result.summary = summarize(result.seeds);
    return result;
}

scenario_results play_scenarios(const scenario& base,
                                const scenario* changed,
                                std::uint64_t first_seed,
                                std::size_t seeds,
                                std::size_t threads)
{
    scenario_results results;
    results.first_seed = first_seed;
    results.base = play_scenario(base, first_seed, seeds, threads);
    if (changed == nullptr)
        return results;
    results.changed = play_scenario(*changed, first_seed, seeds, threads);
    results.difference =
        summarize_difference(results.base.seeds, results.changed->seeds);
    return results;
}

} // namespace galenarudder::replay
