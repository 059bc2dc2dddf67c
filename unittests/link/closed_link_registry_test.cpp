// A gate states that a call did not run only if it never received the call or
// dropped it before it started.
#include "galenarudder/link/closed_link_registry.hpp"

#include <catch2/catch.hpp>

using galenarudder::link::closed_link_registry;
using galenarudder::support::attempt_id;

namespace {

constexpr closed_link_registry::link_id closed_id = 5;
constexpr std::uint64_t epoch = 3;
constexpr std::uint64_t last_received = 10;

/// Returns a registry with one closed link, whose calls 8 and 9 have not ended.
closed_link_registry registry_with_closed_link()
{
    closed_link_registry registry;
    registry.on_closed({closed_id,
                        "pedidos-1",
                        epoch,
                        last_received,
                        {{attempt_id{80}, 8}, {attempt_id{90}, 9}}});
    return registry;
}

std::vector<std::uint64_t> find_not_run(const closed_link_registry& registry,
                                        std::uint64_t number)
{
    const std::vector<std::uint64_t> numbers = {number};
    return registry.find_not_run("pedidos-1", epoch, numbers);
}

} // namespace

TEST_CASE("only calls that did not run are reported", "[link]")
{
    struct test_case
    {
        const char* description;
        std::uint64_t number;
        bool reported;
    };
    const auto& [description, number, reported] = GENERATE(values<test_case>({
        {"never received", last_received + 1, true},
        {"answered before the link closed", 7, false},
        {"dropped before it started", 8, true},
        {"ended after the link closed", 9, false},
        {"the last call received, answered", last_received, false},
    }));
    CAPTURE(description);
    closed_link_registry registry = registry_with_closed_link();
    registry.on_ended(closed_id, attempt_id{80}, true);
    registry.on_ended(closed_id, attempt_id{90}, false);
    CHECK(find_not_run(registry, number).empty() != reported);
}

TEST_CASE("a call that the gate has not ended is unfinished", "[link]")
{
    closed_link_registry registry = registry_with_closed_link();
    const std::vector<std::uint64_t> numbers = {8};
    CHECK(registry.has_unfinished("pedidos-1", epoch, numbers));
    CHECK(find_not_run(registry, 8).empty());
    registry.on_ended(closed_id, attempt_id{80}, true);
    CHECK_FALSE(registry.has_unfinished("pedidos-1", epoch, numbers));
}

TEST_CASE("nothing is reported about a link without a record", "[link]")
{
    const closed_link_registry registry = registry_with_closed_link();
    const std::vector<std::uint64_t> numbers = {1, 8, last_received + 1};
    CHECK(registry.find_not_run("pedidos-1", epoch + 1, numbers).empty());
    CHECK(registry.find_not_run("pedidos-2", epoch, numbers).empty());
}

TEST_CASE("the record of the oldest link is removed first", "[link]")
{
    closed_link_registry registry = registry_with_closed_link();
    for (std::size_t i = 0; i < closed_link_registry::max_links; ++i)
        registry.on_closed({closed_id + 1 + i, "others", i, 0, {}});
    CHECK(find_not_run(registry, last_received + 1).empty());
}
