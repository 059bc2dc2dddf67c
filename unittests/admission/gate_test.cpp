// Decisions of the gate: start, refuse, displace, cancel, drain.
#include "galenarudder/admission/gate.hpp"

#include "galenarudder/telemetry/decision_log.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::admission {

namespace {

using config::automation;
using config::automation_mode;
using config::limit;
using support::refusal_kind;
using support::run_outcome;

constexpr support::milliseconds far_deadline{10'000};

/// A gate with an upstream and a clock that the test moves.
struct gate_at_work
{
    explicit gate_at_work(
        std::uint32_t slots,
        config::configuration in_force = config::default_configuration())
        : under_test(in_force)
    {
        under_test.set_decision_log(decisions);
        under_test.on_upstream(slots, now);
    }

    std::vector<action> offer(std::uint64_t id,
                              const std::string& rank,
                              support::duration left = far_deadline,
                              bool repeatable = false)
    {
        attempt arrived;
        arrived.key = key(id);
        arrived.rank = rank;
        arrived.deadline = now + left;
        arrived.repeatable = repeatable;
        return under_test.offer(arrived, now);
    }

    std::vector<action> end(std::uint64_t id,
                            double service_ms,
                            run_result how = run_result::answered)
    {
        return under_test.on_ended(key(id), how, support::from_ms(service_ms),
                                   now);
    }

    static attempt_key key(std::uint64_t id)
    {
        return {id < 100 ? 1U : 2U, static_cast<support::call_id>(id)};
    }

    telemetry::decision_log decisions;
    gate under_test;
    support::time_point now{std::chrono::hours(1)};
};

/// The actions as text, "start 1" or "refuse 2 overloaded".
std::vector<std::string> describe(const std::vector<action>& actions)
{
    struct describer
    {
        std::string operator()(const start& what) const
        {
            return "start " + id(what.key);
        }
        std::string operator()(const refuse& what) const
        {
            REQUIRE(what.why.outcome == run_outcome::not_run);
            return "refuse " + id(what.key) + " " +
                   std::string(to_string(what.why.kind));
        }
        std::string operator()(const abort_running& what) const
        {
            return "abort " + id(what.key);
        }
        static std::string id(const attempt_key& key)
        {
            return std::to_string(static_cast<std::uint64_t>(key.id));
        }
    };
    std::vector<std::string> texts;
    for (const action& each : actions)
        texts.push_back(std::visit(describer(), each));
    return texts;
}

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("calls start up to the limit; the most urgent waiting one is next")
{
    gate_at_work gate(2);
    CHECK(describe(gate.offer(1, "urgent")) == texts{"start 1"});
    CHECK(describe(gate.offer(2, "bulk")) == texts{"start 2"});
    CHECK(gate.offer(3, "bulk").empty());
    CHECK(gate.offer(4, "urgent").empty());
    CHECK(describe(gate.end(2, 4)) == texts{"start 4"});
    const support::load_report load = gate.under_test.report(gate.now);
    CHECK(load.running == 2);
    CHECK(load.waiting == 1);
    CHECK(load.limit == 2);
    CHECK(load.service_ms == 4);
    CHECK(load.waiting_by_rank == std::vector<std::uint32_t>{0, 0, 1});
}

TEST_CASE("a held slot is for the top rank only")
{
    gate_at_work gate(3);
    CHECK(gate.offer(1, "bulk").size() == 1);
    CHECK(gate.offer(2, "bulk").size() == 1);
    CHECK(gate.offer(3, "bulk").empty());
    CHECK(describe(gate.offer(4, "urgent")) == texts{"start 4"});
    CHECK(gate.end(4, 1).empty());
    CHECK(describe(gate.end(1, 1)) == texts{"start 3"});
}

TEST_CASE("a single slot serves every rank though one slot is held")
{
    gate_at_work gate(1);
    CHECK(describe(gate.offer(1, "bulk")) == texts{"start 1"});
}

TEST_CASE("a call that cannot meet its deadline is refused at once")
{
    struct row
    {
        std::string rank;
        double left_ms;
        bool refused;
    };
    // One slot runs, three bulk calls wait, each takes 10 ms.
    const auto& [rank, left_ms, refused] = GENERATE(values<row>({
        {"bulk", 45, true},
        {"bulk", 60, false},
        {"urgent", 15, true},
        {"urgent", 25, false},
    }));
    CAPTURE(rank, left_ms);
    gate_at_work gate(1);
    gate.offer(1, "bulk");
    gate.end(1, 10);
    for (std::uint64_t id = 2; id <= 5; ++id)
        gate.offer(id, "bulk");
    const auto actions = gate.offer(6, rank, support::from_ms(left_ms));
    CHECK(describe(actions) ==
          (refused ? texts{"refuse 6 deadline-exceeded"} : texts{}));
    if (refused)
        CHECK(std::get<refuse>(actions[0]).why.retry_after.count() > 0);
}

TEST_CASE("an idle gate lets a call through whatever its estimate says")
{
    gate_at_work gate(1);
    gate.offer(1, "bulk");
    gate.end(1, 5000);
    CHECK(describe(gate.offer(2, "bulk", support::milliseconds(10))) ==
          texts{"start 2"});
}

TEST_CASE("in mode observe a late call is counted and not refused")
{
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(automation::shed)) =
        automation_mode::observe;
    gate_at_work gate(1, in_force);
    gate.offer(1, "bulk");
    gate.end(1, 10);
    gate.offer(2, "bulk");
    CHECK(gate.offer(3, "bulk", support::milliseconds(5)).empty());
    CHECK(gate.under_test.counts().observed == 1);
    gate.now += support::milliseconds(1000);
    CHECK(describe(gate.under_test.on_tick(gate.now)) ==
          texts{"refuse 3 deadline-exceeded"});
    CHECK(gate.decisions.count(automation::shed,
                               telemetry::decision_effect::observed) == 1);
}

TEST_CASE("nothing starts after its deadline, however late the gate wakes")
{
    gate_at_work gate(1);
    gate.offer(1, "bulk");
    gate.offer(2, "urgent", support::milliseconds(100));
    gate.now += std::chrono::minutes(1);
    CHECK(describe(gate.end(1, 1)) == texts{"refuse 2 deadline-exceeded"});
    CHECK(describe(gate.offer(3, "urgent", support::milliseconds(0))) ==
          texts{"refuse 3 deadline-exceeded"});
}

TEST_CASE("a full queue drops the least urgent newest waiting call")
{
    config::configuration in_force = config::default_configuration();
    in_force.limits.at(static_cast<std::size_t>(limit::queue_length)) = 2;
    gate_at_work gate(1, in_force);
    gate.offer(1, "bulk");
    gate.offer(2, "bulk");
    gate.offer(3, "bulk");
    CHECK(describe(gate.offer(4, "bulk")) == texts{"refuse 4 overloaded"});
    CHECK(describe(gate.offer(5, "urgent")) == texts{"refuse 3 overloaded"});
    CHECK(gate.under_test.busy());
    CHECK(gate.under_test.counts().refused_overload == 2);
}

TEST_CASE("cancel refuses a waiting call and aborts only a repeatable one")
{
    gate_at_work gate(2);
    gate.offer(1, "urgent", far_deadline, true);
    gate.offer(2, "urgent", far_deadline, false);
    gate.offer(3, "urgent");
    CHECK(describe(gate.under_test.cancel(gate.key(1), gate.now)) ==
          texts{"abort 1"});
    CHECK(gate.under_test.cancel(gate.key(2), gate.now).empty());
    CHECK(describe(gate.under_test.cancel(gate.key(3), gate.now)) ==
          texts{"refuse 3 canceled"});
    CHECK(gate.under_test.cancel(gate.key(9), gate.now).empty());
}

TEST_CASE("a closed link drops its waiting calls, which never start")
{
    gate_at_work gate(2);
    gate.offer(1, "urgent", far_deadline, true);
    gate.offer(100, "urgent", far_deadline, true);
    gate.offer(2, "urgent");
    gate.offer(101, "urgent");
    CHECK(describe(gate.under_test.on_link_closed(1, gate.now)) ==
          texts{"refuse 2 canceled", "abort 1"});
    CHECK(describe(gate.end(1, 1, run_result::failed)) == texts{"start 101"});
}

TEST_CASE("a drain refuses waiting and new work and lets running work end")
{
    gate_at_work gate(1);
    gate.offer(1, "urgent");
    gate.offer(2, "urgent");
    CHECK(describe(gate.under_test.drain(gate.now)) ==
          texts{"refuse 2 draining"});
    CHECK(describe(gate.offer(3, "urgent")) == texts{"refuse 3 draining"});
    CHECK(gate.under_test.busy());
    CHECK(gate.end(1, 1).empty());
    CHECK_FALSE(gate.under_test.busy());
}

TEST_CASE("an upstream that left is refused to waiting and new calls")
{
    gate_at_work gate(1);
    gate.offer(1, "urgent");
    gate.offer(2, "urgent");
    CHECK(describe(gate.under_test.on_upstream_gone(gate.now)) ==
          texts{"refuse 2 no-upstream"});
    CHECK(describe(gate.offer(3, "urgent")) == texts{"refuse 3 no-upstream"});
    gate.end(1, 1);
    gate.now += support::milliseconds(500);
    gate.under_test.on_upstream(2, gate.now);
    gate.now += support::milliseconds(30);
    CHECK(gate.under_test.report(gate.now).age_ms == 30);
    CHECK(describe(gate.offer(4, "urgent")) == texts{"start 4"});
}

TEST_CASE("ranks may change while calls wait")
{
    gate_at_work gate(1);
    gate.offer(1, "urgent");
    gate.offer(2, "urgent");
    gate.offer(3, "bulk");
    config::configuration changed = config::default_configuration();
    changed.ranks = {{"bulk", 0, 0}};
    gate.under_test.on_configuration(changed, gate.now);
    CHECK(describe(gate.end(1, 1)) == texts{"start 3"});
    CHECK(describe(gate.end(3, 1)) == texts{"start 2"});
    CHECK(gate.end(2, 1).empty());
    CHECK(gate.under_test.report(gate.now).running == 0);
}

} // namespace galenarudder::admission
