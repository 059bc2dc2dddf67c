// Late and old check-ins, lives that end, upstreams without numbers.
#include "galenarudder/admission/upstream_presence.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::admission {

using support::milliseconds;
using support::time_point;

namespace {

constexpr time_point start{std::chrono::seconds(100)};
constexpr milliseconds lapse{6000};

check_in
heard(const char* instance, std::uint64_t born_ms, std::uint64_t sequence)
{
    check_in stated;
    stated.instance = instance;
    stated.born_ms = born_ms;
    stated.sequence = sequence;
    stated.service = "reservas";
    stated.slots = 9;
    return stated;
}

check_in leaving(check_in stated)
{
    stated.leaving = true;
    return stated;
}

} // namespace

TEST_CASE("a life that leaves is not taken back by a late check-in")
{
    upstream_presence presence(lapse);
    CHECK(presence.on_check_in(heard("a", 5, 1), start) ==
          presence_change::arrived);
    CHECK(presence.on_check_in(heard("a", 5, 2), start) ==
          presence_change::none);
    CHECK(presence.on_check_in(leaving(heard("a", 5, 4)), start) ==
          presence_change::left);
    CHECK(presence.on_check_in(heard("a", 5, 3), start) ==
          presence_change::stale);
    CHECK(presence.on_check_in(heard("a", 5, 5), start) ==
          presence_change::none);
    CHECK_FALSE(presence.serves());
}

TEST_CASE("a life that says that it ends leaves, whatever comes after")
{
    upstream_presence presence(lapse);
    presence.on_check_in(heard("a", 5, 1), start);
    CHECK(presence.on_leave("b", std::nullopt, start) ==
          presence_change::stale);
    CHECK(presence.on_leave("a", 4, start) == presence_change::stale);
    CHECK(presence.serves());
    CHECK(presence.on_leave("a", std::nullopt, start) == presence_change::left);
    CHECK(presence.on_check_in(heard("a", 5, 2), start) ==
          presence_change::none);
    CHECK_FALSE(presence.serves());
}

TEST_CASE("a later life takes the place of an earlier one, never the reverse")
{
    upstream_presence presence(lapse);
    presence.on_check_in(heard("a", 5, 7), start);
    presence.on_leave("a", std::nullopt, start);
    // The same name and a new count.
    CHECK(presence.on_check_in(heard("a", 9, 1), start) ==
          presence_change::arrived);
    CHECK(presence.on_check_in(heard("a", 5, 8), start) ==
          presence_change::stale);
    CHECK(presence.on_check_in(leaving(heard("old", 3, 8)), start) ==
          presence_change::stale);
    CHECK(presence.serves());
    CHECK(presence.known()->born_ms == 9);
}

TEST_CASE("without check-ins an upstream lapses and comes back with the next")
{
    upstream_presence presence(lapse);
    presence.on_check_in(heard("a", 5, 1), start);
    CHECK(presence.on_tick(start + lapse - milliseconds(1)) ==
          presence_change::none);
    CHECK(presence.on_tick(start + lapse) == presence_change::lapsed);
    CHECK(presence.on_tick(start + lapse) == presence_change::none);
    CHECK(presence.on_check_in(heard("a", 5, 2), start + 2 * lapse) ==
          presence_change::arrived);
}

TEST_CASE("check-ins without numbers and births are all taken")
{
    upstream_presence presence(lapse);
    CHECK(presence.on_check_in(heard("", 0, 0), start) ==
          presence_change::arrived);
    CHECK(presence.on_check_in(heard("", 0, 0), start) ==
          presence_change::none);
    presence.on_absent();
    CHECK(presence.on_check_in(heard("", 0, 0), start) ==
          presence_change::arrived);
}

} // namespace galenarudder::admission
