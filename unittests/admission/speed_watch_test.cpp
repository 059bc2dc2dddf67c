// When work is held because the upstream works slowly for a moment.
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/admission/speed_watch.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace galenarudder::admission {

using support::milliseconds;
using support::time_point;

namespace {

constexpr time_point start_of_test{std::chrono::seconds(100)};

attempt call(std::uint64_t id)
{
    return {{0, support::call_id{id}},
            "normal",
            start_of_test + std::chrono::seconds(10),
            true};
}

auto count_starts(const std::vector<action>& actions)
{
    return std::count_if(actions.begin(), actions.end(), [](const action& one) {
        return std::holds_alternative<start>(one);
    });
}

} // namespace

TEST_CASE("an upstream that never states its speed is not measured")
{
    speed_watch watch;
    CHECK_FALSE(watch.is_slow(start_of_test));
    CHECK_FALSE(watch.is_uncertain(start_of_test));
    CHECK_FALSE(watch.wants_measurement(start_of_test));
}

TEST_CASE("a slow spell holds work; slowness that lasts does not")
{
    speed_watch watch;
    watch.on_stated(1, start_of_test);
    time_point now = start_of_test + milliseconds(10);
    watch.on_stated(5, now);
    CHECK(watch.is_slow(now));
    while (now < start_of_test + milliseconds(600)) {
        now += milliseconds(25);
        watch.on_stated(5, now);
        CHECK(watch.is_slow(now));
    }
    now = start_of_test + milliseconds(800);
    watch.on_stated(5, now);
    CHECK_FALSE(watch.is_slow(now));
    watch.on_stated(1, now);
    watch.on_stated(5, now + milliseconds(10));
    CHECK(watch.is_slow(now + milliseconds(10)));
}

TEST_CASE("a measurement that fails lets work begin")
{
    speed_watch watch;
    watch.on_stated(5, start_of_test);
    watch.on_asked(start_of_test + milliseconds(30));
    watch.on_unanswered(start_of_test + milliseconds(130));
    CHECK_FALSE(watch.is_slow(start_of_test + milliseconds(131)));
    CHECK_FALSE(watch.is_uncertain(start_of_test + milliseconds(131)));
}

TEST_CASE("the gate measures before it begins a call and holds it while slow")
{
    gate under_test(config::default_configuration());
    time_point now = start_of_test;
    under_test.on_upstream(4, now);
    under_test.on_speed(1, now);
    CHECK(count_starts(under_test.offer(call(1), now)) == 1);

    now += milliseconds(100);
    CHECK(count_starts(under_test.offer(call(2), now)) == 0);
    CHECK(under_test.take_speed_question(now));
    CHECK(count_starts(under_test.offer(call(3), now)) == 0);
    CHECK_FALSE(under_test.take_speed_question(now));

    CHECK(count_starts(under_test.on_speed(5, now + milliseconds(1))) == 0);
    CHECK(count_starts(under_test.on_tick(now + milliseconds(30))) == 0);
    CHECK(under_test.take_speed_question(now + milliseconds(30)));
    CHECK(count_starts(under_test.on_speed(1, now + milliseconds(31))) == 2);
}

TEST_CASE("during a slow spell calls that can go elsewhere are handed back")
{
    gate under_test(config::default_configuration());
    time_point now = start_of_test;
    under_test.on_upstream(4, now);
    under_test.on_speed(1, now);
    now += milliseconds(100);
    attempt movable = call(1);
    movable.movable = true;
    // Its speed is not known: the call waits until the upstream was asked.
    CHECK(under_test.offer(movable, now).empty());
    CHECK(under_test.offer(call(2), now).empty());
    REQUIRE(under_test.take_speed_question(now));
    const auto told = under_test.on_speed(5, now);
    REQUIRE(told.size() == 1);
    const auto& back = std::get<refuse>(told.front());
    CHECK(back.key == movable.key);
    CHECK(back.why.kind == support::refusal_kind::slow_spell);
    CHECK(back.why.outcome == support::run_outcome::not_run);
    CHECK(under_test.report(now).spell_left_ms > 0);

    movable.key = call(3).key;
    const auto refused = under_test.offer(movable, now + milliseconds(1));
    REQUIRE(refused.size() == 1);
    CHECK(std::get<refuse>(refused.front()).key == movable.key);
    CHECK(under_test.counts().handed_back == 2);

    // The spell may be over: the next call waits for an answer.
    movable.key = call(4).key;
    CHECK(under_test.offer(movable, now + milliseconds(25)).empty());
    CHECK(under_test.take_speed_question(now + milliseconds(25)));
    const auto begun = under_test.on_speed(1, now + milliseconds(30));
    CHECK(count_starts(begun) == 2);
    CHECK(under_test.report(now + milliseconds(30)).spell_left_ms == 0);
}

} // namespace galenarudder::admission
