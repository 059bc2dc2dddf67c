// Measures the latency of single picks among 100 candidates, while another
// thread records load reports and results.
#include "galenarudder/routing/router.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace galenarudder;

namespace {

constexpr int candidates = 100;
constexpr std::size_t picks = 400'000;
constexpr double target_ns = 1000;
/// Pause between two calls of the updating thread, which makes about 20,000
/// calls per second.
constexpr std::chrono::microseconds update_interval{50};

void add_candidates(routing::router& router)
{
    config::configuration in_force = config::default_configuration();
    in_force.limits.at(static_cast<std::size_t>(config::limit::subset_size)) =
        candidates;
    router.on_configuration(in_force);
    for (int index = 0; index < candidates; ++index) {
        membership::member_record record;
        record.id = "reservas-" + std::to_string(index);
        record.state = membership::member_state::alive;
        record.domain = index % 2 == 0 ? "bilbao" : "oviedo";
        record.service = "reservas";
        record.slots = 9;
        router.on_record(record, support::monotonic_clock::now());
    }
}

void update_until_stopped(const routing::router& router,
                          const std::atomic<bool>& stop)
{
    support::random_engine random(2);
    support::load_report report{3, 1, 9, 10, {0, 1, 1}, 0, 5};
    while (!stop) {
        const support::time_point now = support::monotonic_clock::now();
        const auto chosen = router.pick({"reservas", 1, {}}, now, random);
        router.on_sent(*chosen, now);
        router.on_report(*chosen, report, support::milliseconds(5), now);
        router.on_ended(*chosen, routing::attempt_result::answered, now);
        std::this_thread::sleep_for(update_interval);
    }
}

std::vector<double> measure(const routing::router& router)
{
    support::random_engine random(1);
    std::vector<double> latencies_ns;
    latencies_ns.reserve(picks);
    for (std::size_t index = 0; index < picks; ++index) {
        const support::time_point begin = support::monotonic_clock::now();
        const auto chosen = router.pick({"reservas", 1, {}}, begin, random);
        const support::time_point end = support::monotonic_clock::now();
        if (chosen)
            latencies_ns.push_back(static_cast<double>((end - begin).count()));
    }
    std::sort(latencies_ns.begin(), latencies_ns.end());
    return latencies_ns;
}

void print(const char* name, double value, double target)
{
    std::printf("{\"name\":\"%s\",\"value\":%.0f,\"unit\":\"ns\","
                "\"target\":%.0f,\"better\":\"less\",\"met\":%s}\n",
                name, value, target, value <= target ? "true" : "false");
}

} // namespace

int main()
{
    routing::router router("bilbao", "entry-1");
    add_candidates(router);
    std::atomic<bool> stop{false};
    std::thread updater([&] { update_until_stopped(router, stop); });
    const std::vector<double> latencies_ns = measure(router);
    stop = true;
    updater.join();
    const auto percentile_ns = [&](double fraction) {
        return latencies_ns[static_cast<std::size_t>(fraction * (picks - 1))];
    };
    print("pick.p50_ns_100_candidates", percentile_ns(0.50), target_ns);
    print("pick.p99_ns_100_candidates", percentile_ns(0.99), target_ns);
    return 0;
}
