// The verdict on a change matches what is in the store, whichever request or
// response of the store is lost.
#include "galenarudder/operators/change.hpp"

#include "galenarudder/operators/configuration_push.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;
using operators::change_verdict;

namespace {

config::document files_with_retry_share(double retry_share)
{
    config::document files;
    files.base = nlohmann::json::parse(R"({
      "format": "galenarudder-base-1", "ranks": [{"name": "normal"}],
      "services": [],
      "limits": {"retry_share":
        {"value": 0, "min": 0, "max": 1, "mover": "site"}}})");
    files.base["limits"]["retry_share"]["value"] = retry_share;
    return files;
}

std::string make_stored_form(std::uint64_t version, double retry_share)
{
    config::document full_document = files_with_retry_share(retry_share);
    full_document.version = version;
    full_document.change_id = "theirs-" + std::to_string(version);
    full_document.author = "boris";
    return config::serialize(full_document);
}

/// What the fake store does with a swap.
enum class swap_behaviour
{
    answered,
    response_lost,
    request_lost,
    not_connected,
    /// Another operator's change is written just before this one.
    preceded_by_other_change,
    /// This write takes effect, another operator's change replaces it, and the
    /// response is lost.
    response_lost_and_replaced,
};

class fake_store final : public operators::configuration_store
{
public:
    support::result<operators::stored_configuration> read() override
    {
        ++reads;
        if (reads > max_successful_reads)
            return unavailable_error();
        return stored_value;
    }
    support::result<bool> swap(const std::string& text,
                               std::uint64_t expected_index) override
    {
        const swap_behaviour behaviour = swaps == 0 ? first_swap : later_swaps;
        ++swaps;
        if (behaviour == swap_behaviour::not_connected)
            return unavailable_error();
        if (behaviour == swap_behaviour::preceded_by_other_change)
            stored_value = {make_stored_form(9, 0.9), stored_value.index + 1};
        if (behaviour == swap_behaviour::request_lost)
            return lost_response_error();
        if (expected_index != stored_value.index)
            return false;
        stored_value = {text, stored_value.index + 1};
        if (behaviour == swap_behaviour::answered)
            return true;
        if (behaviour == swap_behaviour::response_lost_and_replaced)
            write_later_change();
        return lost_response_error();
    }

    operators::stored_configuration stored_value;
    swap_behaviour first_swap = swap_behaviour::answered;
    swap_behaviour later_swaps = swap_behaviour::answered;
    int max_successful_reads = 1000;
    int reads = 0;
    int swaps = 0;

private:
    static support::error unavailable_error()
    {
        return {support::error_kind::store_unavailable, "the store is down",
                "wait"};
    }
    static support::error lost_response_error()
    {
        return {support::error_kind::store_outcome_unknown, "no answer",
                "read back"};
    }
    void write_later_change()
    {
        auto own_document = config::parse_document(stored_value.text).value();
        config::document later_document = files_with_retry_share(0.7);
        later_document.version = own_document.version + 1;
        later_document.change_id = "later";
        later_document.history.push_back(config::latest_change(own_document));
        stored_value = {config::serialize(later_document),
                        stored_value.index + 1};
    }
};

operators::retry_wait retries(int count)
{
    return [count]() mutable { return count-- > 0; };
}

operators::change_request make_request(double retry_share)
{
    operators::change_request request;
    request.files = files_with_retry_share(retry_share);
    request.change_id = "own";
    request.author = "ana";
    return request;
}

} // namespace

