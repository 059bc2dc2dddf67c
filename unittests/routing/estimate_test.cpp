// Expected completion times, budgets for extra attempts and latency
// percentiles.
#include "galenarudder/routing/estimate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenarudder;
using namespace galenarudder::routing;
using support::milliseconds;
using support::time_point;

namespace {

const time_point now{std::chrono::seconds(100)};

/// An upstream with a concurrency limit of 9 and, by default, 10 ms per call,
/// whose report arrived at \c now.
struct reported_upstream : upstream_state
{
    explicit reported_upstream(std::uint32_t running,
                               std::uint32_t waiting = 0,
                               double service_ms = 10)
    {
        service->mean_service_ms = 10;
        service->mean_load = 0.5;
        reported_limit = 9;
        reported_running = running;
        reported_waiting = waiting;
        for (auto& ahead : reported_waiting_ahead)
            ahead = waiting;
        reported_service_ms = service_ms;
        reported_at_ns = now.time_since_epoch().count();
    }
};

double cost_ms(const upstream_state& upstream,
               time_point at = now,
               std::size_t rank = 0)
{
    return expected_completion_ms(upstream, {at, rank, 9, 5000});
}

} // namespace

TEST_CASE(
    "load, service time, round-trip time, failures and slow start raise the "
    "estimate",
    "[routing]")
{
    reported_upstream idle(0);
    CHECK(cost_ms(idle) < cost_ms(reported_upstream(5)));
    CHECK(cost_ms(reported_upstream(9)) < cost_ms(reported_upstream(9, 9)));
    CHECK(cost_ms(idle) < cost_ms(reported_upstream(0, 0, 100)));
    reported_upstream distant(0);
    distant.link->record_round_trip(milliseconds(6));
    CHECK(cost_ms(distant) == Approx(cost_ms(idle) + 6));
    reported_upstream failing(0, 0, 0.1);
    failing.error_rate = 0.5;
    failing.failed_at_ns = now.time_since_epoch().count();
    CHECK(cost_ms(failing) > cost_ms(reported_upstream(9)));
    reported_upstream just_started(0);
    just_started.serving_since_ns = now.time_since_epoch().count();
    // At twice the cost the upstream gets fewer calls but still takes load from
    // the others while upstreams are replaced one after another.
    CHECK(cost_ms(just_started) == Approx(2 * cost_ms(idle)));
}

TEST_CASE(
    "reports lose weight with age, outstanding calls of this entry do not",
    "[routing]")
{
    reported_upstream busy(9, 20);
    reported_upstream idle(0);
    const time_point later = now + milliseconds(10'000);
    CHECK(cost_ms(busy) - cost_ms(idle) > 10);
    CHECK(cost_ms(busy, later) - cost_ms(idle, later) < 1);
    reported_upstream with_own_calls(0);
    with_own_calls.sent_since_report = 20;
    with_own_calls.outstanding = 20;
    CHECK(cost_ms(with_own_calls) > cost_ms(idle) + 10);
}

TEST_CASE("only calls of the same or a more urgent rank count as ahead",
          "[routing]")
{
    reported_upstream with_bulk_waiting(9, 0);
    for (std::size_t rank = 2; rank < max_ranks; ++rank)
        with_bulk_waiting.reported_waiting_ahead.at(rank) = 90;
    CHECK(cost_ms(with_bulk_waiting, now, 0) + 50 <
          cost_ms(with_bulk_waiting, now, 2));
}

TEST_CASE("the estimate rises while an upstream answers no call", "[routing]")
{
    reported_upstream stalled(1);
    stalled.outstanding = 1;
    stalled.progress_at_ns = now.time_since_epoch().count();
    CHECK(cost_ms(stalled, now + milliseconds(200)) > cost_ms(stalled) + 150);
}

TEST_CASE("a slowdown adds its remaining duration to the estimate", "[routing]")
{
    reported_upstream slow(0);
    slow.starts_calls_at_ns =
        (now + milliseconds(100)).time_since_epoch().count();
    const reported_upstream idle(0);
    CHECK(cost_ms(slow) == Approx(cost_ms(idle) + 100));
    const time_point later = now + milliseconds(101);
    CHECK(cost_ms(slow, later) == Approx(cost_ms(idle, later)));
}

TEST_CASE(
    "a single outstanding call counts as a stall only after two service times",
    "[routing]")
{
    reported_upstream recently_answered(9, 9);
    recently_answered.outstanding = 8;
    recently_answered.progress_at_ns =
        (now - milliseconds(1)).time_since_epoch().count();
    reported_upstream without_answer(1);
    without_answer.outstanding = 1;
    without_answer.progress_at_ns =
        (now - milliseconds(19)).time_since_epoch().count();
    reported_upstream just_sent(1);
    just_sent.outstanding = 1;
    just_sent.progress_at_ns = now.time_since_epoch().count();
    CHECK(cost_ms(without_answer) == Approx(cost_ms(just_sent)));
    CHECK(cost_ms(without_answer) < cost_ms(recently_answered));
}

TEST_CASE("extra attempts stay within their share of calls", "[routing]")
{
    rc::check("taken <= share of deposits + burst", [] {
        const double share = *rc::gen::inRange(0, 101) / 100.0;
        const auto events = *rc::gen::arbitrary<std::vector<bool>>();
        extra_attempt_budget tokens;
        double deposits = 0;
        double taken = 0;
        for (const bool is_call : events) {
            if (is_call) {
                tokens.deposit(share);
                deposits += share;
            } else if (tokens.try_take()) {
                ++taken;
            }
        }
        RC_ASSERT(taken <= deposits + extra_attempt_budget::max_burst);
    });
}

TEST_CASE("the histogram returns percentiles of recent latencies", "[routing]")
{
    latency_histogram histogram;
    CHECK_FALSE(histogram.percentile(0.95));
    for (int count = 0; count < 950; ++count)
        histogram.record(milliseconds(10));
    for (int count = 0; count < 50; ++count)
        histogram.record(milliseconds(100));
    const double median = support::to_ms(*histogram.percentile(0.5));
    const double high = support::to_ms(*histogram.percentile(0.99));
    CHECK(median == Approx(10).epsilon(0.25));
    CHECK(high == Approx(100).epsilon(0.25));
    for (int count = 0; count < 20'000; ++count)
        histogram.record(milliseconds(1));
    CHECK(support::to_ms(*histogram.percentile(0.99)) < 2);
}
