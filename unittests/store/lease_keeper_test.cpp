// The holder of a lease, paused at any moment, never believes in a lease that
// the store has ended; retries wait and grow.
#include "galenarudder/store/backoff.hpp"
#include "galenarudder/store/lease_keeper.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenarudder;
using support::milliseconds;
using support::time_point;

namespace {

constexpr milliseconds ttl{60000};

time_point at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

support::error store_down()
{
    return {support::error_kind::store_unavailable, "down", "wait"};
}

/// Grants a lease that is asked for at \p asked and answered at \p answered.
store::lease_keeper granted(std::int64_t asked, std::int64_t answered)
{
    store::lease_keeper keeper(ttl, 1);
    const auto wanted = keeper.on_tick(at(asked));
    REQUIRE(wanted.size() == 1);
    const auto grant = std::get<store::grant_wanted>(wanted[0]);
    keeper.on_granted(grant.request, std::string("lease-1"), at(answered));
    return keeper;
}

} // namespace

TEST_CASE("a lease is given up before the store ends it", "[lease]")
{
    struct row
    {
        std::int64_t ms;
        bool holds;
    };
    const row rows[] = {
        {1100, true}, {40999, true}, {41000, false}, {61000, false}};
    const store::lease_keeper keeper = granted(1000, 1100);
    for (const row& one : rows) {
        INFO(one.ms);
        CHECK(keeper.holds(at(one.ms)) == one.holds);
        CHECK(keeper.held(at(one.ms)) == (one.holds ? "lease-1" : ""));
    }
}

TEST_CASE("a lease is renewed at a third of its life", "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    CHECK(keeper.on_tick(at(20999)).empty());
    const auto wanted = keeper.on_tick(at(21000));
    REQUIRE(wanted.size() == 1);
    const auto renew = std::get<store::renew_wanted>(wanted[0]);
    CHECK(renew.lease == "lease-1");
    keeper.on_renewed(renew.request, boost::outcome_v2::success(), at(21010));
    CHECK(keeper.holds(at(60999)));
    CHECK_FALSE(keeper.holds(at(61000)));
}

TEST_CASE("a holder that was paused learns that its lease has lapsed",
          "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    // The process did not run from 2 s to 100 s.
    CHECK_FALSE(keeper.holds(at(100000)));
    const auto actions = keeper.on_tick(at(100000));
    REQUIRE(actions.size() == 1);
    CHECK(std::get<store::lease_lost>(actions[0]).lease == "lease-1");
    // Then it asks for a new one.
    const auto again = keeper.on_tick(at(100000));
    REQUIRE(again.size() == 1);
    CHECK(std::holds_alternative<store::grant_wanted>(again[0]));
}

TEST_CASE("a holder paused while it waits for the grant does not trust it",
          "[lease]")
{
    const store::lease_keeper keeper = granted(1000, 50000);
    CHECK_FALSE(keeper.holds(at(50000)));
}

TEST_CASE("an answer to an earlier request does not prolong the lease",
          "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    const auto first = keeper.on_tick(at(21000));
    const auto second = keeper.on_tick(at(31000));
    REQUIRE(second.size() == 1);
    const auto request = std::get<store::renew_wanted>(first[0]).request;
    keeper.on_renewed(request, boost::outcome_v2::success(), at(31001));
    CHECK_FALSE(keeper.holds(at(41000)));
}

TEST_CASE("a lease that the store has ended is lost at once", "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    const auto wanted = keeper.on_tick(at(21000));
    const auto request = std::get<store::renew_wanted>(wanted[0]).request;
    const support::result<void> lapsed = support::error{
        support::error_kind::not_found, "the lease has lapsed", "grant"};
    const auto actions = keeper.on_renewed(request, lapsed, at(21010));
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<store::lease_lost>(actions[0]));
    CHECK_FALSE(keeper.holds(at(21010)));
}

TEST_CASE("renewals are retried while the store is down", "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    unsigned tries = 0;
    bool lost = false;
    for (std::int64_t ms = 21000; ms < 42000; ms += 100) {
        for (const store::lease_action& action : keeper.on_tick(at(ms))) {
            lost = lost || std::holds_alternative<store::lease_lost>(action);
            if (const auto* renew = std::get_if<store::renew_wanted>(&action)) {
                ++tries;
                keeper.on_renewed(renew->request, store_down(), at(ms + 50));
            }
        }
    }
    CHECK(lost);
    CHECK(tries >= 2);
    CHECK(tries <= 6);
}

TEST_CASE("whatever happens, the holder's end is not behind the store's",
          "[lease]")
{
    REQUIRE(rc::check("random answers, delays and pauses", [] {
        store::lease_keeper keeper(ttl, *rc::gen::arbitrary<std::uint64_t>());
        std::int64_t now = 1000;
        std::int64_t store_end = -1;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const bool paused = *rc::gen::inRange(0, 10) == 0;
            now += paused ? *rc::gen::inRange(0, 120000)
                          : *rc::gen::inRange(1, 5000);
            for (const store::lease_action& action : keeper.on_tick(at(now))) {
                const std::int64_t taken = now + *rc::gen::inRange(0, 1000);
                const std::int64_t answered =
                    taken + *rc::gen::inRange(0, 30000);
                const bool fails = *rc::gen::inRange(0, 4) == 0;
                if (const auto* grant =
                        std::get_if<store::grant_wanted>(&action)) {
                    if (fails) {
                        keeper.on_granted(grant->request, store_down(),
                                          at(answered));
                    } else {
                        store_end = taken + ttl.count();
                        keeper.on_granted(grant->request, std::string("lease"),
                                          at(answered));
                    }
                    now = answered;
                }
                if (const auto* renew =
                        std::get_if<store::renew_wanted>(&action)) {
                    // The store may have taken a renewal it did not answer.
                    if (taken < store_end)
                        store_end = taken + ttl.count();
                    const support::result<void> answer =
                        fails ? support::result<void>(store_down())
                              : boost::outcome_v2::success();
                    keeper.on_renewed(renew->request, answer, at(answered));
                    now = answered;
                }
            }
            RC_ASSERT(!keeper.holds(at(now)) || now < store_end);
        }
    }));
}

TEST_CASE("retries wait longer each time, with jitter", "[backoff]")
{
    support::random_engine random(7);
    const store::backoff_limits limits;
    struct row
    {
        unsigned failures;
        std::int64_t least_ms;
        std::int64_t most_ms;
    };
    const row rows[] = {{0, 100, 200},
                        {1, 200, 400},
                        {3, 800, 1600},
                        {6, 5000, 10000},
                        {1000, 5000, 10000}};
    for (const row& one : rows) {
        for (int repeat = 0; repeat < 50; ++repeat) {
            const auto wait = store::backoff(limits, one.failures, random);
            CHECK(wait >= milliseconds(one.least_ms));
            CHECK(wait <= milliseconds(one.most_ms));
        }
    }
}
