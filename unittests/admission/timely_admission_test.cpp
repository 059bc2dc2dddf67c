// Guards against a cold gate whose queue holds as many calls as their deadline
// allows, so that each call is late when it starts.
#include "galenarudder/admission/timely_admission.hpp"

#include "galenarudder/admission/gate.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace galenarudder::admission {

namespace {

using namespace std::chrono_literals;

const support::time_point start_time{100s};
constexpr support::time_point no_goal = support::time_point::max();

attempt
make_call(std::uint64_t id, support::time_point late, const char* rank = "bulk")
{
    attempt call;
    call.key = {1, static_cast<support::attempt_id>(id)};
    call.rank = rank;
    call.deadline = start_time + 10s;
    call.in_time_until = late;
    return call;
}

/// A gate of 4 slots that starts 10 calls a second. Calls take 120 ms.
class cold_gate
{
public:
    explicit cold_gate(
        config::automation_mode mode = config::automation_mode::automatic,
        bool has_history = true)
        : under_test(configuration(mode))
    {
        under_test.set_decision_log(decisions);
        under_test.set_cold_rate(10, start_time - 10s);
        under_test.on_upstream_announced(4, start_time - 10s);
        if (has_history) {
            offer(make_call(1000, no_goal), start_time - 2s);
            under_test.on_ended(make_call(1000, no_goal).key,
                                run_result::answered, 120ms, start_time - 2s);
        }
        under_test.on_cold_stated(cold_source::announcement, 5s, start_time);
        // Uses the first start, so that the next is after 100 ms.
        offer(make_call(1001, no_goal), start_time);
        started.clear();
    }

    void offer(const attempt& call, support::time_point now = start_time)
    {
        carry_out(under_test.offer(call, now));
    }
    void carry_out(const std::vector<action>& actions)
    {
        for (const action& next : actions) {
            if (const auto* begun = std::get_if<start>(&next))
                started.push_back(static_cast<int>(begun->key.id));
            if (const auto* refused = std::get_if<refuse>(&next)) {
                CHECK(refused->refusal.outcome ==
                      support::run_outcome::not_run);
                CHECK(refused->refusal.retry_after >= 100ms);
                turned_away.insert(static_cast<int>(refused->key.id));
            }
        }
    }

    telemetry::decision_log decisions;
    gate under_test;
    std::vector<int> started;
    std::set<int> turned_away;

private:
    static config::configuration configuration(config::automation_mode mode)
    {
        auto in_force = config::default_configuration();
        in_force.modes.at(static_cast<std::size_t>(
            config::automation::cold_admission)) = mode;
        return in_force;
    }
};

struct timeliness_row
{
    support::milliseconds wait;
    std::optional<support::duration> service_time;
    support::milliseconds late_after;
    timeliness expected;
};

} // namespace

TEST_CASE("a call is in time if it starts and ends before it is late")
{
    const auto row = GENERATE(values<timeliness_row>({
        {100ms, 120ms, 220ms, timeliness::in_time},
        {100ms, 120ms, 219ms, timeliness::late},
        {9880ms, 120ms, 400ms, timeliness::late},
        {9881ms, 120ms, 400ms, timeliness::too_late},
        {300ms, 120ms, -1ms, timeliness::late},
        // Nothing is known yet: the deadline decides elsewhere.
        {5s, std::nullopt, 10ms, timeliness::in_time},
    }));
    CHECK(timeliness_of(make_call(1, start_time + row.late_after),
                        {row.wait, row.service_time},
                        start_time) == row.expected);
}

TEST_CASE("a cold gate keeps only calls that can be in time")
{
    cold_gate given;
    for (int id = 1; id <= 5; ++id)
        given.offer(make_call(id, start_time + 430ms));
    // They would end after 220, 320 and 420 ms.
    CHECK(given.turned_away == std::set<int>{4, 5});
    SECTION("a more urgent call displaces one that can no longer be in time")
    {
        given.offer(make_call(6, start_time + 430ms, "urgent"));
        CHECK(given.turned_away == std::set<int>{3, 4, 5});
    }
    SECTION("a call without a goal waits until its deadline")
    {
        given.offer(make_call(6, no_goal));
        CHECK(given.turned_away == std::set<int>{4, 5});
    }
    CHECK(given.under_test.counters().turned_away_late ==
          given.turned_away.size());
    given.carry_out(given.under_test.on_tick(start_time + 1s));
    CHECK(given.decisions.count(config::automation::cold_admission,
                                telemetry::decision_effect::acted) == 1);
}

