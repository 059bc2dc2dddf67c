// When the store counts as lost and as regained.
#include "galenarudder/store/reachability.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace galenarudder;
using namespace galenarudder::store;

TEST_CASE("the store is lost by failures in a row and regained by an answer",
          "[store]")
{
    struct row
    {
        // One letter a call, 10 ms apart: a for answered, f for failed.
        std::string calls;
        // What each call tells: l for lost, r for regained.
        std::string told;
    };
    const auto given = GENERATE(row{"aaaa", "...."}, row{"afafa", "....."},
                                row{"ffff", ".l.."}, row{"ffafaff", ".lr...l"},
                                row{"fffa", ".l.r"});
    reachability under_test;
    support::time_point now{std::chrono::seconds(1)};
    std::string told;
    for (const char call : given.calls) {
        now += support::milliseconds(10);
        const auto change = under_test.on_call(call == 'a', now);
        told += !change ? '.' : change->reachable ? 'r' : 'l';
        if (change && change->reachable)
            CHECK(change->outage >= support::milliseconds(20));
    }
    CHECK(told == given.told);
}
