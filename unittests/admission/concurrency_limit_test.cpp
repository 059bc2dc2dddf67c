// Changes of the concurrency limit for several models of an upstream.
#include "galenarudder/admission/concurrency_limit.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace galenarudder::admission {

namespace {

using config::automation_mode;
using telemetry::decision_effect;

constexpr std::uint32_t slots = 10;

/// An upstream whose rate of answers and inflation depend on the limit.
struct upstream_model
{
    double (*inflation)(std::uint32_t limit);
    double (*answers_per_ms)(std::uint32_t limit);
};

double constant_inflation(std::uint32_t)
{
    return 5;
}
double inflation_by_limit(std::uint32_t limit)
{
    return limit / 2.0;
}
double rate_by_limit(std::uint32_t limit)
{
    return limit * 0.1;
}
double constant_rate(std::uint32_t)
{
    return 0.5;
}

/// Feeds the limit with answers of the model for \p span. Returns the lowest
/// limit that occurred.
std::uint32_t run_model(concurrency_limit& limit,
                        const upstream_model& model,
                        support::duration span,
                        std::vector<limit_change>& changes)
{
    support::time_point now;
    std::uint32_t lowest = limit.current();
    const support::time_point end = now + span;
    while (now < end) {
        const std::uint32_t current = limit.current();
        now += support::from_ms(1 / model.answers_per_ms(current));
        const auto change =
            limit.on_answered({model.inflation(current), true}, now);
        if (change)
            changes.push_back(*change);
        lowest = std::min(lowest, limit.current());
    }
    return lowest;
}

concurrency_limit make_limit(automation_mode mode)
{
    concurrency_limit limit;
    limit.configure(2, mode);
    limit.set_slots(slots, support::time_point());
    return limit;
}

} // namespace

TEST_CASE("the limit is lowered when that does not reduce the rate of answers")
{
    concurrency_limit limit = make_limit(automation_mode::automatic);
    std::vector<limit_change> changes;
    const std::uint32_t lowest =
        run_model(limit, {inflation_by_limit, constant_rate},
                  std::chrono::seconds(10), changes);
    CHECK(lowest <= 5);
    CHECK(lowest >= 2);
}

TEST_CASE("the limit is restored when the upstream is slow at any concurrency")
{
    concurrency_limit limit = make_limit(automation_mode::automatic);
    std::vector<limit_change> changes;
    run_model(limit, {constant_inflation, rate_by_limit},
              std::chrono::seconds(5), changes);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].to == 8);
    CHECK(changes[1].to == slots);
    CHECK(limit.current() == slots);
}

TEST_CASE("in observe mode decisions are recorded and the limit stays")
{
    concurrency_limit limit = make_limit(automation_mode::observe);
    std::vector<limit_change> changes;
    run_model(limit, {inflation_by_limit, constant_rate},
              std::chrono::seconds(5), changes);
    REQUIRE_FALSE(changes.empty());
    CHECK(changes[0].effect == decision_effect::observed);
    CHECK(limit.current() == slots);
}

TEST_CASE("the limit falls step by step while the upstream sheds calls")
{
    concurrency_limit limit = make_limit(automation_mode::automatic);
    support::time_point now;
    for (int count = 0; count < 50; ++count) {
        limit.on_shed(now);
        now += support::milliseconds(10);
    }
    CHECK(limit.current() == 5);
}

TEST_CASE("the limit rises after an upstream shed, however few calls there are")
{
    // Guards against a limit that stays low at a few answers a second, for long
    // after the upstream has recovered.
    concurrency_limit limit = make_limit(automation_mode::automatic);
    support::time_point now;
    for (int count = 0; count < 10; ++count) {
        limit.on_shed(now);
        now += support::milliseconds(100);
    }
    REQUIRE(limit.current() < slots);
    for (int count = 0; count < 60; ++count) {
        limit.on_answered({1, false}, now);
        now += support::milliseconds(100);
    }
    CHECK(limit.current() == slots);
}

TEST_CASE("the limit stays between its minimum and the number of slots")
{
    CHECK(rc::check([] {
        concurrency_limit limit;
        support::time_point now;
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 12);
        limit.configure(floor, automation_mode::automatic);
        const auto steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int step : steps) {
            now += support::milliseconds(step * 7);
            if (step < 5)
                limit.set_slots(static_cast<std::uint32_t>(step) * 3, now);
            else if (step < 20)
                limit.on_shed(now);
            for (int count = 0; step >= 20 && count < 201; ++count) {
                limit.on_answered({step / 15.0, step % 3 != 0},
                                  now + support::milliseconds(count));
            }
            RC_ASSERT(limit.current() <= limit.slots());
            RC_ASSERT(limit.current() >=
                      std::min(std::max(1U, floor), limit.slots()));
        }
    }));
}

} // namespace galenarudder::admission
