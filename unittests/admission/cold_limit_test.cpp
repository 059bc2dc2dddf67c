// A cold upstream gets no more calls than it takes, in any second.
#include "galenarudder/admission/cold_limit.hpp"

#include "galenarudder/admission/gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <optional>

namespace galenarudder::admission {

using namespace std::chrono_literals;

namespace {

const support::time_point start_time{100s};

/// Returns the largest number of \p times within any second from \p from on.
std::size_t most_in_a_second(const std::vector<support::time_point>& times,
                             support::time_point from)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first < from)
            continue;
        const auto end = std::lower_bound(first, times.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

/// An upstream behind a gate, under calls that arrive evenly.
struct cold_upstream
{
    explicit cold_upstream(double cold_calls_per_s)
        : under_test(config::default_configuration())
    {
        under_test.set_cold_rate(cold_calls_per_s, now);
        under_test.on_upstream_announced(12, now);
    }

    void carry_out(const std::vector<action>& actions)
    {
        for (const action& next : actions) {
            if (const auto* started = std::get_if<start>(&next)) {
                starts.push_back(now);
                ends.emplace(now + service_time, started->key);
                ++started_by_rank[ranks.at(started->key.id)];
            }
            if (const auto* refused = std::get_if<refuse>(&next)) {
                REQUIRE(refused->refusal.outcome ==
                        support::run_outcome::not_run);
                refusals.push_back(refused->refusal);
                returns.push_back(now + refused->refusal.retry_after);
            }
        }
    }

    void run(support::duration span, double calls_per_s)
    {
        const auto until = now + span;
        const auto interval = support::from_ms(1000 / calls_per_s);
        auto next_call = now;
        for (; now < until; now += 5ms) {
            while (!ends.empty() && ends.begin()->first <= now) {
                const attempt_key key = ends.begin()->second;
                ends.erase(ends.begin());
                carry_out(under_test.on_ended(key, run_result::answered,
                                              service_time, now));
            }
            for (; next_call <= now; next_call += interval) {
                attempt call;
                call.key = {1, static_cast<support::attempt_id>(++calls)};
                call.rank = calls % 5 == 0 ? "urgent" : "bulk";
                call.deadline = now + 1500ms;
                call.may_hand_back = may_hand_back;
                ranks[call.key.id] = call.rank;
                carry_out(under_test.offer(call, now));
            }
            carry_out(under_test.on_tick(now));
            if (under_test.take_cold_query(now))
                queries.push_back(now);
        }
    }

    gate under_test;
    support::time_point now = start_time;
    support::duration service_time = 50ms;
    bool may_hand_back = false;
    std::uint64_t calls = 0;
    std::vector<support::time_point> starts;
    std::vector<support::time_point> queries;
    std::vector<support::refusal> refusals;
    std::vector<support::time_point> returns;
    std::multimap<support::time_point, attempt_key> ends;
    std::map<support::attempt_id, std::string> ranks;
    std::map<std::string, int> started_by_rank;
};

} // namespace

TEST_CASE("a cold upstream gets its rate under 40 calls a second")
{
    const double rate = GENERATE(0.5, 4.0, 10.0, 25.0);
    cold_upstream upstream(rate);
    upstream.under_test.on_cold_stated(cold_source::announcement, 10s,
                                       upstream.now);
    upstream.run(10s, 40);
    CHECK(most_in_a_second(upstream.starts, start_time) <=
          std::max<std::size_t>(1, static_cast<std::size_t>(rate)));
    CHECK(static_cast<double>(upstream.starts.size()) >= 0.85 * 10 * rate);
    CHECK(upstream.queries.empty());
}

TEST_CASE("an upstream that becomes cold under load is over its rate at most "
          "until that is known")
{
    cold_upstream upstream(10);
    upstream.run(3s, 40);
    const support::time_point cold_since = upstream.now;
    upstream.under_test.on_cold_stated(cold_source::response, 5s, cold_since);
    upstream.run(4s, 40);
    CHECK(most_in_a_second(upstream.starts, cold_since) <= 10);
    // The starts of the second before count, so that the first ones wait.
    const auto first = std::upper_bound(upstream.starts.begin(),
                                        upstream.starts.end(), cold_since);
    REQUIRE(first != upstream.starts.end());
    CHECK(*first - cold_since > 500ms);
}

TEST_CASE("the urgent calls go first and the others are refused with the time "
          "of their turn")
{
    cold_upstream upstream(8);
    upstream.under_test.on_cold_stated(cold_source::announcement, 20s,
                                       upstream.now);
    upstream.run(10s, 40);
    // 8 of 40 calls are urgent, as many as the upstream takes.
    CHECK(upstream.started_by_rank["urgent"] >
          5 * upstream.started_by_rank["bulk"]);
    REQUIRE_FALSE(upstream.refusals.empty());
    for (const support::refusal& reason : upstream.refusals) {
        CHECK(reason.retry_after >= 100ms);
        CHECK(reason.retry_after <= 20s);
    }
    // Their turns are their own: no second of the cold time has more of them
    // than may start.
    std::sort(upstream.returns.begin(), upstream.returns.end());
    std::erase_if(upstream.returns,
                  [](auto at) { return at >= start_time + 20s; });
    CHECK(most_in_a_second(upstream.returns, start_time) <= 9);
}

TEST_CASE("an entry that can send elsewhere gets its call back at once")
{
    cold_upstream upstream(4);
    upstream.may_hand_back = true;
    upstream.under_test.on_cold_stated(cold_source::announcement, 20s,
                                       upstream.now);
    upstream.run(2s, 40);
    CHECK(upstream.under_test.counters().handed_back > 60);
    CHECK(upstream.under_test.counters().turned_away_cold ==
          upstream.refusals.size());
    CHECK(upstream.under_test.report(upstream.now).start_delay_ms > 0);
}

TEST_CASE("the upstream is queried only above its cold rate, 4 times a second")
{
    cold_upstream upstream(10);
    upstream.run(5s, 8);
    CHECK(upstream.queries.empty());
    upstream.run(5s, 40);
    CHECK(upstream.queries.size() >= 15);
    CHECK(upstream.queries.size() <= 20);
}

TEST_CASE("a service without a cold limit is neither limited nor queried")
{
    cold_upstream upstream(0);
    upstream.under_test.on_cold_stated(cold_source::announcement, 10s,
                                       upstream.now);
    upstream.run(2s, 40);
    CHECK(upstream.starts.size() == upstream.calls);
    CHECK(upstream.queries.empty());
}

TEST_CASE("an announcement that left before does not end a cold time")
{
    cold_limit limit;
    limit.set_rate(10);
    limit.on_stated(cold_source::response, 5s, start_time);
    limit.on_stated(cold_source::announcement, 0s, start_time + 100ms);
    CHECK(limit.remaining(start_time + 1s) == 4s);
    limit.on_stated(cold_source::response, 0s, start_time + 2s);
    CHECK_FALSE(limit.applies(start_time + 2s));
}

TEST_CASE("a new instance begins without the calls of the earlier one")
{
    cold_limit limit;
    limit.set_rate(2);
    for (int call = 0; call < 50; ++call)
        limit.on_start(start_time);
    limit.on_stated(cold_source::announcement, 5s, start_time);
    CHECK(limit.wait(0, start_time) > 0s);
    limit.on_new_instance(start_time);
    limit.on_stated(cold_source::announcement, 5s, start_time);
    CHECK(limit.wait(0, start_time) == 0s);
}

// Guards against full rate after a start while nothing is known of the
// upstream.
TEST_CASE("the limit applies while the state of a new instance is unknown")
{
    cold_limit limit;
    limit.set_rate(2);
    const bool by_failed_query = GENERATE(false, true);
    limit.on_new_instance(start_time);
    if (by_failed_query) {
        limit.on_stated(cold_source::announcement, 0s, start_time);
        REQUIRE_FALSE(limit.applies(start_time));
        limit.on_query_failed(start_time + 1s);
    }
    const support::time_point now = start_time + 1s;
    CHECK(limit.applies(now));
    CHECK_FALSE(limit.needs_query(now));
    limit.on_start(now);
    CHECK(limit.wait(0, now) > 0ms);
    CHECK(limit.needs_query(now));
    limit.on_stated(cold_source::response, 0s, now);
    CHECK_FALSE(limit.applies(now));
    // A busy upstream that has long been warm may not answer a query in time.
    const support::time_point later = start_time + cold_limit::start_span;
    limit.on_query_failed(later);
    CHECK_FALSE(limit.applies(later));
}

TEST_CASE("the gate of an emptied domain turns all calls away as not run")
{
    cold_upstream upstream(0);
    upstream.run(200ms, 40);
    const std::size_t before = upstream.starts.size();
    upstream.carry_out(upstream.under_test.set_emptied(true, upstream.now));
    upstream.run(1s, 40);
    CHECK(upstream.starts.size() == before);
    CHECK(upstream.refusals.back().kind == support::refusal_kind::draining);
    CHECK_FALSE(upstream.under_test.start_probe(upstream.now));
    // Running calls ended meanwhile.
    CHECK(upstream.under_test.running() == 0);
    upstream.under_test.set_emptied(false, upstream.now);
    upstream.run(1s, 40);
    CHECK(upstream.starts.size() > before + 30);
}

TEST_CASE("no second of a known cold time holds more than the limit")
{
    rc::prop("any arrivals and statements", [] {
        const double rate = *rc::gen::inRange(1, 400) / 10.0;
        cold_limit limit;
        limit.set_rate(rate);
        std::vector<support::time_point> starts;
        auto now = start_time;
        // Number of starts before the cold time that is known at present.
        // Starts at the instant of its statement, but before it, do not count.
        std::optional<std::size_t> starts_before;
        const auto permitted =
            std::max<std::size_t>(1, static_cast<std::size_t>(rate));
        for (int step = 0; step < 400; ++step) {
            now += support::milliseconds(*rc::gen::inRange(0, 40));
            if (*rc::gen::inRange(0, 20) == 0) {
                const auto source = *rc::gen::element(cold_source::announcement,
                                                      cold_source::response);
                limit.on_stated(
                    source, support::milliseconds(*rc::gen::inRange(0, 4000)),
                    now);
            }
            if (!limit.applies(now))
                starts_before.reset();
            else if (!starts_before)
                starts_before = starts.size();
            const int offered = *rc::gen::inRange(0, 8);
            for (int call = 0; call < offered; ++call) {
                if (limit.wait(0, now) > 0s)
                    break;
                limit.on_start(now);
                starts.push_back(now);
            }
            if (!starts_before)
                continue;
            const std::vector<support::time_point> cold_starts(
                starts.begin() + static_cast<std::ptrdiff_t>(*starts_before),
                starts.end());
            RC_ASSERT(most_in_a_second(cold_starts, start_time) <= permitted);
        }
    });
}

} // namespace galenarudder::admission
