// The limit of an organisation over a fleet, with and without faults.
#include "fake_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>

namespace galenarudder::organisations {

namespace {

const tolerance platform_tolerance{5s, 0.1, 20};

std::vector<std::size_t> first_members(std::size_t count)
{
    std::vector<std::size_t> indices(count);
    std::iota(indices.begin(), indices.end(), std::size_t{0});
    return indices;
}

double bound(const organisation_rate& rate)
{
    return (rate.calls_per_s * 5 + rate.burst) * 1.1 + 20;
}

/// Cuts links at random: in two, around one member, between two groups that a
/// third one reaches, or each link by itself.
fake_fleet::link_test random_cut(support::random_engine& random)
{
    const std::uint64_t salt = random();
    const auto group = [salt](std::size_t member, std::size_t count) {
        return hash_of(std::to_string(member ^ salt)) % count;
    };
    switch (random() % 5) {
    case 0:
        return [=](std::size_t from, std::size_t to) {
            return group(from, 2) == group(to, 2);
        };
    case 1:
        return [=](std::size_t from, std::size_t to) {
            return from != salt % 20 && to != salt % 20;
        };
    case 2:
        return [=](std::size_t from, std::size_t to) {
            return group(from, 3) + group(to, 3) != 1;
        };
    case 3:
        return [=](std::size_t from, std::size_t to) {
            return group(from * 64 + to, 3) != 0;
        };
    default:
        return [](std::size_t, std::size_t) { return true; };
    }
}

} // namespace

// Guards against any daemon using a share of the limit that another one uses
// too, whatever the network does.
TEST_CASE("no schedule of faults lets more calls pass than the limit allows")
{
    CHECK(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        support::random_engine random(seed);
        const std::size_t count = 20 + random() % 41;
        constexpr double rates[] = {0.5, 5, 30, 100, 200};
        const organisation_rate rate{"large", rates[random() % 5],
                                     static_cast<double>(random() % 3 * 20)};
        fake_fleet fleet(rate, platform_tolerance, seed);
        for (std::size_t index = 0; index < count; ++index)
            fleet.start(index);
        fleet.indirect_probes = random() % 2 == 0;
        fleet.loss = random() % 2 == 0 ? 0 : 0.1;
        fleet.duplicates = random() % 2 == 0 ? 0 : 0.1;
        fleet.max_delay_ms = random() % 3 == 0 ? 60 : 6;
        const auto entries = first_members(1 + random() % count);
        // The buckets fill between the waves, each longer than a window.
        for (auto wave = 4s; wave < 25s; wave += 7s + random() % 4 * 1s) {
            fleet.at(wave, [&, wave] {
                fleet.demand(rate.calls_per_s * 6, entries, wave + 7s);
            });
        }
        for (support::duration time = 6s; time < 25s;
             time += 500ms + random() % 9 * 1s) {
            fleet.at(time, [&] {
                const std::size_t subject = random() % fleet.members.size();
                auto& member = fleet.members[subject];
                switch (random() % 6) {
                case 0:
                case 1:
                case 2:
                    fleet.connected = random_cut(random);
                    break;
                case 3:
                    member.running = false;
                    break;
                case 4:
                    if (!member.left)
                        fleet.forget_views(subject);
                    fleet.start(subject);
                    break;
                default:
                    if (random() % 2 == 0) {
                        member.running = false;
                        member.left = true;
                        break;
                    }
                    for (std::size_t joins = random() % 12; joins > 0; --joins)
                        fleet.start(fleet.members.size());
                }
            });
        }
        fleet.run_until(25s);
        RC_LOG() << "seed " << seed << ": " << count << " members, rate "
                 << rate.calls_per_s << ", burst " << rate.burst << ", passed "
                 << fleet.most_in_window << " of " << bound(rate) << "\n";
        RC_ASSERT(static_cast<double>(fleet.most_in_window) <= bound(rate));
    }));
}

// Guards against two owners that both issue at nearly the full rate: their
// groups cannot reach each other, but a third group reaches both.
TEST_CASE("two owners divide the limit")
{
    for (const bool indirect_probes : {false, true}) {
        INFO("indirect probes " << indirect_probes);
        fake_fleet fleet({"one", 100, 20}, platform_tolerance, 5);
        fleet.indirect_probes = indirect_probes;
        for (std::size_t index = 0; index < 30; ++index)
            fleet.start(index);
        fleet.run_until(5s);
        const member_hash owner =
            fleet.members[0].machine->members().owner(hash_of("one"));
        std::size_t first = 0;
        while (hash_of("member-" + std::to_string(first)) != owner)
            ++first;
        const std::size_t second = (first + 1) % 30;
        fleet.connected = [=](std::size_t from, std::size_t to) {
            return !(from == first && to == second) &&
                   !(from == second && to == first);
        };
        fleet.demand(600, {first, second}, 30s);
        fleet.run_until(30s);
        CHECK(static_cast<double>(fleet.most_in_window) <= bound(fleet.rate));
        CHECK(static_cast<double>(fleet.admitted) >= 0.8 * 100 * 25);
    }
}