// Guards against calls that wait at one gate while another has room.
TEST_CASE("a cold gate hands back a call that waits for more than one start")
{
    cold_gate given;
    given.offer(make_call(1, start_time + 900ms));
    attempt second = make_call(2, start_time + 900ms);
    second.may_hand_back = true;
    given.offer(second);
    CHECK(given.turned_away == std::set<int>{2});
    second.may_hand_back = false;
    second.key.id = static_cast<support::attempt_id>(3);
    given.offer(second);
    CHECK(given.turned_away == std::set<int>{2});
}

// Guards against capacity that remains unused while a late call has a use.
TEST_CASE("a late call is kept if no other waits")
{
    cold_gate given;
    given.offer(make_call(1, start_time + 50ms));
    given.offer(make_call(2, start_time + 50ms));
    CHECK(given.turned_away == std::set<int>{2});
    SECTION("it takes a start that no other call needs")
    {
        given.carry_out(given.under_test.on_tick(start_time + 100ms));
        CHECK(given.started == std::vector<int>{1});
    }
    SECTION("a call that can be in time goes before it")
    {
        given.offer(make_call(3, start_time + 300ms), start_time + 50ms);
        given.carry_out(given.under_test.on_tick(start_time + 100ms));
        CHECK(given.started == std::vector<int>{3});
        CHECK(given.turned_away == std::set<int>{1, 2});
    }
}

TEST_CASE("without history, goal, cold time or mode a gate admits by deadline")
{
    using config::automation_mode;
    const int variant = GENERATE(0, 1, 2, 3);
    CAPTURE(variant);
    cold_gate given(variant == 0 ? automation_mode::observe
                                 : automation_mode::automatic,
                    variant != 1);
    if (variant == 2)
        given.carry_out(given.under_test.on_cold_stated(
            cold_source::announcement, 0ms, start_time));
    for (int id = 1; id <= 5; ++id)
        given.offer(make_call(id, variant == 3 ? no_goal : start_time + 250ms));
    CHECK(given.turned_away.empty());
    given.carry_out(given.under_test.on_tick(start_time + 1100ms));
    CHECK(given.decisions.count(config::automation::cold_admission,
                                telemetry::decision_effect::observed) ==
          (variant == 0 ? 1 : 0));
    CHECK(given.under_test.counters().late_observed == (variant == 0 ? 4 : 0));
}

// Guards against calls that wait by deadline although the service time has
// become known, and against a gate that was warm when they began to wait.
TEST_CASE("calls that wait are reviewed when more becomes known")
{
    SECTION("the service time")
    {
        cold_gate given(config::automation_mode::automatic, false);
        for (int id = 1; id <= 5; ++id)
            given.offer(make_call(id, start_time + 430ms));
        CHECK(given.turned_away.empty());
        given.carry_out(given.under_test.on_ended(make_call(1001, no_goal).key,
                                                  run_result::answered, 120ms,
                                                  start_time + 50ms));
        CHECK(given.turned_away == std::set<int>{4, 5});
    }
    SECTION("that the upstream has become cold")
    {
        cold_gate given;
        given.under_test.on_cold_stated(cold_source::announcement, 0ms,
                                        start_time);
        // Two of them take the free slots; one is held for urgent calls.
        for (int id = 1; id <= 8; ++id)
            given.offer(make_call(id, start_time + 430ms));
        CHECK(given.turned_away.empty());
        given.carry_out(given.under_test.on_cold_stated(
            cold_source::announcement, 5s, start_time));
        CHECK(given.started == std::vector<int>{1, 2});
        CHECK(given.turned_away == std::set<int>{6, 7, 8});
    }
}

} // namespace galenarudder::admission
