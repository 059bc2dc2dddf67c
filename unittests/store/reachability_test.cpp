// When the store counts as lost and when as regained.
#include "galenarudder/store/reachability.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace galenarudder;
using namespace galenarudder::store;

TEST_CASE("the store is lost by consecutive failures and regained by an answer",
          "[store]")
{
    struct row
    {
        // One letter for each call, 10 ms apart: a for one that the store
        // answered, f for a failed one.
        std::string calls;
        // The change that each call reports: l for lost, r for regained.
        std::string changes;
    };
    const auto test_case = GENERATE(
        row{"aaaa", "...."}, row{"afafa", "....."}, row{"ffff", ".l.."},
        row{"ffafaff", ".lr...l"}, row{"fffa", ".l.r"});
    reachability under_test;
    support::time_point now{std::chrono::seconds(1)};
    std::string changes;
    for (const char call : test_case.calls) {
        now += support::milliseconds(10);
        const auto change = under_test.on_call(call == 'a', now);
        changes += !change ? '.' : change->reachable ? 'r' : 'l';
        if (change && change->reachable)
            CHECK(change->outage >= support::milliseconds(20));
    }
    CHECK(changes == test_case.changes);
}
