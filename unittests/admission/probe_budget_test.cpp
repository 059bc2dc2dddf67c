// The budget of probes holds in any window, and hints stay hints.
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/admission/probe_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace galenarudder::admission {

namespace {

struct span
{
    support::time_point from;
    support::time_point to;
};

/// The time that spans share with the window that ends at \p end.
support::duration within(const std::vector<span>& spans,
                         support::time_point end)
{
    support::duration sum{};
    for (const span& each : spans) {
        const auto from = std::max(each.from, end - probe_budget::window);
        const auto to = std::min(each.to, end);
        if (from < to)
            sum += to - from;
    }
    return sum;
}

} // namespace

TEST_CASE("probes stay inside their budget in any window")
{
    CHECK(rc::check([] {
        const double share = *rc::gen::inRange(0, 30) / 1000.0;
        probe_budget budget(share);
        const auto costs_ms =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 400));
        support::time_point now{std::chrono::hours(1)};
        std::vector<span> spans;
        for (const int cost_ms : costs_ms) {
            now += support::milliseconds(*rc::gen::inRange(0, 3000));
            const auto allowed = budget.start(now);
            if (!allowed)
                continue;
            RC_ASSERT(!budget.start(now));
            const support::duration wanted = support::milliseconds(cost_ms);
            const support::duration took = std::min(wanted, *allowed);
            spans.push_back({now, now + took});
            now += took;
            budget.on_ended(took == wanted, now);
        }
        const support::duration most =
            support::from_ms(share * support::to_ms(probe_budget::window));
        for (const span& each : spans) {
            RC_ASSERT(within(spans, each.to) <= most);
            RC_ASSERT(within(spans, each.from + probe_budget::window) <= most);
        }
    }));
}

TEST_CASE("a probe that is cut off is followed by another one later")
{
    probe_budget budget(0.01);
    support::time_point now{std::chrono::hours(1)};
    int started = 0;
    for (int tick = 0; tick < 60'000; tick += 100) {
        now += support::milliseconds(100);
        const auto allowed = budget.start(now);
        if (!allowed)
            continue;
        ++started;
        now += *allowed;
        budget.on_ended(false, now);
    }
    CHECK(started >= 5);
}

TEST_CASE("only an idle gate probes, and a probe never hides running work")
{
    gate under_test(config::default_configuration());
    support::time_point now{std::chrono::hours(1)};
    CHECK_FALSE(under_test.start_probe(now));
    under_test.on_upstream(9, now);
    attempt call;
    call.key = {0, static_cast<support::call_id>(1)};
    call.rank = "urgent";
    call.deadline = now + std::chrono::hours(1);
    under_test.offer(call, now);
    under_test.on_ended(call.key, run_result::answered,
                        support::milliseconds(4), now);
    CHECK_FALSE(under_test.start_probe(now));
    under_test.offer(call, now);
    now += support::milliseconds(1'000);
    REQUIRE(under_test.start_probe(now));
    now += support::milliseconds(6);
    under_test.on_probe_ended(true, now);
    CHECK(under_test.report(now).running == 1);
    CHECK(under_test.report(now).service_ms == 4);
    now += support::milliseconds(1'000);
    REQUIRE(under_test.start_probe(now));
    now += support::milliseconds(18);
    under_test.on_probe_ended(true, now);
    CHECK(under_test.report(now).service_ms == Approx(12));
    under_test.on_ended(call.key, run_result::answered,
                        support::milliseconds(4), now);
    CHECK(under_test.report(now).service_ms == Approx(4));
    CHECK(under_test.probes().count() == 2);
    CHECK(under_test.probes().total_cost() == support::milliseconds(24));
}

} // namespace galenarudder::admission
