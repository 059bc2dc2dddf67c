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

constexpr std::uint64_t huge = UINT64_MAX;

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

// Announcements of another writer with this VM's address. None of them may keep
// the upstream's own "leaving" from taking effect, or the upstream out of use.
TEST_CASE("announcements of another writer do not hide the upstream's own")
{
    const auto [name, forged] = GENERATE(table<const char*, announcement>(
        {{"a later start", announce("a", 9, 1)},
         {"a later start that leaves", leaving(announce("a", 9, 1))},
         {"the last start", announce("a", huge, huge)},
         {"a forged sequence number", announce("a", 5, huge)},
         {"an earlier start", announce("a", 3, huge)}}));
    const bool leaves_at_once = GENERATE(true, false);
    INFO(name);
    constexpr milliseconds heartbeat = lapse_after / 4;
    upstream_presence presence(lapse_after);
    time_point now = start;
    std::uint64_t sequence = 0;
    for (; sequence < 3; now += heartbeat)
        presence.on_announcement(announce("a", 5, ++sequence), now);
    presence.on_announcement(forged, now);
    const time_point forged_at = now;
    for (; !leaves_at_once && now < forged_at + lapse_after; now += heartbeat) {
        presence.on_announcement(announce("a", 5, ++sequence), now);
        presence.on_tick(now);
    }
    CHECK((leaves_at_once || presence.serves()));
    const bool numbered = GENERATE(true, false);
    presence.on_announcement(leaving(announce("a", 5, ++sequence)), now);
    CHECK_FALSE(presence.serves());
    if (!numbered)
        presence.on_leave("a", 5, now);
    for (int beats = 0; beats < 8; ++beats, now += heartbeat) {
        presence.on_announcement(announce("a", 5, ++sequence), now);
        CHECK_FALSE(presence.serves());
    }
}

TEST_CASE("an instance that left is gone even if another writer repeats a "
          "later start of it")
{
    upstream_presence presence(lapse_after);
    time_point now = start;
    for (std::uint64_t number = 1; number < 6; ++number) {
        presence.on_announcement(announce("a", 5, number), now);
        presence.on_announcement(announce("a", 9, number), now);
        now += lapse_after / 4;
    }
    CHECK(presence.on_announcement(leaving(announce("a", 5, 6)), now) ==
          presence_change::left);
    presence.on_announcement(announce("a", 9, 6), now);
    CHECK_FALSE(presence.serves());
}

// The clock of a VM may step back between two starts of its upstream.
TEST_CASE("an instance whose start time went back serves once the earlier one "
          "is silent")
{
    upstream_presence presence(lapse_after);
    presence.on_announcement(announce("a", 9, 7), start);
    time_point now = start;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        now += lapse_after / 4;
        presence.on_announcement(announce("a", 5, number), now);
    }
    CHECK(presence.last_announcement()->started_ms == 5);
    CHECK(presence.serves());
    CHECK(presence.on_announcement(leaving(announce("a", 5, 4)), now) ==
          presence_change::left);
}

TEST_CASE("a late end of an earlier start suspends the current one until its "
          "next announcement")
{
    const bool by_leave = GENERATE(true, false);
    upstream_presence presence(lapse_after);
    presence.on_announcement(announce("a", 5, 7), start);
    presence.on_announcement(announce("a", 9, 1), start);
    const auto change =
        by_leave
            ? presence.on_leave("a", 5, start)
            : presence.on_announcement(leaving(announce("a", 5, 8)), start);
    CHECK(change == presence_change::left);
    CHECK(presence.on_announcement(leaving(announce("a", 5, 9)), start) ==
          presence_change::stale);
    CHECK(presence.on_announcement(announce("a", 9, 2), start) ==
          presence_change::arrived);
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
