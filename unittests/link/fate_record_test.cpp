// A gate states not-run only for calls it never received or dropped unstarted.
#include "galenarudder/link/fate_record.hpp"

#include <catch2/catch.hpp>

using galenarudder::link::fate_record;
using galenarudder::support::call_id;

namespace {

constexpr fate_record::link_key closed_key = 5;
constexpr std::uint64_t epoch = 3;
constexpr std::uint64_t last_received = 10;

/// A closed link with two calls that the gate still holds: 8 and 9.
fate_record with_closed_link()
{
    fate_record record;
    record.on_closed({closed_key,
                      "pedidos-1",
                      epoch,
                      last_received,
                      {{call_id{80}, 8}, {call_id{90}, 9}}});
    return record;
}

std::vector<std::uint64_t> not_run(const fate_record& record,
                                   std::uint64_t number)
{
    const std::vector<std::uint64_t> numbers = {number};
    return record.not_run("pedidos-1", epoch, numbers);
}

} // namespace

TEST_CASE("what did not run is stated, of the rest nothing", "[link]")
{
    struct row
    {
        const char* what;
        std::uint64_t number;
        bool stated;
    };
    const auto& [what, number, stated] = GENERATE(values<row>({
        {"never received", last_received + 1, true},
        {"answered before the link closed", 7, false},
        {"dropped unstarted", 8, true},
        {"ran to its end after the link closed", 9, false},
        {"the last one received, answered", last_received, false},
    }));
    CAPTURE(what);
    fate_record record = with_closed_link();
    record.on_ended(closed_key, call_id{80}, true);
    record.on_ended(closed_key, call_id{90}, false);
    CHECK(not_run(record, number).empty() != stated);
}

TEST_CASE("a call that the gate still holds is undecided", "[link]")
{
    fate_record record = with_closed_link();
    const std::vector<std::uint64_t> numbers = {8};
    CHECK(record.undecided("pedidos-1", epoch, numbers));
    CHECK(not_run(record, 8).empty());
    record.on_ended(closed_key, call_id{80}, true);
    CHECK_FALSE(record.undecided("pedidos-1", epoch, numbers));
}

TEST_CASE("of a link that is not remembered nothing is stated", "[link]")
{
    const fate_record record = with_closed_link();
    const std::vector<std::uint64_t> numbers = {1, 8, last_received + 1};
    CHECK(record.not_run("pedidos-1", epoch + 1, numbers).empty());
    CHECK(record.not_run("pedidos-2", epoch, numbers).empty());
}

TEST_CASE("the oldest links are forgotten first", "[link]")
{
    fate_record record = with_closed_link();
    for (std::size_t more = 0; more < fate_record::max_links; ++more)
        record.on_closed({closed_key + 1 + more, "others", more, 0, {}});
    CHECK(not_run(record, last_received + 1).empty());
}
