// Decisions of the gate: start, refuse, displace, cancel and drain.
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

/// A gate with an upstream and a clock that the test advances.
struct gate_fixture
{
    explicit gate_fixture(
        std::uint32_t slots,
        config::configuration in_force = config::default_configuration())
        : under_test(in_force)
    {
        under_test.set_decision_log(decisions);
        under_test.on_upstream_announced(slots, now);
    }

    std::vector<action> offer(std::uint64_t id,
                              const std::string& rank,
                              support::duration time_left = far_deadline,
                              bool repeatable = false)
    {
        attempt call;
        call.key = key(id);
        call.rank = rank;
        call.deadline = now + time_left;
        call.repeatable = repeatable;
        return under_test.offer(call, now);
    }

    std::vector<action> end_call(std::uint64_t id,
                                 double service_ms,
                                 run_result result = run_result::answered)
    {
        return under_test.on_ended(key(id), result,
                                   support::from_ms(service_ms), now);
    }

    /// Ids from 100 arrive on link 2.
    static attempt_key key(std::uint64_t id)
    {
        return {id < 100 ? 1U : 2U, static_cast<support::attempt_id>(id)};
    }

    telemetry::decision_log decisions;
    gate under_test;
    support::time_point now{std::chrono::hours(1)};
};

/// Returns the actions as text, such as "start 1" or "refuse 2 overloaded".
std::vector<std::string> describe(const std::vector<action>& actions)
{
    struct describer
    {
        std::string operator()(const start& started) const
        {
            return "start " + id(started.key);
        }
        std::string operator()(const refuse& refused) const
        {
            REQUIRE(refused.refusal.outcome == run_outcome::not_run);
            return "refuse " + id(refused.key) + " " +
                   std::string(to_string(refused.refusal.kind));
        }
        std::string operator()(const abort_running& aborted) const
        {
            return "abort " + id(aborted.key);
        }
        static std::string id(const attempt_key& key)
        {
            return std::to_string(static_cast<std::uint64_t>(key.id));
        }
    };
    std::vector<std::string> descriptions;
    for (const action& next : actions)
        descriptions.push_back(std::visit(describer(), next));
    return descriptions;
}

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("only an upstream that sheds under load loses slots")
{
    // Guards against idle slots at an upstream that sheds part of its calls at
    // random: 55 of 100 calls shed, two at a time, on ten slots.
    const auto [running, expected_limit] =
        GENERATE(table<std::uint64_t, std::uint32_t>({{2, 10}, {10, 9}}));
    gate_fixture gate(10);
    for (std::uint64_t id = 1; id <= running; ++id)
        gate.offer(id, "urgent");
    gate.end_call(1, 4, run_result::shed);
    CHECK(gate.under_test.report(gate.now).limit == expected_limit);
}

TEST_CASE("calls start up to the limit, then in order of urgency")
{
    gate_fixture gate(2);
    CHECK(describe(gate.offer(1, "urgent")) == texts{"start 1"});
    CHECK(describe(gate.offer(2, "bulk")) == texts{"start 2"});
    CHECK(gate.offer(3, "bulk").empty());
    CHECK(gate.offer(4, "urgent").empty());
    CHECK(describe(gate.end_call(2, 4)) == texts{"start 4"});
    const support::load_report load = gate.under_test.report(gate.now);
    CHECK(load.running == 2);
    CHECK(load.waiting == 1);
    CHECK(load.limit == 2);
    CHECK(load.service_ms == 4);
    CHECK(load.waiting_by_rank == std::vector<std::uint32_t>{0, 0, 1});
}

TEST_CASE("a slot held for a rank is not available to less urgent ranks")
{
    gate_fixture gate(3);
    CHECK(gate.offer(1, "bulk").size() == 1);
    CHECK(gate.offer(2, "bulk").size() == 1);
    CHECK(gate.offer(3, "bulk").empty());
    CHECK(describe(gate.offer(4, "urgent")) == texts{"start 4"});
    CHECK(gate.end_call(4, 1).empty());
    CHECK(describe(gate.end_call(1, 1)) == texts{"start 3"});
}

TEST_CASE("a single slot serves every rank even if one slot is held")
{
    gate_fixture gate(1);
    CHECK(describe(gate.offer(1, "bulk")) == texts{"start 1"});
}

