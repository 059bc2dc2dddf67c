// The outcome of a swap is determined whichever answers are lost.
#include "galenarudder/store/resolve_swap.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <optional>

using namespace galenarudder;
using namespace galenarudder::store;
using support::error_kind;
using trompeloeil::_;

namespace {

class mock_store : public platform_store
{
public:
    MAKE_MOCK4(get,
               void(const std::string&,
                    read_freshness,
                    support::duration,
                    callback<indexed_value>),
               override);
    MAKE_MOCK4(list,
               void(const std::string&,
                    read_freshness,
                    support::duration,
                    callback<std::vector<listed_value>>),
               override);
    MAKE_MOCK6(compare_and_swap,
               void(const std::string&,
                    std::string,
                    const change_index&,
                    const std::string&,
                    support::duration,
                    callback<swap_outcome>),
               override);
    MAKE_MOCK4(watch,
               void(const std::string&,
                    const change_index&,
                    support::duration,
                    callback<indexed_value>),
               override);
    MAKE_MOCK3(grant_lease,
               void(support::duration,
                    support::duration,
                    callback<std::string>),
               override);
    MAKE_MOCK3(renew_lease,
               void(const std::string&, support::duration, callback<void>),
               override);
    MAKE_MOCK3(revoke_lease,
               void(const std::string&, support::duration, callback<void>),
               override);
    MAKE_CONST_MOCK0(counters, store_counters(), override);
};

support::error failure(error_kind kind)
{
    return {kind, "no answer", "read back"};
}

/// What the store does with a swap and how it answers.
enum class swap_effect
{
    swapped,
    mismatch,
    /// The write took effect, but its answer was lost.
    answer_lost,
    /// The request was lost and took no effect.
    request_lost,
    /// Nothing was sent.
    unavailable
};

struct row
{
    const char* name;
    std::vector<swap_effect> swaps;
    /// Whether another writer changes the key after the first swap.
    bool overwritten;
    bool readable;
    std::optional<swap_outcome> expected;
    error_kind error;
};

} // namespace

TEST_CASE("the outcome of a swap is determined whichever answers are lost",
          "[store]")
{
    const row rows[] = {
        {"answered",
         {swap_effect::swapped},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"conflict",
         {swap_effect::mismatch},
         false,
         true,
         swap_outcome::index_mismatch,
         {}},
        {"took effect, answer lost",
         {swap_effect::answer_lost},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"request lost, swapped again",
         {swap_effect::request_lost, swap_effect::swapped},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"request lost, overwritten by another",
         {swap_effect::request_lost},
         true,
         true,
         swap_outcome::index_mismatch,
         {}},
        {"request lost, answer of the second swap lost",
         {swap_effect::request_lost, swap_effect::answer_lost},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"every request lost",
         {swap_effect::request_lost, swap_effect::request_lost,
          swap_effect::request_lost},
         false,
         true,
         std::nullopt,
         error_kind::store_outcome_unknown},
        {"store unreachable after the swap",
         {swap_effect::answer_lost},
         false,
         false,
         std::nullopt,
         error_kind::store_outcome_unknown},
        {"nothing was sent",
         {swap_effect::unavailable},
         false,
         false,
         std::nullopt,
         error_kind::store_unavailable},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        mock_store platform;
        indexed_value stored{"old", {4}, ""};
        std::size_t next_swap = 0;
        ALLOW_CALL(platform,
                   compare_and_swap("key", _, change_index{4}, "", _, _))
            .LR_SIDE_EFFECT({
                REQUIRE(next_swap < test_case.swaps.size());
                const swap_effect effect = test_case.swaps[next_swap++];
                const bool takes_effect = effect == swap_effect::swapped ||
                                          effect == swap_effect::answer_lost;
                if (takes_effect)
                    stored = {_2, {5}, ""};
                if (test_case.overwritten)
                    stored = {"other", {9}, ""};
                if (effect == swap_effect::swapped)
                    _6(swap_outcome::swapped);
                else if (effect == swap_effect::mismatch)
                    _6(swap_outcome::index_mismatch);
                else if (effect == swap_effect::unavailable)
                    _6(failure(error_kind::store_unavailable));
                else
                    _6(failure(error_kind::store_outcome_unknown));
            });
        ALLOW_CALL(platform, get("key", read_freshness::newest, _, _))
            .LR_SIDE_EFFECT({
                if (test_case.readable)
                    _4(stored);
                else
                    _4(failure(error_kind::store_unavailable));
            });
        resolvable_swap request;
        request.key = "key";
        request.value = "new change-17";
        request.expected_index = {4};
        request.contains_change = [](std::string_view value) {
            return value.find("change-17") != std::string_view::npos;
        };
        std::optional<support::result<swap_outcome>> outcome;
        resolve_swap(platform, request,
                     [&](support::result<swap_outcome> result) {
                         REQUIRE_FALSE(outcome);
                         outcome.emplace(std::move(result));
                     });
        REQUIRE(outcome);
        REQUIRE(outcome->has_value() == test_case.expected.has_value());
        if (test_case.expected)
            CHECK(outcome->value() == *test_case.expected);
        else
            CHECK(outcome->error().kind == test_case.error);
        CHECK(next_swap == test_case.swaps.size());
    }
}