// Guards against shares that add up to more than one: the halves do not know of
// each other's new members.
TEST_CASE("members that join a divided fleet get no share")
{
    fake_fleet fleet({"one", 100, 20}, platform_tolerance, 5);
    for (std::size_t index = 0; index < 40; ++index)
        fleet.start(index);
    fleet.run_until(5s);
    fleet.connected = [](std::size_t from, std::size_t to) {
        return from % 2 == to % 2;
    };
    fleet.run_until(8s);
    for (std::size_t index = 40; index < 80; ++index)
        fleet.start(index);
    fleet.run_until(15s);
    fleet.demand(600, first_members(80), 30s);
    fleet.run_until(30s);
    CHECK(static_cast<double>(fleet.most_in_window) <= bound(fleet.rate));
    // 40 of 80 members hold shares of 1/80 each.
    CHECK(static_cast<double>(fleet.admitted) >= 0.4 * 100 * 15);
}

// Guards against daemons that forget what they issued before a restart, and
// against fleets that do not serve again.
TEST_CASE("a fleet that restarts as a whole serves again within the limit")
{
    fake_fleet fleet({"one", 100, 20}, platform_tolerance, 5);
    for (std::size_t index = 0; index < 30; ++index)
        fleet.start(index);
    fleet.run_until(5s);
    fleet.demand(600, first_members(30), 25s);
    fleet.run_until(10s);
    for (std::size_t index = 0; index < 30; ++index) {
        fleet.forget_views(index);
        fleet.start(index);
    }
    const std::uint64_t admitted_before = fleet.admitted;
    fleet.run_until(25s);
    CHECK(static_cast<double>(fleet.most_in_window) <= bound(fleet.rate));
    CHECK(static_cast<double>(fleet.admitted - admitted_before) >= 0.9 * 1100);
}

// Guards against a large fleet in which calls below the limit are refused long
// after all daemons were killed: the members start one after the other, and
// each learns of the others over some seconds.
TEST_CASE("300 members that restart over 5 s serve again within 3 s")
{
    constexpr std::size_t count = 300;
    constexpr double calls_per_s = 100;
    fake_fleet fleet({"one", calls_per_s, calls_per_s / 5}, platform_tolerance,
                     5);
    for (std::size_t index = 0; index < count; ++index)
        fleet.start(index);
    fleet.demand(calls_per_s * 0.6, first_members(count), 16s);
    fleet.run_until(4s);
    fleet.max_view_delay = 2500ms;
    for (std::size_t index = 0; index < count; ++index)
        fleet.members[index].running = false;
    for (std::size_t index = 0; index < count; ++index) {
        fleet.forget_views(index);
        fleet.at(4s + index * 5s / count, [&, index] {
            fleet.forget_views(index);
            fleet.start(index);
        });
    }
    fleet.run_until(12s);
    const std::uint64_t refused_before = fleet.refused;
    const std::uint64_t admitted_before = fleet.admitted;
    fleet.run_until(15s);
    const auto refused = static_cast<double>(fleet.refused - refused_before);
    CHECK(refused <=
          0.01 * static_cast<double>(fleet.admitted - admitted_before));
    CHECK(static_cast<double>(fleet.most_in_window) <= bound(fleet.rate));
}

struct cause_case
{
    const char* description;
    support::duration begin;
    double demand;
    refusal_cause expected;
    bool cut;
};

constexpr cause_case cause_cases[] = {
    {"just started", 300ms, 0.6, refusal_cause::shares_missing, false},
    {"above the limit", 10s, 7, refusal_cause::over_limit, false},
    {"all cut off", 10s, 7, refusal_cause::owner_silent, true},
};

// Guards against operators who are told of too many calls while the fleet still
// shares out the limit.
TEST_CASE("a refusal states its cause")
{
    for (const cause_case& row : cause_cases) {
        INFO(row.description);
        fake_fleet fleet({"one", 100, 20}, platform_tolerance, 5);
        for (std::size_t index = 0; index < 30; ++index)
            fleet.start(index);
        fleet.run_until(row.begin);
        if (row.cut)
            fleet.connected = [](std::size_t from, std::size_t to) {
                return from == to;
            };
        const support::duration end = row.begin + 600ms;
        fleet.demand(100 * row.demand, first_members(30), end);
        fleet.run_until(end);
        CHECK(fleet.refused > 0);
        CHECK(static_cast<double>(fleet.refused_by_cause[row.expected]) >=
              0.9 * static_cast<double>(fleet.refused));
    }
}

