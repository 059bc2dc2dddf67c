// Picks during membership changes, failures and drains and in each automation
// mode.
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
        for (int index = 0; index < count; ++index) {
            router.on_record(
                upstream(domain + "-" + std::to_string(index), domain), start);
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

    void fail_attempts(const choice& chosen, int times, time_point now)
    {
        for (int count = 0; count < times; ++count) {
            router.on_sent(chosen, now);
            router.on_ended(chosen, attempt_result::failed, now);
        }
    }

    std::map<std::string, int> pick_counts(int picks, time_point now)
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

void set_strategy(fixture& env, const std::string& name)
{
    config::configuration in_force = config::default_configuration();
    in_force.services.push_back({"reservas", {}, name});
    env.router.on_configuration(in_force);
}

} // namespace

TEST_CASE("every strategy picks among the untried candidates", "[routing]")
{
    const auto name =
        GENERATE(as<std::string>(), "expected_completion", "random",
                 "round_robin", "least_outstanding", "power_of_two");
    fixture env;
    set_strategy(env, name);
    CHECK_FALSE(env.pick(start));
    env.add(3);
    CHECK(env.pick_counts(200, start).size() == 3);
    CHECK(env.pick(start, {"bilbao-0", "bilbao-2"})->member == "bilbao-1");
    CHECK_FALSE(env.pick(start, {"bilbao-0", "bilbao-1", "bilbao-2"}));
}

TEST_CASE("upstreams of emptied domains are not picked", "[routing]")
{
    fixture env;
    env.add(3, "bilbao");
    env.add(2, "vigo");
    env.router.set_emptied_domains({"bilbao"});
    CHECK(env.pick_counts(200, start).size() == 2);
    // A member that announces itself meanwhile is not picked either.
    env.router.on_record(upstream("bilbao-7"), start);
    CHECK_FALSE(env.pick(start, {"vigo-0", "vigo-1"}));
    env.router.set_emptied_domains({"bilbao", "vigo"});
    CHECK_FALSE(env.pick(start));
    env.router.set_emptied_domains({});
    CHECK(env.pick(start)->member.starts_with("bilbao"));
}

TEST_CASE("a domain whose upstreams are all cold sends calls elsewhere",
          "[routing]")
{
    fixture env;
    env.add(3, "bilbao");
    env.add(3, "vigo");
    support::load_report cold;
    cold.limit = 1;
    cold.service_ms = 20;
    cold.start_delay_ms = 800;
    support::load_report warm;
    warm.limit = 9;
    warm.service_ms = 20;
    for (int round = 0; round < 60; ++round) {
        const auto chosen = env.pick(start);
        env.router.on_sent(*chosen, start);
        env.router.on_report(*chosen,
                             chosen->member.starts_with("bilbao") ? cold : warm,
                             milliseconds(3), start);
        env.router.on_ended(*chosen, attempt_result::refused, start);
    }
    // In mode automatic, calls leave the domain for a warm one.
    int stayed = 0;
    for (const auto& [member, count] : env.pick_counts(200, start))
        stayed += member.starts_with("bilbao") ? count : 0;
    CHECK(stayed < 20);
}

TEST_CASE("members that serve no calls are not picked", "[routing]")
{
    const auto state = GENERATE(member_state::draining, member_state::left,
                                member_state::dead);
    fixture env;
    env.add(2);
    auto record = upstream("bilbao-0");
    record.state = state;
    env.router.on_record(record, start);
    CHECK(env.pick_counts(50, start).count("bilbao-0") == 0);
    record.state = member_state::alive;
    record.incarnation = 1;
    env.router.on_record(record, start);
    CHECK(env.pick_counts(50, start).count("bilbao-0") == 1);
}

TEST_CASE("repeated failures eject an upstream temporarily", "[routing]")
{
    fixture env;
    env.add(4);
    const choice failing = env.pick_member("bilbao-1", start);
    env.fail_attempts(failing, 3, start);
    CHECK(env.pick_counts(200, start).count("bilbao-1") == 0);
    CHECK(env.decisions.count(automation::eject,
                              telemetry::decision_effect::acted) == 1);
    CHECK(env.pick_counts(200, start + milliseconds(1999)).count("bilbao-1") ==
          0);
    // After the ejection slow start applies: the others are preferred until
    // their load is higher.
    const time_point later = start + milliseconds(7000);
    std::map<std::string, int> sent;
    for (int call = 0; call < 60; ++call) {
        const auto chosen = env.pick(later);
        env.router.on_sent(*chosen, later);
        ++sent[chosen->member];
    }
    CHECK(sent["bilbao-1"] > 0);
    CHECK(sent["bilbao-1"] < sent["bilbao-0"]);
}

TEST_CASE("the share of ejected upstreams is limited", "[routing]")
{
    fixture env;
    env.add(4);
    for (const char* member : {"bilbao-0", "bilbao-1", "bilbao-2"}) {
        choice failing = env.pick_member(member, start);
        env.fail_attempts(failing, 3, start);
    }
    CHECK(env.decisions.count(automation::eject,
                              telemetry::decision_effect::acted) == 2);
    CHECK(env.decisions.count(automation::eject,
                              telemetry::decision_effect::limited) == 1);
}

