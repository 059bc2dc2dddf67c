// What moves the expected completion, and budgets and percentiles.
#include "galenarudder/routing/estimate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenarudder;
using namespace galenarudder::routing;
using support::milliseconds;
using support::time_point;

namespace {

const time_point now{std::chrono::seconds(100)};

/// An upstream with 9 slots, 10 ms a call, reported at \p now.
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
        for (auto& ahead : reported_ahead)
            ahead = waiting;
        reported_service_ms = service_ms;
        reported_at_ns = now.time_since_epoch().count();
    }
};

double
cost(const upstream_state& upstream, time_point at = now, std::size_t rank = 0)
{
    return expected_ms(upstream, {at, rank, 9, 5000});
}

} // namespace

TEST_CASE("load, speed, link and errors raise the estimate", "[routing]")
{
    reported_upstream idle(0);
    CHECK(cost(idle) < cost(reported_upstream(5)));
    CHECK(cost(reported_upstream(9)) < cost(reported_upstream(9, 9)));
    CHECK(cost(idle) < cost(reported_upstream(0, 0, 100)));
    reported_upstream far(0);
    far.link->on_trip(milliseconds(6));
    CHECK(cost(far) == Approx(cost(idle) + 6));
    reported_upstream failing(0, 0, 0.1);
    failing.error_rate = 0.5;
    failing.failed_at_ns = now.time_since_epoch().count();
    CHECK(cost(failing) > cost(reported_upstream(9)));
    reported_upstream cold(0);
    cold.serving_since_ns = now.time_since_epoch().count();
    // Half the share: enough to spare it, not so little that the others
    // carry all its calls while upstreams are replaced one after another.
    CHECK(cost(cold) == Approx(2 * cost(idle)));
}

TEST_CASE("a report counts less with age, own calls do not", "[routing]")
{
    reported_upstream busy(9, 20);
    reported_upstream idle(0);
    const time_point later = now + milliseconds(10'000);
    CHECK(cost(busy) - cost(idle) > 10);
    CHECK(cost(busy, later) - cost(idle, later) < 1);
    reported_upstream sent(0);
    sent.sent_since_report = 20;
    sent.outstanding = 20;
    CHECK(cost(sent) > cost(idle) + 10);
}

TEST_CASE("only work ahead of the rank counts", "[routing]")
{
    reported_upstream flooded(9, 0);
    for (std::size_t rank = 2; rank < max_ranks; ++rank)
        flooded.reported_ahead.at(rank) = 90;
    CHECK(cost(flooded, now, 0) + 50 < cost(flooded, now, 2));
}

TEST_CASE("an upstream without progress grows costly", "[routing]")
{
    reported_upstream stalled(1);
    stalled.outstanding = 1;
    stalled.progress_at_ns = now.time_since_epoch().count();
    CHECK(cost(stalled, now + milliseconds(200)) > cost(stalled) + 150);
}

TEST_CASE("a slow spell costs what is left of it", "[routing]")
{
    reported_upstream slow(0);
    slow.spell_until_ns = (now + milliseconds(100)).time_since_epoch().count();
    const reported_upstream idle(0);
    CHECK(cost(slow) == Approx(cost(idle) + 100));
    const time_point later = now + milliseconds(101);
    CHECK(cost(slow, later) == Approx(cost(idle, later)));
}

TEST_CASE("a single call under way is no stall", "[routing]")
{
    reported_upstream near(9, 9);
    near.outstanding = 8;
    near.progress_at_ns = (now - milliseconds(1)).time_since_epoch().count();
    reported_upstream quiet(1);
    quiet.outstanding = 1;
    quiet.progress_at_ns = (now - milliseconds(19)).time_since_epoch().count();
    reported_upstream fresh(1);
    fresh.outstanding = 1;
    fresh.progress_at_ns = now.time_since_epoch().count();
    CHECK(cost(quiet) == Approx(cost(fresh)));
    CHECK(cost(quiet) < cost(near));
}

TEST_CASE("extra attempts stay within their share", "[routing]")
{
    rc::check("taken <= share of deposits + burst", [] {
        const double share = *rc::gen::inRange(0, 101) / 100.0;
        const auto steps = *rc::gen::arbitrary<std::vector<bool>>();
        budget tokens;
        double deposits = 0;
        double taken = 0;
        for (const bool is_call : steps) {
            if (is_call) {
                tokens.deposit(share);
                deposits += share;
            } else if (tokens.take()) {
                ++taken;
            }
        }
        RC_ASSERT(taken <= deposits + budget::max_burst);
    });
}

TEST_CASE("the histogram knows recent percentiles", "[routing]")
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
