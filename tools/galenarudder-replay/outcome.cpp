// Percentiles, counts and JSON form of a replay's outcome.
#include "outcome.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace galenarudder::replay {

using json = nlohmann::ordered_json;

namespace {

double rounded(double value)
{
    constexpr double steps_per_unit = 1000;
    return std::round(value * steps_per_unit) / steps_per_unit;
}

/// The nearest-rank percentile; 0 when there are no samples.
double percentile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    const double nearest_rank =
        std::ceil(share * static_cast<double>(sorted.size()));
    const auto position =
        static_cast<std::size_t>(std::max(nearest_rank, 1.0)) - 1;
    return rounded(sorted[std::min(position, sorted.size() - 1)]);
}

json rank_json(rank_outcome rank)
{
    std::sort(rank.latencies_ms.begin(), rank.latencies_ms.end());
    return {{"offered", rank.offered},
            {"answered", rank.answered},
            {"refused_not_run", rank.refused_not_run},
            {"unknown", rank.unknown},
            {"p50_ms", percentile(rank.latencies_ms, 0.5)},
            {"p99_ms", percentile(rank.latencies_ms, 0.99)},
            {"p999_ms", percentile(rank.latencies_ms, 0.999)}};
}

json ranks_json(const trace& recorded, const replay_outcome& outcome)
{
    json ranks = json::object();
    for (std::size_t rank = 0; rank < outcome.ranks.size(); ++rank)
        ranks[recorded.in_force.ranks[rank].name] =
            rank_json(outcome.ranks[rank]);
    return ranks;
}

json overall_json(const replay_outcome& outcome)
{
    rank_outcome all;
    for (const rank_outcome& rank : outcome.ranks) {
        all.offered += rank.offered;
        all.answered += rank.answered;
        all.refused_not_run += rank.refused_not_run;
        all.unknown += rank.unknown;
        all.latencies_ms.insert(all.latencies_ms.end(),
                                rank.latencies_ms.begin(),
                                rank.latencies_ms.end());
    }
    return rank_json(std::move(all));
}

/// Largest share of a window that probes of one upstream took, over all windows
/// that end with a probe.
double worst_window_share(const upstream_counts& counts)
{
    constexpr support::milliseconds window = admission::probe_budget::window;
    double worst_ms = 0;
    double sum_ms = 0;
    std::size_t first = 0;
    for (const probe_record& last : counts.probes) {
        sum_ms += last.cost_ms;
        while (counts.probes[first].ended_at <= last.ended_at - window)
            sum_ms -= counts.probes[first++].cost_ms;
        worst_ms = std::max(worst_ms, sum_ms);
    }
    return worst_ms / support::to_ms(window);
}

json probes_json(const trace& recorded,
                 const replay_outcome& outcome,
                 const std::vector<std::unique_ptr<fake_upstream>>& fleet)
{
    std::size_t sent = 0;
    double cost_ms = 0;
    double worst_share = 0;
    for (const auto& upstream : fleet) {
        const upstream_counts& counts = upstream->counts();
        sent += counts.probes.size();
        for (const probe_record& probe : counts.probes)
            cost_ms += probe.cost_ms;
        worst_share = std::max(worst_share, worst_window_share(counts));
    }
    const double budget_ms =
        outcome.duration_ms * static_cast<double>(fleet.size()) *
        recorded.in_force.value(config::limit::probe_share);
    return {{"sent", sent},
            {"cost_ms", rounded(cost_ms)},
            {"budget_ms", rounded(budget_ms)},
            {"worst_window_share", worst_share}};
}

json upstream_json(const fake_upstream& upstream)
{
    const upstream_counts& counts = upstream.counts();
    return {{"started", counts.started},
            {"answered", counts.answered},
            {"failed", counts.failed},
            {"busy_ms", rounded(counts.busy_ms)}};
}

} // namespace

std::string to_json(const trace& recorded,
                    const std::string& policy,
                    const replay_outcome& outcome,
                    const std::vector<std::unique_ptr<fake_upstream>>& fleet)
{
    std::uint64_t ran_twice = 0;
    std::uint64_t not_run_but_ran = 0;
    std::uint64_t runs = 0;
    for (const run_record& call : outcome.calls) {
        runs += call.runs;
        if (call.runs > 1 && !call.repeatable)
            ++ran_twice;
        if (call.runs > 0 && call.refused_not_run)
            ++not_run_but_ran;
    }
    std::uint64_t cut_after_drain = 0;
    double after_drain_ms = 0;
    json upstreams = json::object();
    for (const auto& upstream : fleet) {
        cut_after_drain += upstream->counts().cut_after_drain;
        after_drain_ms = std::max(after_drain_ms,
                                  upstream->counts().new_work_after_drain_ms);
        upstreams[upstream->spec().id] = upstream_json(*upstream);
    }
    const json report = {{"policy", policy},
                         {"ranks", ranks_json(recorded, outcome)},
                         {"all", overall_json(outcome)},
                         {"probes", probes_json(recorded, outcome, fleet)},
                         {"ran_twice", ran_twice},
                         {"not_run_but_ran", not_run_but_ran},
                         {"cut", cut_after_drain},
                         {"new_work_after_drain_ms", rounded(after_drain_ms)},
                         {"runs", runs},
                         {"per_upstream", upstreams}};
    return report.dump();
}

} // namespace galenarudder::replay