struct load_row
{
    double calls_per_s;
    double burst;
    std::size_t entries;
};

constexpr load_row load_rows[] = {
    {2, 5, 1},    {2, 5, 20},   {30, 10, 3},   {30, 10, 40},
    {100, 20, 1}, {100, 0, 40}, {500, 50, 40}, {500, 50, 2},
};

// Guards against refusals for lack of tokens that lie unused elsewhere.
TEST_CASE("below the limit and without faults no call is refused")
{
    for (const load_row& row : load_rows) {
        INFO(row.calls_per_s << " calls per s at " << row.entries);
        fake_fleet fleet({"one", row.calls_per_s, row.burst},
                         platform_tolerance, 7);
        for (std::size_t index = 0; index < 40; ++index)
            fleet.start(index);
        const auto entries = first_members(row.entries);
        fleet.at(5s,
                 [&] { fleet.demand(row.calls_per_s * 0.6, entries, 40s); });
        fleet.run_until(41s);
        CHECK(fleet.refused == 0);
        CHECK(static_cast<double>(fleet.admitted) > row.calls_per_s * 15);
    }
}

// Guards against refusals while the tokens of a burst lie at the holders.
TEST_CASE("a burst within the limit passes at once")
{
    for (const std::size_t entries : {1, 3, 40}) {
        INFO(entries << " entries");
        fake_fleet fleet({"one", 30, 20}, platform_tolerance, 9);
        for (std::size_t index = 0; index < 40; ++index)
            fleet.start(index);
        fleet.run_until(10s);
        fleet.demand(20'000, first_members(entries), 10s + 1ms);
        fleet.run_until(11s);
        CHECK(fleet.admitted >= 15);
        CHECK(fleet.refused == 0);
    }
}

// Guards against entries that wait or hold tokens while the limit has room.
TEST_CASE("far above the limit most of it is served")
{
    for (const load_row& row : load_rows) {
        INFO(row.calls_per_s << " calls per s at " << row.entries);
        fake_fleet fleet({"one", row.calls_per_s, row.burst},
                         platform_tolerance, 7);
        for (std::size_t index = 0; index < 40; ++index)
            fleet.start(index);
        const auto entries = first_members(row.entries);
        fleet.at(5s, [&] { fleet.demand(row.calls_per_s * 7, entries, 45s); });
        fleet.run_until(45s);
        CHECK(static_cast<double>(fleet.admitted) >=
              0.9 * row.calls_per_s * 40);
        CHECK(static_cast<double>(fleet.most_in_window) <= bound(fleet.rate));
        CHECK(fleet.messages < 40'000);
    }
}

// Guards against tokens of the higher limit that pass after it was lowered.
TEST_CASE("a lowered limit binds within one window")
{
    fake_fleet fleet({"one", 400, 100}, platform_tolerance, 3);
    for (std::size_t index = 0; index < 40; ++index)
        fleet.start(index);
    const auto entries = first_members(40);
    fleet.at(5s, [&] { fleet.demand(1000, entries, 40s); });
    fleet.run_until(15s);
    fleet.set_rate(20);
    fleet.run_until(20s);
    fleet.most_in_window = 0;
    fleet.run_until(30s);
    CHECK(static_cast<double>(fleet.most_in_window) <= bound(fleet.rate));
}

// Guards against tokens of calls that did not run being lost, or being used
// after their time.
TEST_CASE("a token that is given back serves a call before it expires")
{
    const support::time_point start(100s);
    limiter alone("one", peer_expectation::none, platform_tolerance, 1);
    const organisation_rate rate{"one", 1, 0};
    alone.configure({&rate, 1}, start);
    alone.on_members({}, start);
    alone.on_tick(start + 3s);
    const auto now = start + 40s;
    const organisation_hash hash = hash_of("one");
    alone.admit(hash, now);
    REQUIRE(alone.flush(now).size() == 1);
    alone.give_back({hash, now + token_lifetime}, now + 100ms);
    CHECK(alone.admit(hash, now + 150ms).result == verdict::admitted);
    alone.give_back({hash, now + token_lifetime}, now + 150ms);
    CHECK(alone.admit(hash, now + token_lifetime).result == verdict::waiting);
}

// Guards against malformed datagrams being taken for messages.
TEST_CASE("messages are decoded as encoded, and malformed ones refused")
{
    const message sent{
        message_kind::grant, 60, 7, {{1, 2, 3}, {~0ULL, ~0U, 0}}};
    const std::string bytes = encode(sent);
    CHECK(decode(bytes) == sent);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decode(std::string_view(bytes).substr(0, size)));
    CHECK_FALSE(decode(bytes + "x"));
    for (const std::size_t position : {0, 1, 2}) {
        std::string broken = bytes;
        broken[position] = '\x7f';
        CHECK_FALSE(decode(broken));
    }
}

} // namespace galenarudder::organisations