TEST_CASE("a call that cannot meet its deadline is refused at once")
{
    struct row
    {
        std::string rank;
        double time_left_ms;
        bool refused;
    };
    // With one slot, one bulk call runs and three wait; each takes 10 ms.
    const auto& [rank, time_left_ms, refused] = GENERATE(values<row>({
        {"bulk", 45, true},
        {"bulk", 60, false},
        {"urgent", 15, true},
        {"urgent", 25, false},
    }));
    CAPTURE(rank, time_left_ms);
    gate_fixture gate(1);
    gate.offer(1, "bulk");
    gate.end_call(1, 10);
    for (std::uint64_t id = 2; id <= 5; ++id)
        gate.offer(id, "bulk");
    const auto actions = gate.offer(6, rank, support::from_ms(time_left_ms));
    CHECK(describe(actions) ==
          (refused ? texts{"refuse 6 deadline-exceeded"} : texts{}));
    if (refused)
        CHECK(std::get<refuse>(actions[0]).refusal.retry_after.count() > 0);
}

TEST_CASE("an idle gate admits a call regardless of its estimate")
{
    gate_fixture gate(1);
    gate.offer(1, "bulk");
    gate.end_call(1, 5000);
    CHECK(describe(gate.offer(2, "bulk", support::milliseconds(10))) ==
          texts{"start 2"});
}

TEST_CASE(
    "in observe mode a call that cannot meet its deadline is only counted")
{
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(automation::shed)) =
        automation_mode::observe;
    gate_fixture gate(1, in_force);
    gate.offer(1, "bulk");
    gate.end_call(1, 10);
    gate.offer(2, "bulk");
    CHECK(gate.offer(3, "bulk", support::milliseconds(5)).empty());
    CHECK(gate.under_test.counters().shed_observed == 1);
    gate.now += support::milliseconds(1000);
    CHECK(describe(gate.under_test.on_tick(gate.now)) ==
          texts{"refuse 3 deadline-exceeded"});
    CHECK(gate.decisions.count(automation::shed,
                               telemetry::decision_effect::observed) == 1);
}

TEST_CASE("no call starts after its deadline, even when on_tick runs late")
{
    gate_fixture gate(1);
    gate.offer(1, "bulk");
    gate.offer(2, "urgent", support::milliseconds(100));
    gate.now += std::chrono::minutes(1);
    CHECK(describe(gate.end_call(1, 1)) == texts{"refuse 2 deadline-exceeded"});
    CHECK(describe(gate.offer(3, "urgent", support::milliseconds(0))) ==
          texts{"refuse 3 deadline-exceeded"});
}

TEST_CASE("a full queue drops the newest of the least urgent waiting calls")
{
    config::configuration in_force = config::default_configuration();
    in_force.limits.at(static_cast<std::size_t>(limit::queue_length)) = 2;
    gate_fixture gate(1, in_force);
    gate.offer(1, "bulk");
    gate.offer(2, "bulk");
    gate.offer(3, "bulk");
    CHECK(describe(gate.offer(4, "bulk")) == texts{"refuse 4 overloaded"});
    CHECK(describe(gate.offer(5, "urgent")) == texts{"refuse 3 overloaded"});
    CHECK(gate.under_test.has_running());
    CHECK(gate.under_test.counters().refused_overload == 2);
}

