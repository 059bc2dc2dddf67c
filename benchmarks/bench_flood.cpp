// Floods three gates on a virtual clock: offers calls of the least urgent rank
// at 10 times the fleet's capacity, then also calls of the most urgent rank at
// 3 times the capacity. Prints the share of the capacity that each rank got.
#include "galenarudder/admission/gate.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <queue>
#include <random>

DEFINE_uint64(seed, 7, "seed of arrivals and service times");

namespace galenarudder::bench {

using support::duration;
using support::time_point;

constexpr std::size_t gate_count = 3;
constexpr std::uint32_t slots = 9;
constexpr double service_ms = 4;
constexpr double capacity_per_s = gate_count * slots * 1000 / service_ms;
constexpr support::milliseconds phase_duration{20'000};
constexpr support::milliseconds share_window{1'000};
constexpr support::milliseconds tick_interval{5};

constexpr std::size_t urgent = 0;
constexpr std::size_t normal = 1;
constexpr std::size_t bulk = 2;
constexpr std::array<const char*, 3> rank_names = {"urgent", "normal", "bulk"};
constexpr std::array<double, 3> deadline_ms = {500, 1000, 2000};

/// Offered load by rank, in multiples of the fleet's capacity.
using load = std::array<double, 3>;
constexpr load quiet = {0.15, 0.25, 0.10};
constexpr load bulk_flood = {0.15, 0.25, 10.0};
constexpr load both_floods = {3.0, 0.25, 10.0};

struct rank_figures
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::vector<double> latency_ms;
    std::uint64_t answered = 0;
    /// Slot time of the calls answered before their deadline, by window.
    std::vector<duration> served;
};

struct phase_figures
{
    std::array<rank_figures, 3> ranks;
    std::uint64_t answered_in_time = 0;
};

struct event
{
    enum class kind
    {
        arrival,
        end,
        tick
    };
    time_point at;
    std::uint64_t order = 0;
    kind event_kind{};
    std::size_t rank = 0;
    std::size_t gate = 0;
    support::attempt_id id{};

    bool operator>(const event& other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct open_call
{
    std::size_t rank = 0;
    time_point arrival_time;
    duration service{};
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed) : random_(seed)
    {
        const config::configuration in_force = config::default_configuration();
        for (std::size_t index = 0; index < gate_count; ++index) {
            gates_.push_back(std::make_unique<admission::gate>(in_force));
            gates_.back()->on_upstream_announced(slots, now_);
        }
        add(now_, event::kind::tick);
    }

    phase_figures run(const load& offered);

private:
    void add(time_point at,
             event::kind event_kind,
             std::size_t rank = 0,
             std::size_t gate = 0,
             support::attempt_id id = {})
    {
        events_.push({at, ++last_order_, event_kind, rank, gate, id});
    }
    double draw_exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(random_);
    }
    void add_arrival(std::size_t rank);
    void arrive(const event& due);
    void end(const event& due);
    void perform(std::size_t gate,
                 const std::vector<admission::action>& actions);
    std::size_t pick();

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    time_point phase_start_;
    time_point phase_end_;
    load offered_{};
    phase_figures figures_;
    std::vector<std::unique_ptr<admission::gate>> gates_;
    std::map<std::pair<std::size_t, support::attempt_id>, open_call> open_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t last_order_ = 0;
    std::uint64_t last_id_ = 0;
};

void fleet::add_arrival(std::size_t rank)
{
    const double gap_ms =
        draw_exponential(1000 / (offered_.at(rank) * capacity_per_s));
    const time_point at = now_ + support::from_ms(gap_ms);
    if (at < phase_end_)
        add(at, event::kind::arrival, rank);
}

/// Returns the less loaded of two random gates, as an entry would.
std::size_t fleet::pick()
{
    const std::size_t first = random_() % gate_count;
    const std::size_t second = random_() % gate_count;
    const auto load_of = [&](std::size_t gate) {
        const support::load_report report = gates_[gate]->report(now_);
        return report.running + report.waiting;
    };
    return load_of(first) <= load_of(second) ? first : second;
}

void fleet::arrive(const event& due)
{
    add_arrival(due.rank);
    ++figures_.ranks.at(due.rank).offered;
    const std::size_t gate = pick();
    admission::attempt new_attempt;
    new_attempt.key.id = static_cast<support::attempt_id>(++last_id_);
    new_attempt.rank = rank_names.at(due.rank);
    new_attempt.deadline = now_ + support::from_ms(deadline_ms.at(due.rank));
    open_[{gate, new_attempt.key.id}] = {
        due.rank, now_, support::from_ms(draw_exponential(service_ms))};
    perform(gate, gates_[gate]->offer(new_attempt, now_));
}

void fleet::end(const event& due)
{
    const auto position = open_.find({due.gate, due.id});
    const open_call ended_call = position->second;
    open_.erase(position);
    const double latency_ms = support::to_ms(now_ - ended_call.arrival_time);
    rank_figures& figures = figures_.ranks.at(ended_call.rank);
    figures.latency_ms.push_back(latency_ms);
    const auto window =
        static_cast<std::size_t>((now_ - phase_start_) / share_window);
    if (latency_ms <= deadline_ms.at(ended_call.rank) &&
        window < figures.served.size()) {
        figures.served[window] += ended_call.service;
        ++figures.answered;
        ++figures_.answered_in_time;
    }
    perform(due.gate, gates_[due.gate]->on_ended(
                          {0, due.id}, admission::run_result::answered,
                          ended_call.service, now_));
}

void fleet::perform(std::size_t gate,
                    const std::vector<admission::action>& actions)
{
    for (const admission::action& next : actions) {
        if (const auto* started = std::get_if<admission::start>(&next)) {
            const open_call& call = open_.at({gate, started->key.id});
            add(now_ + call.service, event::kind::end, call.rank, gate,
                started->key.id);
        }
        if (const auto* refused = std::get_if<admission::refuse>(&next)) {
            const auto position = open_.find({gate, refused->key.id});
            ++figures_.ranks.at(position->second.rank).refused;
            open_.erase(position);
        }
    }
}

phase_figures fleet::run(const load& offered)
{
    offered_ = offered;
    phase_start_ = now_;
    phase_end_ = now_ + phase_duration;
    figures_ = {};
    for (rank_figures& rank : figures_.ranks)
        rank.served.resize(
            static_cast<std::size_t>(phase_duration / share_window));
    for (std::size_t rank = 0; rank < offered.size(); ++rank)
        add_arrival(rank);
    while (events_.top().at < phase_end_) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        if (next.event_kind == event::kind::arrival)
            arrive(next);
        if (next.event_kind == event::kind::end)
            end(next);
        if (next.event_kind != event::kind::tick)
            continue;
        for (std::size_t gate = 0; gate < gate_count; ++gate)
            perform(gate, gates_[gate]->on_tick(now_));
        add(now_ + tick_interval, event::kind::tick);
    }
    now_ = phase_end_;
    return std::move(figures_);
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

/// Returns the share of the fleet's slot time that a rank got in its worst
/// window.
double worst_share(const phase_figures& phase, std::size_t rank)
{
    const auto& served = phase.ranks.at(rank).served;
    return support::to_ms(*std::min_element(served.begin(), served.end())) /
           (gate_count * slots * support::to_ms(share_window));
}

/// Returns the share of a rank in the calls answered before their deadline.
double call_share(const phase_figures& phase, std::size_t rank)
{
    return static_cast<double>(phase.ranks.at(rank).answered) /
           static_cast<double>(phase.answered_in_time);
}

double goodput(const phase_figures& phase)
{
    return static_cast<double>(phase.answered_in_time) /
           (capacity_per_s * static_cast<double>(phase_duration.count()) /
            1000);
}

void print(const char* name,
           double value,
           const char* unit,
           double target,
           bool less_is_better)
{
    const bool met = less_is_better ? value <= target : value >= target;
    std::cout << nlohmann::json{{"name", name},
                                {"value", value},
                                {"unit", unit},
                                {"target", target},
                                {"better", less_is_better ? "less" : "more"},
                                {"met", met}}
                     .dump()
              << "\n";
}

} // namespace galenarudder::bench

int main(int argc, char** argv)
{
    using namespace galenarudder::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fleet flooded_fleet(FLAGS_seed);
    flooded_fleet.run(quiet);
    const phase_figures before = flooded_fleet.run(quiet);
    const phase_figures during = flooded_fleet.run(bulk_flood);
    const phase_figures both = flooded_fleet.run(both_floods);
    const double p99_before = percentile(before.ranks[urgent].latency_ms, 0.99);
    const double p99_during = percentile(during.ranks[urgent].latency_ms, 0.99);
    print("flood.urgent_p99_ratio_bulk_flood", p99_during / p99_before, "ratio",
          1.25, true);
    print("flood.urgent_refused_bulk_flood",
          static_cast<double>(during.ranks[urgent].refused), "calls", 0, true);
    print("flood.normal_worst_share_bulk_flood", worst_share(during, normal),
          "share", 0.10, false);
    print("flood.normal_worst_share_both_floods", worst_share(both, normal),
          "share", 0.10, false);
    print("flood.bulk_worst_share_both_floods", worst_share(both, bulk),
          "share", 0.05, false);
    print("flood.normal_calls_share_both_floods", call_share(both, normal),
          "share", 0.10, false);
    print("flood.bulk_calls_share_both_floods", call_share(both, bulk), "share",
          0.05, false);
    print("flood.goodput_bulk_flood", goodput(during), "share", 0.9, false);
    print("flood.goodput_both_floods", goodput(both), "share", 0.9, false);
    return 0;
}
