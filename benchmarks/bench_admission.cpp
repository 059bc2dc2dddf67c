// Measures the time that the gate takes for a decision under overload, and the
// share of the upstream's time that probes take with few and with many entries.
#include "galenarudder/admission/gate.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <random>

DEFINE_uint64(seed, 7, "seed of arrivals and probe costs");

namespace galenarudder::bench {

using support::duration;
using support::time_point;

constexpr std::uint32_t slots = 9;
constexpr double service_ms = 4;
constexpr int decisions = 200'000;
/// Bound of the added latency for 99 in 100 calls.
constexpr double added_latency_us = 2'000;
constexpr double probe_ms = 6;
constexpr double slow_probe_ms = 90;
constexpr double probe_budget_share = 0.01;
constexpr support::milliseconds probe_run_duration{600'000};
constexpr support::milliseconds tick_interval{5};
/// Mean time between two calls of one entry.
constexpr double entry_call_interval_ms = 30'000;

void print(const std::string& name,
           double value,
           const char* unit,
           double target)
{
    std::cout << nlohmann::json{{"name", name},     {"value", value},
                                {"unit", unit},     {"target", target},
                                {"better", "less"}, {"met", value <= target}}
                     .dump()
              << "\n";
}

admission::attempt
make_call(std::uint64_t id, time_point now, std::uint64_t organisations)
{
    static constexpr const char* ranks[] = {"urgent", "normal", "bulk"};
    admission::attempt call;
    call.key.id = static_cast<support::attempt_id>(id);
    call.rank = ranks[id % 3];
    call.deadline = now + std::chrono::seconds(10);
    if (organisations != 0)
        call.organisation =
            "organisation-" + std::to_string(id * 7919 % organisations);
    return call;
}

/// Returns the p99 duration of an offer while the queue is full of calls of
/// \p organisations organisations. After every tenth offer a running call ends.
double offer_p99_us(std::uint64_t organisations)
{
    admission::gate gate(config::default_configuration());
    time_point now{std::chrono::hours(1)};
    gate.on_upstream_announced(slots, now);
    std::deque<admission::attempt_key> running;
    std::vector<double> latencies_us;
    latencies_us.reserve(decisions);
    for (int index = 0; index < decisions; ++index) {
        now += std::chrono::microseconds(20);
        const auto call =
            make_call(static_cast<std::uint64_t>(index), now, organisations);
        const auto offer_start = support::monotonic_clock::now();
        const auto actions = gate.offer(call, now);
        const duration latency = support::monotonic_clock::now() - offer_start;
        latencies_us.push_back(support::to_ms(latency) * 1000);
        for (const auto& action : actions) {
            if (const auto* started = std::get_if<admission::start>(&action))
                running.push_back(started->key);
        }
        if (index % 10 != 0 || running.empty())
            continue;
        const auto key = running.front();
        running.pop_front();
        for (const auto& action :
             gate.on_ended(key, admission::run_result::answered,
                           support::from_ms(service_ms), now)) {
            if (const auto* started = std::get_if<admission::start>(&action))
                running.push_back(started->key);
        }
    }
    std::sort(latencies_us.begin(), latencies_us.end());
    return latencies_us[latencies_us.size() * 99 / 100];
}

struct probe_span
{
    time_point from;
    time_point to;
};

/// Returns the largest share of any window that probes took.
double worst_window_share(const std::vector<probe_span>& probes)
{
    const auto window = admission::probe_budget::window;
    duration worst{};
    for (const probe_span& last : probes) {
        duration sum{};
        for (const probe_span& probe : probes) {
            const time_point from = std::max(probe.from, last.to - window);
            const time_point to = std::min(probe.to, last.to);
            sum += std::max(duration(0), to - from);
        }
        worst = std::max(worst, sum);
    }
    return support::to_ms(worst) / support::to_ms(window);
}

/// Runs one gate with calls from \p entries entries; a tenth of the probes are
/// slow. Returns the largest share of a window that probes took and sets
/// \p probe_count to the number of probes.
double probe_share(std::size_t entries, std::uint64_t& probe_count)
{
    std::mt19937_64 random(FLAGS_seed);
    admission::gate gate(config::default_configuration());
    time_point now{std::chrono::hours(1)};
    gate.on_upstream_announced(slots, now);
    std::exponential_distribution<double> call_interval_ms(
        static_cast<double>(entries) / entry_call_interval_ms);
    std::vector<probe_span> probes;
    std::optional<probe_span> running_probe;
    bool answered = false;
    std::uint64_t last_id = 0;
    time_point next_call = now + support::from_ms(call_interval_ms(random));
    const time_point end = now + probe_run_duration;
    for (; now < end; now += tick_interval) {
        if (running_probe && now >= running_probe->to) {
            gate.on_probe_ended(answered, running_probe->to);
            probes.push_back(*running_probe);
            running_probe.reset();
        }
        while (next_call <= now) {
            const auto call = make_call(++last_id, now, 0);
            gate.offer(call, now);
            gate.on_ended(call.key, admission::run_result::answered,
                          support::from_ms(service_ms), now);
            next_call += support::from_ms(call_interval_ms(random));
        }
        const auto allowed = gate.start_probe(now);
        if (!allowed)
            continue;
        const duration probe_cost =
            support::from_ms(random() % 10 == 0 ? slow_probe_ms : probe_ms);
        answered = probe_cost <= *allowed;
        running_probe = {now, now + std::min(probe_cost, *allowed)};
    }
    probe_count = probes.size();
    return worst_window_share(probes);
}

} // namespace galenarudder::bench

int main(int argc, char** argv)
{
    using namespace galenarudder::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    print("admission.offer_p99", offer_p99_us(0), "us", added_latency_us);
    for (const std::uint64_t organisations : {1UL, 72UL, 10'000UL}) {
        print("admission.offer_p99_organisations_" +
                  std::to_string(organisations),
              offer_p99_us(organisations), "us", added_latency_us);
    }
    for (const std::size_t entries : {3UL, 300UL}) {
        std::uint64_t probe_count = 0;
        const double share = probe_share(entries, probe_count);
        print("probes.worst_window_share_" + std::to_string(entries) +
                  "_entries",
              share, "share", probe_budget_share);
        std::cerr << entries << " entries: " << probe_count << " probes in "
                  << probe_run_duration.count() / 1000 << " s\n";
    }
    return 0;
}
