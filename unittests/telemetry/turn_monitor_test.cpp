// What keeps the event loop is shown in the metrics.
#include "galenarudder/telemetry/turn_monitor.hpp"

#include "galenarudder/telemetry/metrics.hpp"

#include <catch2/catch.hpp>

#include <thread>

namespace galenarudder::telemetry {

using namespace std::chrono_literals;

TEST_CASE("the longest turn of each name is kept")
{
    turn_monitor monitor;
    CHECK(monitor.longest_turn("tick") == support::duration(0));
    {
        const turn_monitor::turn measured(monitor, "tick");
        std::this_thread::sleep_for(60ms);
    }
    {
        const turn_monitor::turn measured(monitor, "tick");
    }
    {
        const turn_monitor::turn measured(monitor, "datagram");
    }
    CHECK(monitor.longest_turn("tick") >= 60ms);
    CHECK(monitor.longest_turn("datagram") < monitor.longest_turn("tick"));
    metrics registry;
    monitor.collect(registry);
    const std::string text = registry.render();
    CHECK(text.find("loop_turns_total{turn=\"tick\"} 2") != std::string::npos);
    CHECK(text.find("loop_long_turns_total{turn=\"tick\"} 1") !=
          std::string::npos);
}

TEST_CASE("the longest delay of the loop's timer is kept")
{
    struct row
    {
        support::milliseconds delay;
        const char* long_delays;
    };
    const row rows[] = {{0ms, "0"}, {50ms, "0"}, {51ms, "1"}, {1700ms, "1"}};
    for (const row& test_case : rows) {
        INFO(test_case.delay.count());
        turn_monitor monitor;
        const support::time_point due(10s);
        monitor.on_timer(due, due + test_case.delay);
        monitor.on_timer(due + 2s, due + 2s);
        CHECK(monitor.longest_delay() == test_case.delay);
        metrics registry;
        monitor.collect(registry);
        CHECK(registry.render().find(
                  std::string("galenarudder_loop_delays_total ") +
                  test_case.long_delays) != std::string::npos);
    }
}

} // namespace galenarudder::telemetry
