// Floods three gates on a virtual clock: 10 times what the fleet can take of
// the least urgent rank, then 3 times of the most urgent. Prints what each
// rank kept.
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
constexpr support::milliseconds phase_span{20'000};
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
    /// Slot time of the calls that ended in time, by window.
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
    kind what{};
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
    time_point arrived;
    duration service{};
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed) : random_(seed)
    {
        const config::configuration in_force = config::default_configuration();
        for (std::size_t number = 0; number < gate_count; ++number) {
            gates_.push_back(std::make_unique<admission::gate>(in_force));
            gates_.back()->on_upstream_announced(slots, now_);
        }
        add(now_, event::kind::tick);
    }

    phase_figures run(const load& offered);

private:
    void add(time_point at,
             event::kind what,
             std::size_t rank = 0,
             std::size_t gate = 0,
             support::attempt_id id = {})
    {
        events_.push({at, ++last_order_, what, rank, gate, id});
    }
    double draw(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(random_);
    }
    void add_arrival(std::size_t rank);
    void arrive(const event& what);
    void end(const event& what);
    void perform(std::size_t gate,
                 const std::vector<admission::action>& actions);
    std::size_t pick();

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    time_point phase_begun_;
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
    const double gap_ms = draw(1000 / (offered_.at(rank) * capacity_per_s));
    const time_point at = now_ + support::from_ms(gap_ms);
    if (at < phase_end_)
        add(at, event::kind::arrival, rank);
}

/// The less loaded of two gates, as an entry would choose.
std::size_t fleet::pick()
{
    const std::size_t one = random_() % gate_count;
    const std::size_t other = random_() % gate_count;
    const auto load_of = [&](std::size_t gate) {
        const support::load_report report = gates_[gate]->report(now_);
        return report.running + report.waiting;
    };
    return load_of(one) <= load_of(other) ? one : other;
}

void fleet::arrive(const event& what)
{
    add_arrival(what.rank);
    ++figures_.ranks.at(what.rank).offered;
    const std::size_t gate = pick();
    admission::attempt arrived;
    arrived.key.id = static_cast<support::attempt_id>(++last_id_);
    arrived.rank = rank_names.at(what.rank);
    arrived.deadline = now_ + support::from_ms(deadline_ms.at(what.rank));
    open_[{gate, arrived.key.id}] = {what.rank, now_,
                                     support::from_ms(draw(service_ms))};
    perform(gate, gates_[gate]->offer(arrived, now_));
}

void fleet::end(const event& what)
{
    const auto found = open_.find({what.gate, what.id});
    const open_call done = found->second;
    open_.erase(found);
    const double latency_ms = support::to_ms(now_ - done.arrived);
    rank_figures& figures = figures_.ranks.at(done.rank);
    figures.latency_ms.push_back(latency_ms);
    const auto window =
        static_cast<std::size_t>((now_ - phase_begun_) / share_window);
    if (latency_ms <= deadline_ms.at(done.rank) &&
        window < figures.served.size()) {
        figures.served[window] += done.service;
        ++figures.answered;
        ++figures_.answered_in_time;
    }
    perform(what.gate, gates_[what.gate]->on_ended(
                           {0, what.id}, admission::run_result::answered,
                           done.service, now_));
}

void fleet::perform(std::size_t gate,
                    const std::vector<admission::action>& actions)
{
    for (const admission::action& next : actions) {
        if (const auto* begun = std::get_if<admission::start>(&next)) {
            const open_call& call = open_.at({gate, begun->key.id});
            add(now_ + call.service, event::kind::end, call.rank, gate,
                begun->key.id);
        }
        if (const auto* refused = std::get_if<admission::refuse>(&next)) {
            const auto found = open_.find({gate, refused->key.id});
            ++figures_.ranks.at(found->second.rank).refused;
            open_.erase(found);
        }
    }
}

phase_figures fleet::run(const load& offered)
{
    offered_ = offered;
    phase_begun_ = now_;
    phase_end_ = now_ + phase_span;
    figures_ = {};
    for (rank_figures& rank : figures_.ranks)
        rank.served.resize(static_cast<std::size_t>(phase_span / share_window));
    for (std::size_t rank = 0; rank < offered.size(); ++rank)
        add_arrival(rank);
    while (events_.top().at < phase_end_) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        if (next.what == event::kind::arrival)
            arrive(next);
        if (next.what == event::kind::end)
            end(next);
        if (next.what != event::kind::tick)
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
    const auto at = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

/// Share of the fleet's slot time that a rank got in its worst window.
double worst_share(const phase_figures& phase, std::size_t rank)
{
    const auto& served = phase.ranks.at(rank).served;
    return support::to_ms(*std::min_element(served.begin(), served.end())) /
           (gate_count * slots * support::to_ms(share_window));
}

/// Share of the calls answered in time that were of a rank.
double call_share(const phase_figures& phase, std::size_t rank)
{
    return static_cast<double>(phase.ranks.at(rank).answered) /
           static_cast<double>(phase.answered_in_time);
}

double goodput(const phase_figures& phase)
{
    return static_cast<double>(phase.answered_in_time) /
           (capacity_per_s * static_cast<double>(phase_span.count()) / 1000);
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
    fleet flooded(FLAGS_seed);
    flooded.run(quiet);
    const phase_figures before = flooded.run(quiet);
    const phase_figures during = flooded.run(bulk_flood);
    const phase_figures both = flooded.run(both_floods);
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