TEST_CASE("the verdict matches the content of the store", "[operators]")
{
    using behaviour = swap_behaviour;
    struct verdict_case
    {
        behaviour first_swap;
        behaviour later_swaps;
        int max_reads;
        change_verdict verdict;
    };
    constexpr int unlimited_reads = 1000;
    const auto test_case = GENERATE(values<verdict_case>({
        {behaviour::answered, behaviour::answered, unlimited_reads,
         change_verdict::accepted},
        {behaviour::response_lost, behaviour::answered, unlimited_reads,
         change_verdict::accepted},
        {behaviour::request_lost, behaviour::answered, unlimited_reads,
         change_verdict::accepted},
        {behaviour::request_lost, behaviour::response_lost, unlimited_reads,
         change_verdict::accepted},
        {behaviour::response_lost_and_replaced, behaviour::answered,
         unlimited_reads, change_verdict::accepted},
        {behaviour::preceded_by_other_change, behaviour::answered,
         unlimited_reads, change_verdict::conflict},
        {behaviour::preceded_by_other_change, behaviour::answered, 1,
         change_verdict::conflict},
        {behaviour::not_connected, behaviour::answered, unlimited_reads,
         change_verdict::not_written},
        {behaviour::response_lost, behaviour::answered, 1,
         change_verdict::not_known},
        {behaviour::request_lost, behaviour::request_lost, unlimited_reads,
         change_verdict::not_known},
        {behaviour::answered, behaviour::answered, 0,
         change_verdict::not_written},
    }));
    CAPTURE(static_cast<int>(test_case.first_swap),
            static_cast<int>(test_case.later_swaps), test_case.max_reads);
    fake_store store;
    store.stored_value = {make_stored_form(4, 0.4), 40};
    store.first_swap = test_case.first_swap;
    store.later_swaps = test_case.later_swaps;
    store.max_successful_reads = test_case.max_reads;
    const auto outcome =
        operators::apply_change(make_request(0.2), store, retries(3));
    CHECK(outcome.verdict == test_case.verdict);
    const auto stored_document =
        config::parse_document(store.stored_value.text).value();
    const bool is_written = operators::find_change(stored_document, "own") !=
                            operators::change_state::not_found;
    if (test_case.verdict == change_verdict::accepted)
        CHECK(is_written);
    if (test_case.verdict == change_verdict::conflict ||
        test_case.verdict == change_verdict::not_written)
        CHECK_FALSE(is_written);
    CHECK(outcome.replaced_by.has_value() ==
          (test_case.first_swap == behaviour::response_lost_and_replaced));
}

TEST_CASE("a conflict names the other operator's change and the differences",
          "[operators]")
{
    fake_store store;
    store.stored_value = {make_stored_form(4, 0.4), 40};
    store.first_swap = swap_behaviour::preceded_by_other_change;
    const auto outcome =
        operators::apply_change(make_request(0.2), store, retries(3));
    CHECK(outcome.stored.author == "boris");
    REQUIRE(outcome.differences.size() == 1);
    CHECK(operators::describe(outcome.differences.front()) ==
          "base /limits/retry_share/value: 0.9 -> 0.2");
}

TEST_CASE("applying the same files again writes nothing", "[operators]")
{
    fake_store store;
    REQUIRE(
        operators::apply_change(make_request(0.2), store, retries(1)).verdict ==
        change_verdict::accepted);
    const auto second_outcome =
        operators::apply_change(make_request(0.2), store, retries(1));
    CHECK(second_outcome.verdict == change_verdict::already_in_force);
    CHECK(second_outcome.stored.change_id == "own");
    CHECK(store.swaps == 1);
}

TEST_CASE("a change based on another version is rejected", "[operators]")
{
    fake_store store;
    store.stored_value = {make_stored_form(4, 0.4), 40};
    auto request = make_request(0.2);
    request.made_from = GENERATE(0U, 3U, 5U);
    CHECK(operators::apply_change(request, store, retries(1)).verdict ==
          change_verdict::conflict);
    request.made_from = 4;
    CHECK(operators::apply_change(request, store, retries(1)).verdict ==
          change_verdict::accepted);
}

TEST_CASE(
    "a store that was reset to an older version does not lower the version",
    "[operators]")
{
    fake_store store;
    store.stored_value = {make_stored_form(4, 0.4), 40};
    auto request = make_request(0.4);
    request.fleet_version = 7;
    const auto outcome = operators::apply_change(request, store, retries(1));
    CHECK(outcome.verdict == change_verdict::accepted);
    CHECK(outcome.stored.version == 8);
}

TEST_CASE("the history is bounded and ordered from newest to oldest",
          "[operators]")
{
    fake_store store;
    for (int number = 0; number < 60; ++number) {
        auto request = make_request(number / 100.0);
        request.change_id = "c" + std::to_string(number);
        REQUIRE(operators::apply_change(request, store, retries(1)).verdict ==
                change_verdict::accepted);
    }
    const auto stored_document =
        config::parse_document(store.stored_value.text).value();
    REQUIRE(stored_document.history.size() == config::max_history_changes);
    CHECK(stored_document.history.front().version == 59);
    CHECK(stored_document.history.back().version == 10);
}

TEST_CASE("receivers are selected from every failure domain", "[operators]")
{
    std::vector<operators::receiver> members;
    for (const char* domain : {"a", "a", "a", "b", "c", "c", "c"})
        members.push_back({domain, {domain, 1}});
    CHECK(operators::select_receivers(members).size() == 5);
}
