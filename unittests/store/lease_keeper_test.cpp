// A holder that is paused at any time never relies on a lease that the store
// has ended; retries back off.
#include "galenarudder/store/backoff.hpp"
#include "galenarudder/store/lease_keeper.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenarudder;
using support::milliseconds;
using support::time_point;

namespace {

constexpr milliseconds ttl{60000};

time_point time_at(std::int64_t ms)
{
    return time_point(milliseconds(ms));
}

support::error store_down()
{
    return {support::error_kind::store_unavailable, "down", "wait"};
}

/// Returns a keeper whose lease was requested at \p sent_ms and granted at
/// \p answered_ms.
store::lease_keeper granted(std::int64_t sent_ms, std::int64_t answered_ms)
{
    store::lease_keeper keeper(ttl, 1);
    const auto actions = keeper.on_tick(time_at(sent_ms));
    REQUIRE(actions.size() == 1);
    const auto grant = std::get<store::grant_request>(actions[0]);
    keeper.on_granted(grant.request_number, std::string("lease-1"),
                      time_at(answered_ms));
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
    for (const row& test_case : rows) {
        INFO(test_case.ms);
        CHECK(keeper.holds(time_at(test_case.ms)) == test_case.holds);
        CHECK(keeper.lease_id(time_at(test_case.ms)) ==
              (test_case.holds ? "lease-1" : ""));
    }
}

TEST_CASE("a lease is renewed after a third of its TTL", "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    CHECK(keeper.on_tick(time_at(20999)).empty());
    const auto actions = keeper.on_tick(time_at(21000));
    REQUIRE(actions.size() == 1);
    const auto renew = std::get<store::renewal_request>(actions[0]);
    CHECK(renew.lease == "lease-1");
    keeper.on_renewed(renew.request_number, boost::outcome_v2::success(),
                      time_at(21010));
    CHECK(keeper.holds(time_at(60999)));
    CHECK_FALSE(keeper.holds(time_at(61000)));
}

TEST_CASE("a holder that was paused learns that its lease has lapsed",
          "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    // The process did not run from 2 s to 100 s.
    CHECK_FALSE(keeper.holds(time_at(100000)));
    const auto actions = keeper.on_tick(time_at(100000));
    REQUIRE(actions.size() == 1);
    CHECK(std::get<store::lease_lost>(actions[0]).lease == "lease-1");
    // Then it requests a new one.
    const auto next_actions = keeper.on_tick(time_at(100000));
    REQUIRE(next_actions.size() == 1);
    CHECK(std::holds_alternative<store::grant_request>(next_actions[0]));
}

TEST_CASE(
    "a holder paused while it waits for a grant does not rely on the lease",
    "[lease]")
{
    const store::lease_keeper keeper = granted(1000, 50000);
    CHECK_FALSE(keeper.holds(time_at(50000)));
}

TEST_CASE("the answer to an earlier request does not extend the lease",
          "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    const auto first = keeper.on_tick(time_at(21000));
    const auto second = keeper.on_tick(time_at(31000));
    REQUIRE(second.size() == 1);
    const auto request =
        std::get<store::renewal_request>(first[0]).request_number;
    keeper.on_renewed(request, boost::outcome_v2::success(), time_at(31001));
    CHECK_FALSE(keeper.holds(time_at(41000)));
}

TEST_CASE("a lease is lost at once when the store reports that it has lapsed",
          "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    const auto actions = keeper.on_tick(time_at(21000));
    const auto request =
        std::get<store::renewal_request>(actions[0]).request_number;
    const support::result<void> lapsed = support::error{
        support::error_kind::not_found, "the lease has lapsed", "grant"};
    const auto lapse_actions =
        keeper.on_renewed(request, lapsed, time_at(21010));
    REQUIRE(lapse_actions.size() == 1);
    CHECK(std::holds_alternative<store::lease_lost>(lapse_actions[0]));
    CHECK_FALSE(keeper.holds(time_at(21010)));
}

TEST_CASE("renewals are retried while the store is down", "[lease]")
{
    store::lease_keeper keeper = granted(1000, 1100);
    unsigned renewals_sent = 0;
    bool lost = false;
    for (std::int64_t ms = 21000; ms < 42000; ms += 100) {
        for (const store::lease_action& action : keeper.on_tick(time_at(ms))) {
            lost = lost || std::holds_alternative<store::lease_lost>(action);
            if (const auto* renew =
                    std::get_if<store::renewal_request>(&action)) {
                ++renewals_sent;
                keeper.on_renewed(renew->request_number, store_down(),
                                  time_at(ms + 50));
            }
        }
    }
    CHECK(lost);
    CHECK(renewals_sent >= 2);
    CHECK(renewals_sent <= 6);
}

TEST_CASE("the holder never relies on a lease that the store has ended",
          "[lease]")
{
    REQUIRE(rc::check("random answers, delays and pauses", [] {
        store::lease_keeper keeper(ttl, *rc::gen::arbitrary<std::uint64_t>());
        std::int64_t now = 1000;
        std::int64_t store_expiry = -1;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            const bool paused = *rc::gen::inRange(0, 10) == 0;
            now += paused ? *rc::gen::inRange(0, 120000)
                          : *rc::gen::inRange(1, 5000);
            for (const store::lease_action& action :
                 keeper.on_tick(time_at(now))) {
                const std::int64_t processed_at =
                    now + *rc::gen::inRange(0, 1000);
                const std::int64_t answered_at =
                    processed_at + *rc::gen::inRange(0, 30000);
                const bool fails = *rc::gen::inRange(0, 4) == 0;
                if (const auto* grant =
                        std::get_if<store::grant_request>(&action)) {
                    if (fails) {
                        keeper.on_granted(grant->request_number, store_down(),
                                          time_at(answered_at));
                    } else {
                        store_expiry = processed_at + ttl.count();
                        keeper.on_granted(grant->request_number,
                                          std::string("lease"),
                                          time_at(answered_at));
                    }
                    now = answered_at;
                }
                if (const auto* renew =
                        std::get_if<store::renewal_request>(&action)) {
                    // The store may have processed a renewal without answering.
                    if (processed_at < store_expiry)
                        store_expiry = processed_at + ttl.count();
                    const support::result<void> answer =
                        fails ? support::result<void>(store_down())
                              : boost::outcome_v2::success();
                    keeper.on_renewed(renew->request_number, answer,
                                      time_at(answered_at));
                    now = answered_at;
                }
            }
            RC_ASSERT(!keeper.holds(time_at(now)) || now < store_expiry);
        }
    }));
}

TEST_CASE("retry delays grow exponentially with jitter", "[backoff]")
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
    for (const row& test_case : rows) {
        for (int repeat = 0; repeat < 50; ++repeat) {
            const auto wait =
                store::backoff(limits, test_case.failures, random);
            CHECK(wait >= milliseconds(test_case.least_ms));
            CHECK(wait <= milliseconds(test_case.most_ms));
        }
    }
}
