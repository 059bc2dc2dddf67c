// The probe budget in any window, and estimates from probes of idle upstreams.
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/admission/probe_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace galenarudder::admission {

namespace {

struct probe_span
{
    support::time_point from;
    support::time_point to;
};

/// Returns the part of the spans' time that lies in the window that ends at
/// \p end.
support::duration time_in_window(const std::vector<probe_span>& spans,
                                 support::time_point end)
{
    support::duration total{};
    for (const probe_span& probe : spans) {
        const auto from = std::max(probe.from, end - probe_budget::window);
        const auto to = std::min(probe.to, end);
        if (from < to)
            total += to - from;
    }
    return total;
}

} // namespace

TEST_CASE("probes stay within their budget in any window")
{
    CHECK(rc::check([] {
        const double share = *rc::gen::inRange(0, 30) / 1000.0;
        probe_budget budget(share);
        const auto costs_ms =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 400));
        support::time_point now{std::chrono::hours(1)};
        std::vector<probe_span> spans;
        for (const int cost_ms : costs_ms) {
            now += support::milliseconds(*rc::gen::inRange(0, 3000));
            const auto allowed = budget.start(now);
            if (!allowed)
                continue;
            RC_ASSERT(!budget.start(now));
            const support::duration full_time = support::milliseconds(cost_ms);
            const support::duration actual_time = std::min(full_time, *allowed);
            spans.push_back({now, now + actual_time});
            now += actual_time;
            budget.on_ended(actual_time == full_time, now);
        }
        const support::duration max_time =
            support::from_ms(share * support::to_ms(probe_budget::window));
        for (const probe_span& probe : spans) {
            RC_ASSERT(time_in_window(spans, probe.to) <= max_time);
            RC_ASSERT(
                time_in_window(spans, probe.from + probe_budget::window) <=
                max_time);
        }
    }));
}

TEST_CASE("probing continues after probes that reach their time limit")
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

TEST_CASE("a gate probes only when no call was answered recently, and reports "
          "still include running calls")
{
    gate under_test(config::default_configuration());
    support::time_point now{std::chrono::hours(1)};
    CHECK_FALSE(under_test.start_probe(now));
    under_test.on_upstream_announced(9, now);
    attempt call;
    call.key = {0, static_cast<support::attempt_id>(1)};
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