TEST_CASE("in observe mode ejections are recorded and not carried out",
          "[routing]")
{
    fixture env;
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(automation::eject)) =
        automation_mode::observe;
    in_force.services.push_back({"reservas", {}, "random"});
    env.router.on_configuration(in_force);
    env.add(3);
    env.fail_attempts(env.pick_member("bilbao-1", start), 9, start);
    CHECK(env.pick_counts(200, start).count("bilbao-1") == 1);
    CHECK(env.decisions.count(automation::eject,
                              telemetry::decision_effect::observed) == 3);
}

TEST_CASE("an excluded upstream is picked when all are excluded", "[routing]")
{
    fixture env;
    env.add(2);
    env.fail_attempts(env.pick_member("bilbao-0", start), 3, start);
    CHECK(env.pick(start, {"bilbao-1"})->member == "bilbao-0");
    env.router.on_gate_draining("bilbao-0", start);
    env.router.on_gate_draining("bilbao-1", start);
    CHECK(env.pick(start));
}

TEST_CASE("a draining upstream is excluded at once and for a limited time",
          "[routing]")
{
    fixture env;
    env.add(2);
    env.router.on_gate_draining("bilbao-0", start);
    CHECK(env.pick_counts(100, start).count("bilbao-0") == 0);
    CHECK(env.pick_counts(100, start + milliseconds(6000)).count("bilbao-0") ==
          1);
}

TEST_CASE("the mode of automation reroute limits calls to other domains",
          "[routing]")
{
    struct row
    {
        automation_mode mode;
        bool local_draining;
        bool leaves_domain;
    };
    const auto test_case =
        GENERATE(row{automation_mode::automatic, false, true},
                 row{automation_mode::bounded, false, false},
                 row{automation_mode::bounded, true, true},
                 row{automation_mode::observe, true, false});
    fixture env;
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(automation::reroute)) =
        test_case.mode;
    in_force.services.push_back({"reservas", {}, "random"});
    env.router.on_configuration(in_force);
    env.add(1, "bilbao");
    env.add(2, "oviedo");
    if (test_case.local_draining)
        env.router.on_gate_draining("bilbao-0", start);
    const auto counts = env.pick_counts(100, start);
    const bool left_domain =
        counts.count("oviedo-0") + counts.count("oviedo-1") > 0;
    CHECK(left_domain == test_case.leaves_domain);
}

TEST_CASE("the round-trip time of links excludes time spent at the gate",
          "[routing]")
{
    fixture env;
    env.add(1, "bilbao");
    env.add(1, "oviedo");
    support::load_report report;
    report.limit = 9;
    report.service_ms = 100;
    const choice near_choice = env.pick_member("bilbao-0", start);
    const choice far_choice = env.pick_member("oviedo-0", start);
    // The near gate refuses at once, the far one answers after 100 ms.
    env.router.on_report(near_choice, report, milliseconds(1), start);
    report.time_at_gate_ms = 100;
    env.router.on_report(far_choice, report, milliseconds(111), start);
    CHECK(near_choice.state->link->floor_ms == Approx(1));
    CHECK(far_choice.state->link->floor_ms == Approx(11));
}

TEST_CASE("entries divide the limit of the fleet for saved extra attempts",
          "[routing]")
{
    struct row
    {
        int upstreams;
        double fleet_attempts;
        double attempts_per_entry;
    };
    const auto test_case =
        GENERATE(row{14, 56, 2}, row{2, 56, 10}, row{100, 56, 1},
                 row{14, 0, extra_attempt_budget::max_burst});
    fixture env;
    env.router.set_fleet_saved_extra_attempts(test_case.fleet_attempts);
    env.add(test_case.upstreams);
    const routing_limits limits = env.router.limits();
    CHECK(limits.saved_extra_attempts == Approx(test_case.attempts_per_entry));
    extra_attempt_budget tokens;
    for (int call = 0; call < 1000; ++call)
        tokens.deposit(0.1, limits.saved_extra_attempts);
    int taken = 0;
    while (tokens.try_take())
        ++taken;
    CHECK(taken == static_cast<int>(test_case.attempts_per_entry));
}

TEST_CASE("a subset of a large service covers all domains", "[routing]")
{
    fixture env;
    set_strategy(env, "random");
    for (const char* domain : {"bilbao", "oviedo", "santander"})
        env.add(40, domain);
    const auto counts = env.pick_counts(3000, start);
    CHECK(counts.size() == 24);
    std::map<std::string, int> by_domain;
    for (const auto& [member, picks] : counts)
        ++by_domain[member.substr(0, member.find('-'))];
    for (const auto& [domain, members] : by_domain)
        CHECK(members == 8);
}

TEST_CASE("picks and results are safe during membership changes", "[routing]")
{
    fixture env;
    env.add(8);
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int index = 0; index < 3; ++index) {
        threads.emplace_back([&, index] {
            support::random_engine random(static_cast<unsigned>(index));
            support::load_report report;
            report.limit = 9;
            while (!stop) {
                const auto chosen =
                    env.router.pick({"reservas", 1, {}}, start, random);
                if (!chosen)
                    continue;
                env.router.on_sent(*chosen, start);
                env.router.on_report(*chosen, report, milliseconds(1), start);
                env.router.on_ended(*chosen, attempt_result::failed, start);
            }
        });
    }
    for (unsigned round = 1; round <= 200; ++round) {
        auto record = upstream("bilbao-" + std::to_string(round % 8));
        record.incarnation = round;
        record.state =
            round % 3 == 0 ? member_state::dead : member_state::alive;
        env.router.on_record(record, start);
    }
    stop = true;
    for (std::thread& thread : threads)
        thread.join();
    CHECK(env.pick(start));
}
