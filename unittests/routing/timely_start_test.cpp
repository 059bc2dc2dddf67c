// Guards against calls that are sent from one full cold upstream to the next,
// and against refusals by an entry that cannot know.
#include "galenarudder/routing/timely_start.hpp"

#include "galenarudder/routing/router.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::routing {

namespace {

using namespace std::chrono_literals;
using config::automation_mode;

constexpr support::time_point start_time{100s};
constexpr support::time_point no_goal = support::time_point::max();
constexpr std::size_t urgent = 0;
constexpr std::size_t bulk = 2;

/// An entry that has a report of each of the two cold upstreams of a service.
struct fixture
{
    explicit fixture(double cold_calls_per_s = 10,
                     automation_mode mode = automation_mode::automatic)
    {
        auto in_force = config::default_configuration();
        in_force.modes.at(static_cast<std::size_t>(
            config::automation::cold_admission)) = mode;
        config::service_policy policy;
        policy.name = "alpha";
        policy.cold_calls_per_s = cold_calls_per_s;
        in_force.services.push_back(policy);
        entry.set_decision_log(decisions);
        entry.on_configuration(in_force);
        for (const char* id : {"u0", "u1"}) {
            membership::member_record record;
            record.id = id;
            record.state = membership::member_state::alive;
            record.service = "alpha";
            record.slots = 6;
            entry.on_record(record, start_time);
        }
        targets = {choose({}), {}};
        targets[1] = choose({targets[0].member});
    }

    choice choose(const std::vector<support::member_id>& tried,
                  support::time_point late = no_goal)
    {
        const auto chosen =
            entry.pick({"alpha", bulk, tried, {}, late}, start_time, random);
        REQUIRE(chosen);
        return *chosen;
    }

    /// One call of each rank waits, so that the next starts after all of them.
    void report(std::size_t target, double start_delay_ms, double cold_ms)
    {
        support::load_report load;
        load.limit = 6;
        load.waiting = 3;
        load.waiting_by_rank = {1, 1, 1};
        load.start_delay_ms = start_delay_ms;
        load.cold_ms = cold_ms;
        entry.on_report(targets[target], load, 1ms, start_time);
    }

    std::optional<support::milliseconds>
    turn_away(support::duration goal,
              std::size_t rank = bulk,
              support::time_point now = start_time)
    {
        return entry.turn_away_cold({"alpha", rank, {}, {}, now + goal}, now);
    }

    telemetry::decision_log decisions;
    router entry{"hall"};
    support::random_engine random{1};
    std::vector<choice> targets;
};

} // namespace

// Guards against callers that stay away until the end of a long cold time,
// although gates have places for them before that.
TEST_CASE("an entry leaves refusals to the gates while a cold time is long")
{
    fixture given;
    given.report(0, 400, 5000);
    given.report(1, 500, 4000);
    CHECK_FALSE(given.turn_away(300ms));
    CHECK(given.entry.turned_away_cold() == 0);
}

TEST_CASE("an entry refuses a call that no upstream can start in time")
{
    fixture given;
    given.report(0, 400, 1000);
    CHECK_FALSE(given.turn_away(300ms));
    given.report(1, 500, 900);
    CHECK_FALSE(given.turn_away(450ms));
    // Two calls of less urgent ranks go after an urgent one.
    CHECK_FALSE(given.turn_away(300ms, urgent));
    // The reports have become too old to tell.
    CHECK_FALSE(given.turn_away(300ms, bulk, start_time + 150ms));
    const auto first = given.turn_away(300ms);
    const auto second = given.turn_away(300ms);
    REQUIRE((first && second));
    // After the cold time of the second upstream, each at its own time.
    CHECK(*first == 900ms);
    CHECK(*second > *first);
    CHECK(*second <= 1900ms);
    CHECK(given.entry.turned_away_cold() == 2);
    CHECK(given.decisions.count(config::automation::cold_admission,
                                telemetry::decision_effect::acted) == 1);
}

TEST_CASE("a call goes to the upstream that can start it in time")
{
    fixture given;
    given.report(0, 400, 5000);
    given.report(1, 200, 5000);
    for (int call = 0; call < 20; ++call) {
        const choice chosen = given.choose({}, start_time + 300ms);
        CHECK(chosen.member == given.targets[1].member);
        CHECK(chosen.cold);
        CHECK(chosen.alternatives == 0);
    }
}

TEST_CASE("an entry does not decide without limit, goal or mode")
{
    struct row
    {
        double cold_calls_per_s;
        automation_mode mode;
        double cold_ms;
    };
    const auto given_row =
        GENERATE(values<row>({{0, automation_mode::automatic, 900},
                              {10, automation_mode::observe, 900},
                              {10, automation_mode::bounded, 900},
                              // A slowdown or a stated limit delays the start.
                              {10, automation_mode::automatic, 0}}));
    fixture given(given_row.cold_calls_per_s, given_row.mode);
    given.report(0, 400, given_row.cold_ms);
    given.report(1, 400, given_row.cold_ms);
    CHECK_FALSE(given.turn_away(300ms));
    CHECK_FALSE(given.entry.turn_away_cold({"alpha"}, start_time));
    CHECK(given.choose({}, start_time + 300ms).cold ==
          (given_row.mode == automation_mode::bounded));
}

} // namespace galenarudder::routing
