// What the tool says of a change is true, whatever the store does.
#include "galenarudder/operators/change.hpp"

#include "galenarudder/operators/hand_over.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;
using operators::change_verdict;

namespace {

config::document files_with(double share)
{
    config::document files;
    files.base = nlohmann::json::parse(R"({
      "format": "galenarudder-base-1", "ranks": [{"name": "normal"}],
      "services": [],
      "limits": {"retry_share":
        {"value": 0, "min": 0, "max": 1, "mover": "site"}}})");
    files.base["limits"]["retry_share"]["value"] = share;
    return files;
}

std::string stored_text(std::uint64_t version, double share)
{
    config::document whole = files_with(share);
    whole.version = version;
    whole.change_id = "theirs-" + std::to_string(version);
    whole.author = "boris";
    return config::serialize(whole);
}

/// How one swap goes.
enum class swap_behaviour
{
    answered,
    lost_after_write,
    lost_before_write,
    not_connected,
    /// Another operator's change lands just before.
    overtaken,
    /// The own write lands, then another operator's, and the answer is lost.
    lost_and_replaced,
};

class fake_store final : public operators::configuration_store
{
public:
    support::result<operators::stored_configuration> read() override
    {
        ++reads;
        if (reads > readable_reads)
            return down();
        return held;
    }
    support::result<bool> swap(const std::string& text,
                               std::uint64_t expected_index) override
    {
        const swap_behaviour behaviour = swaps == 0 ? first_swap : later_swaps;
        ++swaps;
        if (behaviour == swap_behaviour::not_connected)
            return down();
        if (behaviour == swap_behaviour::overtaken)
            held = {stored_text(9, 0.9), held.index + 1};
        if (behaviour == swap_behaviour::lost_before_write)
            return lost();
        if (expected_index != held.index)
            return false;
        held = {text, held.index + 1};
        if (behaviour == swap_behaviour::answered)
            return true;
        if (behaviour == swap_behaviour::lost_and_replaced)
            replace();
        return lost();
    }

    operators::stored_configuration held;
    swap_behaviour first_swap = swap_behaviour::answered;
    swap_behaviour later_swaps = swap_behaviour::answered;
    int readable_reads = 1000;
    int reads = 0;
    int swaps = 0;

private:
    static support::error down()
    {
        return {support::error_kind::store_unavailable, "the store is down",
                "wait"};
    }
    static support::error lost()
    {
        return {support::error_kind::store_outcome_unknown, "no answer",
                "read back"};
    }
    void replace()
    {
        auto own = config::parse_document(held.text).value();
        config::document next = files_with(0.7);
        next.version = own.version + 1;
        next.change_id = "later";
        next.history.push_back(config::change_of(own));
        held = {config::serialize(next), held.index + 1};
    }
};

operators::patience tries(int count)
{
    return [count]() mutable { return count-- > 0; };
}

operators::change_request own_change(double share)
{
    operators::change_request wanted;
    wanted.files = files_with(share);
    wanted.change_id = "own";
    wanted.author = "ana";
    return wanted;
}

} // namespace

