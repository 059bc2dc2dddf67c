// Picks under membership changes, failures, drain and automation modes.
#include "galenarudder/routing/router.hpp"

#include "galenarudder/telemetry/decision_log.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace galenarudder;
using namespace galenarudder::routing;
using config::automation;
using config::automation_mode;
using membership::member_state;
using support::milliseconds;
using support::time_point;

namespace {

const time_point start{std::chrono::seconds(100)};

membership::member_record upstream(std::string id,
                                   std::string domain = "bilbao")
{
    membership::member_record record;
    record.id = std::move(id);
    record.state = member_state::alive;
    record.domain = std::move(domain);
    record.service = "reservas";
    record.slots = 9;
    return record;
}

struct fixture
{
    fixture() { router.set_decision_log(decisions); }

    void add(int count, const std::string& domain = "bilbao")
    {
        for (int number = 0; number < count; ++number) {
            router.on_record(
                upstream(domain + "-" + std::to_string(number), domain), start);
        }
    }

    std::optional<choice> pick(time_point now,
                               std::vector<support::member_id> tried = {})
    {
        return router.pick({"reservas", 0, tried}, now, random);
    }

    choice pick_member(const std::string& member, time_point now)
    {
        for (;;) {
            auto chosen = pick(now);
            if (chosen->member == member)
                return *chosen;
        }
    }

    void fail(const choice& chosen, int times, time_point now)
    {
        for (int count = 0; count < times; ++count) {
            router.on_sent(chosen, now);
            router.on_ended(chosen, attempt_result::failed, now);
        }
    }

    std::map<std::string, int> spread(int picks, time_point now)
    {
        std::map<std::string, int> counts;
        for (int count = 0; count < picks; ++count)
            ++counts[pick(now)->member];
        return counts;
    }

    support::random_engine random{7};
    telemetry::decision_log decisions;
    routing::router router{"bilbao", "entry-1"};
};

void set_strategy(fixture& given, const std::string& name)
{
    config::configuration in_force = config::default_configuration();
    in_force.services.push_back({"reservas", {}, name});
    given.router.on_configuration(in_force);
}

} // namespace

TEST_CASE("every strategy finds a candidate and skips tried ones", "[routing]")
{
    const auto name =
        GENERATE(as<std::string>(), "expected_completion", "random",
                 "round_robin", "least_outstanding", "power_of_two");
    fixture given;
    set_strategy(given, name);
    CHECK_FALSE(given.pick(start));
    given.add(3);
    CHECK(given.spread(200, start).size() == 3);
    CHECK(given.pick(start, {"bilbao-0", "bilbao-2"})->member == "bilbao-1");
    CHECK_FALSE(given.pick(start, {"bilbao-0", "bilbao-1", "bilbao-2"}));
}

TEST_CASE("members that do not serve are not picked", "[routing]")
{
    const auto state = GENERATE(member_state::draining, member_state::left,
                                member_state::dead);
    fixture given;
    given.add(2);
    auto record = upstream("bilbao-0");
    record.state = state;
    given.router.on_record(record, start);
    CHECK(given.spread(50, start).count("bilbao-0") == 0);
    record.state = member_state::alive;
    record.incarnation = 1;
    given.router.on_record(record, start);
    CHECK(given.spread(50, start).count("bilbao-0") == 1);
}

TEST_CASE("failures eject an upstream for a time", "[routing]")
{
    fixture given;
    given.add(4);
    const choice bad = given.pick_member("bilbao-1", start);
    given.fail(bad, 3, start);
    CHECK(given.spread(200, start).count("bilbao-1") == 0);
    CHECK(given.decisions.count(automation::eject,
                                telemetry::decision_effect::acted) == 1);
    CHECK(given.spread(200, start + milliseconds(1999)).count("bilbao-1") == 0);
    // Back by slow start: the others are preferred until they fill up.
    const time_point later = start + milliseconds(7000);
    std::map<std::string, int> sent;
    for (int call = 0; call < 60; ++call) {
        const auto chosen = given.pick(later);
        given.router.on_sent(*chosen, later);
        ++sent[chosen->member];
    }
    CHECK(sent["bilbao-1"] > 0);
    CHECK(sent["bilbao-1"] < sent["bilbao-0"]);
}

TEST_CASE("ejection stays within its largest share", "[routing]")
{
    fixture given;
    given.add(4);
    for (const char* member : {"bilbao-0", "bilbao-1", "bilbao-2"}) {
        choice bad = given.pick_member(member, start);
        given.fail(bad, 3, start);
    }
    CHECK(given.decisions.count(automation::eject,
                                telemetry::decision_effect::acted) == 2);
    CHECK(given.decisions.count(automation::eject,
                                telemetry::decision_effect::limited) == 1);
}

TEST_CASE("ejection in observe mode is only counted", "[routing]")
{
    fixture given;
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(automation::eject)) =
        automation_mode::observe;
    in_force.services.push_back({"reservas", {}, "random"});
    given.router.on_configuration(in_force);
    given.add(3);
    given.fail(given.pick_member("bilbao-1", start), 9, start);
    CHECK(given.spread(200, start).count("bilbao-1") == 1);
    CHECK(given.decisions.count(automation::eject,
                                telemetry::decision_effect::observed) == 3);
}

