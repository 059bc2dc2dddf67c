// When calls wait because the upstream is in a slowdown.
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/admission/slowdown_monitor.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace galenarudder::admission {

using support::milliseconds;
using support::time_point;

namespace {

constexpr time_point start_of_test{std::chrono::seconds(100)};

attempt make_attempt(std::uint64_t id)
{
    return {{0, support::attempt_id{id}},
            "normal",
            start_of_test + std::chrono::seconds(10),
            true};
}

auto count_starts(const std::vector<action>& actions)
{
    return std::count_if(
        actions.begin(), actions.end(),
        [](const action& next) { return std::holds_alternative<start>(next); });
}

} // namespace

TEST_CASE("an upstream that never reports a slowdown is not queried")
{
    slowdown_monitor monitor;
    CHECK_FALSE(monitor.is_slow(start_of_test));
    CHECK_FALSE(monitor.is_report_stale(start_of_test));
    CHECK_FALSE(monitor.needs_query(start_of_test));
}

TEST_CASE("calls wait during a short slowdown and not during a lasting one")
{
    slowdown_monitor monitor;
    monitor.on_reported(1, start_of_test);
    time_point now = start_of_test + milliseconds(10);
    monitor.on_reported(5, now);
    CHECK(monitor.is_slow(now));
    while (now < start_of_test + milliseconds(600)) {
        now += milliseconds(25);
        monitor.on_reported(5, now);
        CHECK(monitor.is_slow(now));
    }
    now = start_of_test + milliseconds(800);
    monitor.on_reported(5, now);
    CHECK_FALSE(monitor.is_slow(now));
    monitor.on_reported(1, now);
    monitor.on_reported(5, now + milliseconds(10));
    CHECK(monitor.is_slow(now + milliseconds(10)));
}

TEST_CASE("calls start after a failed query")
{
    slowdown_monitor monitor;
    monitor.on_reported(5, start_of_test);
    monitor.on_query_sent(start_of_test + milliseconds(30));
    monitor.on_query_failed(start_of_test + milliseconds(130));
    CHECK_FALSE(monitor.is_slow(start_of_test + milliseconds(131)));
    CHECK_FALSE(monitor.is_report_stale(start_of_test + milliseconds(131)));
}

TEST_CASE(
    "the gate queries the upstream before a call starts and waits while slow")
{
    gate under_test(config::default_configuration());
    time_point now = start_of_test;
    under_test.on_upstream_announced(4, now);
    under_test.on_slowdown_report(1, now);
    CHECK(count_starts(under_test.offer(make_attempt(1), now)) == 1);

    now += milliseconds(100);
    CHECK(count_starts(under_test.offer(make_attempt(2), now)) == 0);
    CHECK(under_test.take_slowdown_query(now));
    CHECK(count_starts(under_test.offer(make_attempt(3), now)) == 0);
    CHECK_FALSE(under_test.take_slowdown_query(now));

    CHECK(count_starts(
              under_test.on_slowdown_report(5, now + milliseconds(1))) == 0);
    CHECK(count_starts(under_test.on_tick(now + milliseconds(30))) == 0);
    CHECK(under_test.take_slowdown_query(now + milliseconds(30)));
    CHECK(count_starts(
              under_test.on_slowdown_report(1, now + milliseconds(31))) == 2);
}

TEST_CASE("calls that may be handed back are handed back during a slowdown")
{
    gate under_test(config::default_configuration());
    time_point now = start_of_test;
    under_test.on_upstream_announced(4, now);
    under_test.on_slowdown_report(1, now);
    now += milliseconds(100);
    attempt returnable_call = make_attempt(1);
    returnable_call.may_hand_back = true;
    // The last report is too old: the call waits for the result of a query.
    CHECK(under_test.offer(returnable_call, now).empty());
    CHECK(under_test.offer(make_attempt(2), now).empty());
    REQUIRE(under_test.take_slowdown_query(now));
    const auto handed_back = under_test.on_slowdown_report(5, now);
    REQUIRE(handed_back.size() == 1);
    const auto& first_refusal = std::get<refuse>(handed_back.front());
    CHECK(first_refusal.key == returnable_call.key);
    CHECK(first_refusal.refusal.kind == support::refusal_kind::slow_spell);
    CHECK(first_refusal.refusal.outcome == support::run_outcome::not_run);
    CHECK(under_test.report(now).start_delay_ms > 0);

    returnable_call.key = make_attempt(3).key;
    const auto actions_while_slow =
        under_test.offer(returnable_call, now + milliseconds(1));
    REQUIRE(actions_while_slow.size() == 1);
    CHECK(std::get<refuse>(actions_while_slow.front()).key ==
          returnable_call.key);
    CHECK(under_test.counters().handed_back == 2);

    // The slowdown may be over: the next call waits for a report.
    returnable_call.key = make_attempt(4).key;
    CHECK(under_test.offer(returnable_call, now + milliseconds(25)).empty());
    CHECK(under_test.take_slowdown_query(now + milliseconds(25)));
    const auto actions =
        under_test.on_slowdown_report(1, now + milliseconds(30));
    CHECK(count_starts(actions) == 2);
    CHECK(under_test.report(now + milliseconds(30)).start_delay_ms == 0);
}

} // namespace galenarudder::admission