TEST_CASE("cancel refuses a waiting call and aborts a running, repeatable one")
{
    gate_fixture gate(2);
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

TEST_CASE("waiting calls of a closed link are refused")
{
    gate_fixture gate(2);
    gate.offer(1, "urgent", far_deadline, true);
    gate.offer(100, "urgent", far_deadline, true);
    gate.offer(2, "urgent");
    gate.offer(101, "urgent");
    CHECK(describe(gate.under_test.on_link_closed(1, gate.now)) ==
          texts{"refuse 2 canceled", "abort 1"});
    CHECK(describe(gate.end_call(1, 1, run_result::failed)) ==
          texts{"start 101"});
}

TEST_CASE(
    "a drain refuses waiting and new calls and lets running calls complete")
{
    gate_fixture gate(1);
    gate.offer(1, "urgent");
    gate.offer(2, "urgent");
    CHECK(describe(gate.under_test.drain(gate.now)) ==
          texts{"refuse 2 draining"});
    CHECK(describe(gate.offer(3, "urgent")) == texts{"refuse 3 draining"});
    CHECK(gate.under_test.has_running());
    CHECK(gate.end_call(1, 1).empty());
    CHECK_FALSE(gate.under_test.has_running());
}

TEST_CASE("waiting and new calls are refused after the upstream left")
{
    gate_fixture gate(1);
    gate.offer(1, "urgent");
    gate.offer(2, "urgent");
    CHECK(describe(gate.under_test.on_upstream_gone(gate.now)) ==
          texts{"refuse 2 no-upstream"});
    CHECK(describe(gate.offer(3, "urgent")) == texts{"refuse 3 no-upstream"});
    gate.end_call(1, 1);
    gate.now += support::milliseconds(500);
    gate.under_test.on_upstream_announced(2, gate.now);
    gate.now += support::milliseconds(30);
    CHECK(gate.under_test.report(gate.now).age_ms == 30);
    CHECK(describe(gate.offer(4, "urgent")) == texts{"start 4"});
}

TEST_CASE("ranks may change while calls wait")
{
    gate_fixture gate(1);
    gate.offer(1, "urgent");
    gate.offer(2, "urgent");
    gate.offer(3, "bulk");
    config::configuration changed = config::default_configuration();
    changed.ranks = {{"bulk", 0, 0}};
    gate.under_test.on_configuration(changed, gate.now);
    CHECK(describe(gate.end_call(1, 1)) == texts{"start 3"});
    CHECK(describe(gate.end_call(3, 1)) == texts{"start 2"});
    CHECK(gate.end_call(2, 1).empty());
    CHECK(gate.under_test.report(gate.now).running == 0);
}

TEST_CASE("a limit that the upstream states is not exceeded")
{
    gate_fixture gate(9);
    gate.under_test.on_limit_stated(2.0, gate.now);
    std::size_t started = 0;
    std::uint64_t id = 0;
    const support::time_point end = gate.now + std::chrono::seconds(8);
    for (; gate.now < end; gate.now += support::milliseconds(50)) {
        std::vector<action> actions = gate.offer(++id, "normal");
        for (const action& next : gate.under_test.on_tick(gate.now))
            actions.push_back(next);
        for (const action& next : actions) {
            const auto* call = std::get_if<start>(&next);
            if (call == nullptr)
                continue;
            ++started;
            gate.under_test.on_ended(call->key, run_result::answered,
                                     support::milliseconds(5), gate.now);
        }
    }
    CHECK(started >= 15);
    CHECK(started <= 18);
}

TEST_CASE("a call that the upstream's limit leaves no room for is refused at "
          "once")
{
    gate_fixture gate(9);
    gate.under_test.on_limit_stated(2.0, gate.now);
    using std::chrono::seconds;
    CHECK(gate.offer(1, "normal", seconds(3)).empty());
    CHECK(gate.offer(2, "normal", seconds(3)).empty());
    // The first call can start in 0.5 s, the second in 1 s, the third in 1.5 s.
    CHECK(describe(gate.offer(3, "normal", seconds(1))) ==
          texts{"refuse 3 rate-limited"});
    // The urgent call goes first, so that the last one has no room any more.
    CHECK(gate.offer(4, "normal", support::milliseconds(1700)).empty());
    CHECK(describe(gate.offer(5, "urgent", seconds(3))) ==
          texts{"refuse 4 rate-limited"});
    CHECK(gate.under_test.counters().refused_limit == 2);
    gate.now += support::milliseconds(500);
    CHECK(describe(gate.under_test.on_tick(gate.now)) == texts{"start 5"});
}

TEST_CASE("a call that its entry can send elsewhere does not wait long for "
          "the upstream's limit")
{
    gate_fixture gate(9);
    gate.under_test.on_limit_stated(2.0, gate.now);
    attempt call;
    call.key = gate_fixture::key(1);
    call.rank = "normal";
    call.deadline = gate.now + far_deadline;
    call.may_hand_back = true;
    CHECK(describe(gate.under_test.offer(call, gate.now)) ==
          texts{"refuse 1 rate-limited"});
    CHECK(gate.under_test.counters().handed_back == 1);
    CHECK(gate.under_test.report(gate.now).start_delay_ms == 500);
}

TEST_CASE("a limit ends when the upstream no longer states it")
{
    gate_fixture gate(9);
    gate.under_test.on_limit_stated(0.0, gate.now);
    // One call in 4 s may start.
    CHECK(gate.offer(1, "normal").empty());
    CHECK(gate.offer(2, "normal").empty());
    CHECK(describe(gate.offer(3, "normal")) == texts{"refuse 3 rate-limited"});
    CHECK(gate.offer(3, "normal", std::chrono::seconds(60)).empty());
    CHECK(gate.under_test.on_tick(gate.now).empty());
    CHECK(describe(gate.under_test.on_limit_stated(std::nullopt, gate.now)) ==
          texts{"start 1", "start 2", "start 3"});
    CHECK_FALSE(gate.under_test.stated_limit());
}

} // namespace galenarudder::admission