TEST_CASE("with every upstream out, one is picked all the same", "[routing]")
{
    fixture given;
    given.add(2);
    given.fail(given.pick_member("bilbao-0", start), 3, start);
    CHECK(given.pick(start, {"bilbao-1"})->member == "bilbao-0");
    given.router.on_leaving("bilbao-0", start);
    given.router.on_leaving("bilbao-1", start);
    CHECK(given.pick(start));
}

TEST_CASE("a drain notice acts at once and lapses", "[routing]")
{
    fixture given;
    given.add(2);
    given.router.on_leaving("bilbao-0", start);
    CHECK(given.spread(100, start).count("bilbao-0") == 0);
    CHECK(given.spread(100, start + milliseconds(6000)).count("bilbao-0") == 1);
}

TEST_CASE("modes of reroute bound calls to other domains", "[routing]")
{
    struct row
    {
        automation_mode mode;
        bool local_down;
        bool leaves;
    };
    const auto given_row =
        GENERATE(row{automation_mode::automatic, false, true},
                 row{automation_mode::bounded, false, false},
                 row{automation_mode::bounded, true, true},
                 row{automation_mode::observe, true, false});
    fixture given;
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(automation::reroute)) =
        given_row.mode;
    in_force.services.push_back({"reservas", {}, "random"});
    given.router.on_configuration(in_force);
    given.add(1, "bilbao");
    given.add(2, "oviedo");
    if (given_row.local_down)
        given.router.on_leaving("bilbao-0", start);
    const auto counts = given.spread(100, start);
    const bool left = counts.count("oviedo-0") + counts.count("oviedo-1") > 0;
    CHECK(left == given_row.leaves);
}

TEST_CASE("time at the gate is no delay of its link", "[routing]")
{
    fixture given;
    given.add(1, "bilbao");
    given.add(1, "oviedo");
    support::load_report report;
    report.limit = 9;
    report.service_ms = 100;
    const choice near = given.pick_member("bilbao-0", start);
    const choice far = given.pick_member("oviedo-0", start);
    // The near gate refuses at once, the far one answers after its work.
    given.router.on_report(near, report, milliseconds(1), start);
    report.held_ms = 100;
    given.router.on_report(far, report, milliseconds(111), start);
    CHECK(near.state->link->floor_ms == Approx(1));
    CHECK(far.state->link->floor_ms == Approx(11));
}

TEST_CASE("entries share what the fleet may save for extra attempts",
          "[routing]")
{
    struct row
    {
        int upstreams;
        double of_fleet;
        double saved;
    };
    const auto given_row =
        GENERATE(row{14, 56, 2}, row{2, 56, 10}, row{100, 56, 1},
                 row{14, 0, budget::max_burst});
    fixture given;
    given.router.set_saved_extra(given_row.of_fleet);
    given.add(given_row.upstreams);
    const routing_limits limits = given.router.limits();
    CHECK(limits.saved_extra == Approx(given_row.saved));
    budget tokens;
    for (int call = 0; call < 1000; ++call)
        tokens.deposit(0.1, limits.saved_extra);
    int taken = 0;
    while (tokens.take())
        ++taken;
    CHECK(taken == static_cast<int>(given_row.saved));
}

TEST_CASE("a large service is cut to a subset over all domains", "[routing]")
{
    fixture given;
    set_strategy(given, "random");
    for (const char* domain : {"bilbao", "oviedo", "santander"})
        given.add(40, domain);
    const auto counts = given.spread(3000, start);
    CHECK(counts.size() == 24);
    std::map<std::string, int> by_domain;
    for (const auto& [member, picks] : counts)
        ++by_domain[member.substr(0, member.find('-'))];
    for (const auto& [domain, members] : by_domain)
        CHECK(members == 8);
}

TEST_CASE("picks and results are safe beside changes", "[routing]")
{
    fixture given;
    given.add(8);
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int number = 0; number < 3; ++number) {
        threads.emplace_back([&, number] {
            support::random_engine random(static_cast<unsigned>(number));
            support::load_report report;
            report.limit = 9;
            while (!stop) {
                const auto chosen =
                    given.router.pick({"reservas", 1, {}}, start, random);
                if (!chosen)
                    continue;
                given.router.on_sent(*chosen, start);
                given.router.on_report(*chosen, report, milliseconds(1), start);
                given.router.on_ended(*chosen, attempt_result::failed, start);
            }
        });
    }
    for (unsigned round = 1; round <= 200; ++round) {
        auto record = upstream("bilbao-" + std::to_string(round % 8));
        record.incarnation = round;
        record.state =
            round % 3 == 0 ? member_state::dead : member_state::alive;
        given.router.on_record(record, start);
    }
    stop = true;
    for (std::thread& thread : threads)
        thread.join();
    CHECK(given.pick(start));
}
