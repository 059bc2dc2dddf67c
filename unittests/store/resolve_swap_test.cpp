// The outcome of a swap is found out whichever answers are lost.
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
    MAKE_MOCK3(get,
               void(const std::string&,
                    support::duration,
                    callback<versioned_value>),
               override);
    MAKE_MOCK3(list,
               void(const std::string&,
                    support::duration,
                    callback<std::vector<listed_value>>),
               override);
    MAKE_MOCK6(compare_and_swap,
               void(const std::string&,
                    std::string,
                    std::uint64_t,
                    const std::string&,
                    support::duration,
                    callback<swap_outcome>),
               override);
    MAKE_MOCK4(watch,
               void(const std::string&,
                    std::uint64_t,
                    support::duration,
                    callback<versioned_value>),
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

/// What the store does with a swap, and what it tells.
enum class told
{
    swapped,
    mismatch,
    /// The write took effect and its answer was lost.
    lost_after,
    /// The request was lost on its way.
    lost_before,
    /// Nothing was sent.
    unavailable
};

struct row
{
    const char* what;
    std::vector<told> swaps;
    /// Whether another writer changes the key after the first swap.
    bool overwritten;
    bool readable;
    std::optional<swap_outcome> expected;
    error_kind error;
};

} // namespace

TEST_CASE("a lost answer is resolved by reading back", "[store]")
{
    const row rows[] = {
        {"answered", {told::swapped}, false, true, swap_outcome::swapped, {}},
        {"conflict",
         {told::mismatch},
         false,
         true,
         swap_outcome::index_mismatch,
         {}},
        {"took effect, answer lost",
         {told::lost_after},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"request lost, swapped again",
         {told::lost_before, told::swapped},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"request lost, another wrote",
         {told::lost_before},
         true,
         true,
         swap_outcome::index_mismatch,
         {}},
        {"first landed late, second mismatched",
         {told::lost_before, told::lost_after},
         false,
         true,
         swap_outcome::swapped,
         {}},
        {"never lands",
         {told::lost_before, told::lost_before, told::lost_before},
         false,
         true,
         std::nullopt,
         error_kind::store_outcome_unknown},
        {"store gone after the swap",
         {told::lost_after},
         false,
         false,
         std::nullopt,
         error_kind::store_outcome_unknown},
        {"nothing was sent",
         {told::unavailable},
         false,
         false,
         std::nullopt,
         error_kind::store_unavailable},
    };
    for (const row& one : rows) {
        INFO(one.what);
        mock_store platform;
        versioned_value held{"old", 4, ""};
        std::size_t next = 0;
        ALLOW_CALL(platform, compare_and_swap("key", _, 4u, "", _, _))
            .LR_SIDE_EFFECT({
                REQUIRE(next < one.swaps.size());
                const told how = one.swaps[next++];
                const bool lands =
                    how == told::swapped || how == told::lost_after;
                if (lands)
                    held = {_2, 5, ""};
                if (one.overwritten)
                    held = {"other", 9, ""};
                if (how == told::swapped)
                    _6(swap_outcome::swapped);
                else if (how == told::mismatch)
                    _6(swap_outcome::index_mismatch);
                else if (how == told::unavailable)
                    _6(failure(error_kind::store_unavailable));
                else
                    _6(failure(error_kind::store_outcome_unknown));
            });
        ALLOW_CALL(platform, get("key", _, _)).LR_SIDE_EFFECT({
            if (one.readable)
                _3(held);
            else
                _3(failure(error_kind::store_unavailable));
        });
        resolvable_swap wanted;
        wanted.key = "key";
        wanted.value = "new change-17";
        wanted.expected_index = 4;
        wanted.contains_change = [](std::string_view value) {
            return value.find("change-17") != std::string_view::npos;
        };
        std::optional<support::result<swap_outcome>> outcome;
        resolve_swap(platform, wanted, [&](support::result<swap_outcome> end) {
            REQUIRE_FALSE(outcome);
            outcome.emplace(std::move(end));
        });
        REQUIRE(outcome);
        REQUIRE(outcome->has_value() == one.expected.has_value());
        if (one.expected)
            CHECK(outcome->value() == *one.expected);
        else
            CHECK(outcome->error().kind == one.error);
        CHECK(next == one.swaps.size());
    }
}