TEST_CASE("the verdict is what the store shows", "[operators]")
{
    using behaviour = swap_behaviour;
    struct row
    {
        behaviour first;
        behaviour later;
        int readable;
        change_verdict verdict;
    };
    constexpr int all = 1000;
    const auto now = GENERATE(values<row>({
        {behaviour::answered, behaviour::answered, all,
         change_verdict::accepted},
        {behaviour::lost_after_write, behaviour::answered, all,
         change_verdict::accepted},
        {behaviour::lost_before_write, behaviour::answered, all,
         change_verdict::accepted},
        {behaviour::lost_before_write, behaviour::lost_after_write, all,
         change_verdict::accepted},
        {behaviour::lost_and_replaced, behaviour::answered, all,
         change_verdict::accepted},
        {behaviour::overtaken, behaviour::answered, all,
         change_verdict::conflict},
        {behaviour::overtaken, behaviour::answered, 1,
         change_verdict::conflict},
        {behaviour::not_connected, behaviour::answered, all,
         change_verdict::not_written},
        {behaviour::lost_after_write, behaviour::answered, 1,
         change_verdict::not_known},
        {behaviour::lost_before_write, behaviour::lost_before_write, all,
         change_verdict::not_known},
        {behaviour::answered, behaviour::answered, 0,
         change_verdict::not_written},
    }));
    CAPTURE(static_cast<int>(now.first), static_cast<int>(now.later),
            now.readable);
    fake_store store;
    store.held = {stored_text(4, 0.4), 40};
    store.first_swap = now.first;
    store.later_swaps = now.later;
    store.readable_reads = now.readable;
    const auto outcome =
        operators::apply_change(own_change(0.2), store, tries(3));
    CHECK(outcome.verdict == now.verdict);
    const auto in_store = config::parse_document(store.held.text).value();
    const bool written = operators::find_change(in_store, "own") !=
                         operators::change_state::not_found;
    if (now.verdict == change_verdict::accepted)
        CHECK(written);
    if (now.verdict == change_verdict::conflict ||
        now.verdict == change_verdict::not_written)
        CHECK_FALSE(written);
    CHECK(outcome.replaced_by.has_value() ==
          (now.first == behaviour::lost_and_replaced));
}

TEST_CASE("a conflict names the other's change and what differs", "[operators]")
{
    fake_store store;
    store.held = {stored_text(4, 0.4), 40};
    store.first_swap = swap_behaviour::overtaken;
    const auto outcome =
        operators::apply_change(own_change(0.2), store, tries(3));
    CHECK(outcome.stored.author == "boris");
    REQUIRE(outcome.differing.size() == 1);
    CHECK(operators::describe(outcome.differing.front()) ==
          "base /limits/retry_share/value: 0.9 -> 0.2");
}

TEST_CASE("applying again writes nothing", "[operators]")
{
    fake_store store;
    REQUIRE(operators::apply_change(own_change(0.2), store, tries(1)).verdict ==
            change_verdict::accepted);
    const auto again =
        operators::apply_change(own_change(0.2), store, tries(1));
    CHECK(again.verdict == change_verdict::already_in_force);
    CHECK(again.stored.change_id == "own");
    CHECK(store.swaps == 1);
}

TEST_CASE("a change made from another version is refused", "[operators]")
{
    fake_store store;
    store.held = {stored_text(4, 0.4), 40};
    auto wanted = own_change(0.2);
    wanted.made_from = GENERATE(0U, 3U, 5U);
    CHECK(operators::apply_change(wanted, store, tries(1)).verdict ==
          change_verdict::conflict);
    wanted.made_from = 4;
    CHECK(operators::apply_change(wanted, store, tries(1)).verdict ==
          change_verdict::accepted);
}

TEST_CASE("a store that was set back does not lower the version", "[operators]")
{
    fake_store store;
    store.held = {stored_text(4, 0.4), 40};
    auto wanted = own_change(0.4);
    wanted.fleet_version = 7;
    const auto outcome = operators::apply_change(wanted, store, tries(1));
    CHECK(outcome.verdict == change_verdict::accepted);
    CHECK(outcome.stored.version == 8);
}

TEST_CASE("the history is bounded and in order", "[operators]")
{
    fake_store store;
    for (int number = 0; number < 60; ++number) {
        auto wanted = own_change(number / 100.0);
        wanted.change_id = "c" + std::to_string(number);
        REQUIRE(operators::apply_change(wanted, store, tries(1)).verdict ==
                change_verdict::accepted);
    }
    const auto stored = config::parse_document(store.held.text).value();
    REQUIRE(stored.history.size() == config::max_history);
    CHECK(stored.history.front().version == 59);
    CHECK(stored.history.back().version == 10);
}

TEST_CASE("receivers are taken from every failure domain", "[operators]")
{
    std::vector<operators::receiver> members;
    for (const char* domain : {"a", "a", "a", "b", "c", "c", "c"})
        members.push_back({domain, {domain, 1}});
    CHECK(operators::choose_receivers(members).size() == 5);
}
