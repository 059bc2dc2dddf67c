// Late and outdated announcements, instances that end, and announcements
// without start times and sequence numbers.
#include "galenarudder/admission/upstream_presence.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::admission {

using support::milliseconds;
using support::time_point;

namespace {

constexpr time_point start{std::chrono::seconds(100)};
constexpr milliseconds lapse_after{6000};

announcement
announce(const char* instance, std::uint64_t started_ms, std::uint64_t sequence)
{
    announcement announced;
    announced.instance = instance;
    announced.started_ms = started_ms;
    announced.sequence = sequence;
    announced.service = "reservas";
    announced.slots = 9;
    return announced;
}

announcement leaving(announcement announced)
{
    announced.leaving = true;
    return announced;
}

} // namespace

TEST_CASE("a late announcement does not bring back an instance that leaves")
{
    upstream_presence presence(lapse_after);
    CHECK(presence.on_announcement(announce("a", 5, 1), start) ==
          presence_change::arrived);
    CHECK(presence.on_announcement(announce("a", 5, 2), start) ==
          presence_change::none);
    CHECK(presence.on_announcement(leaving(announce("a", 5, 4)), start) ==
          presence_change::left);
    CHECK(presence.on_announcement(announce("a", 5, 3), start) ==
          presence_change::stale);
    CHECK(presence.on_announcement(announce("a", 5, 5), start) ==
          presence_change::none);
    CHECK_FALSE(presence.serves());
}

TEST_CASE("an instance that announced its end does not serve again")
{
    upstream_presence presence(lapse_after);
    presence.on_announcement(announce("a", 5, 1), start);
    CHECK(presence.on_leave("b", std::nullopt, start) ==
          presence_change::stale);
    CHECK(presence.on_leave("a", 4, start) == presence_change::stale);
    CHECK(presence.serves());
    CHECK(presence.on_leave("a", std::nullopt, start) == presence_change::left);
    CHECK(presence.on_announcement(announce("a", 5, 2), start) ==
          presence_change::none);
    CHECK_FALSE(presence.serves());
}

TEST_CASE("a later instance replaces an earlier one, never the reverse")
{
    upstream_presence presence(lapse_after);
    presence.on_announcement(announce("a", 5, 7), start);
    presence.on_leave("a", std::nullopt, start);
    // The same instance name with a later start and sequence numbers from 1.
    CHECK(presence.on_announcement(announce("a", 9, 1), start) ==
          presence_change::arrived);
    CHECK(presence.on_announcement(announce("a", 5, 8), start) ==
          presence_change::stale);
    CHECK(presence.on_announcement(leaving(announce("old", 3, 8)), start) ==
          presence_change::stale);
    CHECK(presence.serves());
    CHECK(presence.last_announcement()->started_ms == 9);
}

TEST_CASE("an upstream lapses without announcements and returns with the next")
{
    upstream_presence presence(lapse_after);
    presence.on_announcement(announce("a", 5, 1), start);
    CHECK(presence.on_tick(start + lapse_after - milliseconds(1)) ==
          presence_change::none);
    CHECK(presence.on_tick(start + lapse_after) == presence_change::lapsed);
    CHECK(presence.on_tick(start + lapse_after) == presence_change::none);
    CHECK(presence.on_announcement(announce("a", 5, 2),
                                   start + 2 * lapse_after) ==
          presence_change::arrived);
}

TEST_CASE(
    "announcements without start time and sequence number are all accepted")
{
    upstream_presence presence(lapse_after);
    CHECK(presence.on_announcement(announce("", 0, 0), start) ==
          presence_change::arrived);
    CHECK(presence.on_announcement(announce("", 0, 0), start) ==
          presence_change::none);
    presence.on_absent();
    CHECK(presence.on_announcement(announce("", 0, 0), start) ==
          presence_change::arrived);
}

TEST_CASE("an upstream without start time that left serves again only after it "
          "was gone")
{
    const bool lapses = GENERATE(false, true);
    upstream_presence presence(lapse_after);
    presence.on_announcement(announce("", 0, 0), start);
    CHECK(presence.on_leave("", 0, start) == presence_change::left);
    CHECK(presence.on_announcement(announce("", 0, 0), start) ==
          presence_change::none);
    CHECK_FALSE(presence.serves());
    if (!lapses)
        presence.on_absent();
    CHECK(presence.on_announcement(announce("", 0, 0),
                                   lapses ? start + lapse_after : start) ==
          presence_change::arrived);
}

} // namespace galenarudder::admission
