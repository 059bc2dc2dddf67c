// Latency of single picks among 100 candidates, while reports and results
// come in on another thread.
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
/// Pause between two calls of the other thread, which makes about 20,000
/// calls a second.
constexpr std::chrono::microseconds other_pause{50};

void fill(routing::router& router)
{
    config::configuration in_force = config::default_configuration();
    in_force.limits.at(static_cast<std::size_t>(config::limit::subset_size)) =
        candidates;
    router.on_configuration(in_force);
    for (int number = 0; number < candidates; ++number) {
        membership::member_record record;
        record.id = "reservas-" + std::to_string(number);
        record.state = membership::member_state::alive;
        record.domain = number % 2 == 0 ? "bilbao" : "oviedo";
        record.service = "reservas";
        record.slots = 9;
        router.on_record(record, support::monotonic_clock::now());
    }
}

void keep_busy(const routing::router& router, const std::atomic<bool>& stop)
{
    support::random_engine random(2);
    support::load_report report{3, 1, 9, 10, {0, 1, 1}, 0, 5};
    while (!stop) {
        const support::time_point now = support::monotonic_clock::now();
        const auto chosen = router.pick({"reservas", 1, {}}, now, random);
        router.on_sent(*chosen, now);
        router.on_report(*chosen, report, support::milliseconds(5), now);
        router.on_ended(*chosen, routing::attempt_result::answered, now);
        std::this_thread::sleep_for(other_pause);
    }
}

std::vector<double> measure(const routing::router& router)
{
    support::random_engine random(1);
    std::vector<double> taken;
    taken.reserve(picks);
    for (std::size_t count = 0; count < picks; ++count) {
        const support::time_point begin = support::monotonic_clock::now();
        const auto chosen = router.pick({"reservas", 1, {}}, begin, random);
        const support::time_point end = support::monotonic_clock::now();
        if (chosen)
            taken.push_back(static_cast<double>((end - begin).count()));
    }
    std::sort(taken.begin(), taken.end());
    return taken;
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
    fill(router);
    std::atomic<bool> stop{false};
    std::thread busy([&] { keep_busy(router, stop); });
    const std::vector<double> taken = measure(router);
    stop = true;
    busy.join();
    const auto at = [&](double share) {
        return taken[static_cast<std::size_t>(share * (picks - 1))];
    };
    print("pick.p50_ns_100_candidates", at(0.50), target_ns);
    print("pick.p99_ns_100_candidates", at(0.99), target_ns);
    return 0;
}
