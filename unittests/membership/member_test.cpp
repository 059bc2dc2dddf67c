// Fleets of members over a simulated network: joins, failures, refutation,
// restarts, partitions, replays, key rotation.
#include "../../test/fakes/membership_fleet.hpp"
#include "galenarudder/membership/wire.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;
using fakes::fleet_options;
using fakes::membership_fleet;
using membership::member_state;
using std::chrono::seconds;

namespace {

fleet_options options_for(std::size_t members, double loss = 0)
{
    fleet_options options;
    options.members = members;
    options.loss = loss;
    return options;
}

void converge(membership_fleet& fleet)
{
    fleet.run(seconds(60),
              [&] { return fleet.all_have_live_count(fleet.size()); });
    REQUIRE(fleet.all_have_live_count(fleet.size()));
}

} // namespace

TEST_CASE("members find each other through introducers", "[membership]")
{
    const std::size_t size = GENERATE(2, 3, 13, 60);
    const double loss = GENERATE(0.0, 0.05);
    membership_fleet fleet(options_for(size, loss));
    converge(fleet);
    const membership::member_record* record =
        fleet.member_at(0).find("member-1");
    REQUIRE(record != nullptr);
    const membership::member_record& initial_record =
        fleet.process_at(1).initial_record;
    CHECK(record->link == initial_record.link);
    CHECK(record->operators == initial_record.operators);
    CHECK(record->domain == initial_record.domain);
    CHECK(record->service == initial_record.service);
    CHECK(record->slots == initial_record.slots);
}

TEST_CASE("all members record a crashed member as dead", "[membership]")
{
    const std::size_t size = GENERATE(3, 13, 60);
    membership_fleet fleet(options_for(size));
    converge(fleet);
    fleet.crash(1);
    const auto all_record_dead = [&] {
        return fleet.all_record_state(1, member_state::dead);
    };
    fleet.run(seconds(40), all_record_dead);
    CHECK(all_record_dead());
}

TEST_CASE("drain and leave notices reach all members within 2 s",
          "[membership]")
{
    const std::size_t size = GENERATE(3, 13, 100);
    const double loss = GENERATE(0.0, 0.05);
    membership_fleet fleet(options_for(size, loss));
    converge(fleet);
    fleet.set_state(2, member_state::draining);
    const auto all_record_draining = [&] {
        return fleet.all_record_state(2, member_state::draining);
    };
    fleet.run(seconds(2), all_record_draining);
    CHECK(all_record_draining());
    fleet.set_state(2, member_state::left);
    const auto all_record_left = [&] {
        return fleet.all_record_state(2, member_state::left);
    };
    fleet.run(seconds(2), all_record_left);
    CHECK(all_record_left());
}

TEST_CASE("a suspected draining member is still shown as draining",
          "[membership]")
{
    membership_fleet fleet(options_for(5));
    converge(fleet);
    fleet.set_state(2, member_state::draining);
    fleet.run(seconds(2));
    fleet.process_at(2).paused = true;
    std::uint64_t suspect_observations = 0;
    fleet.run(seconds(30), [&] {
        const member_state observed =
            fleet.member_at(0).find("member-2")->state;
        suspect_observations += observed == member_state::suspect ? 1 : 0;
        return observed == member_state::dead;
    });
    CHECK(suspect_observations == 0);
    CHECK(fleet.total(&membership::member_counters::suspicions) > 0);
    CHECK(fleet.member_at(0).find("member-2")->state == member_state::dead);
}

TEST_CASE(
    "a member paused until declared dead refutes with a higher incarnation",
    "[membership]")
{
    membership_fleet fleet(options_for(13));
    converge(fleet);
    const std::uint64_t before = fleet.member_at(4).self().incarnation;
    fleet.process_at(4).paused = true;
    fleet.run(seconds(30));
    CHECK(fleet.all_record_state(4, member_state::dead));
    fleet.process_at(4).paused = false;
    const auto rejoined = [&] {
        return fleet.all_record_state(4, member_state::alive) &&
               fleet.all_have_live_count(fleet.size());
    };
    fleet.run(seconds(30), rejoined);
    CHECK(rejoined());
    CHECK(fleet.member_at(4).self().incarnation > before);
    CHECK(fleet.member_at(4).counters().pauses == 1);
    // The paused member did not declare others dead because of its own pause.
    CHECK(fleet.member_at(4).counters().deaths == 0);
}

TEST_CASE("a member paused for 3 s is not declared dead", "[membership]")
{
    membership_fleet fleet(options_for(13));
    converge(fleet);
    fleet.process_at(4).paused = true;
    fleet.run(seconds(3));
    fleet.process_at(4).paused = false;
    fleet.run(seconds(5));
    CHECK(fleet.all_record_state(4, member_state::alive));
    CHECK(fleet.member_at(4).counters().pauses == 1);
    CHECK(fleet.total(&membership::member_counters::deaths) == 0);
}

TEST_CASE("a restarted member rejoins with its new incarnation", "[membership]")
{
    // Restarts before and after the member is declared dead, with and without
    // its clock set back.
    const int outage_s = GENERATE(0, 1, 30);
    const bool clock_set_back = GENERATE(false, true);
    membership_fleet fleet(options_for(13));
    fleet.set_wall_clock_offset(1000000);
    fleet.crash(4);
    fleet.start(4);
    converge(fleet);
    fleet.crash(4);
    fleet.run(seconds(outage_s));
    if (clock_set_back)
        fleet.set_wall_clock_offset(0);
    fleet.start(4);
    const auto rejoined = [&] {
        return fleet.member_at(4).live_count() == fleet.size() &&
               fleet.all_record_state(4, member_state::alive) &&
               fleet.member_at(0).find("member-4")->incarnation ==
                   fleet.member_at(4).self().incarnation;
    };
    fleet.run(seconds(60), rejoined);
    CHECK(rejoined());
}

TEST_CASE(
    "members reconnect to a member that left and restarts without introducers",
    "[membership]")
{
    fleet_options options = options_for(13);
    options.introducers = 0;
    options.know_each_other = true;
    membership_fleet fleet(options);
    fleet.run(seconds(3));
    fleet.set_state(4, member_state::left);
    fleet.run(seconds(1));
    fleet.crash(4);
    fleet.start(4);
    const auto rejoined = [&] {
        return fleet.member_at(4).live_count() == fleet.size() &&
               fleet.all_record_state(4, member_state::alive);
    };
    fleet.run(seconds(5), rejoined);
    CHECK(rejoined());
}

TEST_CASE("the members of both sides find each other after a partition",
          "[membership]")
{
    const int partition_s = GENERATE(5, 120);
    membership_fleet fleet(options_for(30));
    converge(fleet);
    for (std::size_t index = 0; index < 12; ++index)
        fleet.process_at(index).partition = 1;
    fleet.run(seconds(partition_s));
    if (partition_s > 60) {
        CHECK(fleet.member_at(0).live_count() == 12);
        CHECK(fleet.member_at(20).live_count() == 18);
    }
    for (std::size_t index = 0; index < 12; ++index)
        fleet.process_at(index).partition = 0;
    const auto all_live = [&] {
        return fleet.all_have_live_count(fleet.size());
    };
    fleet.run(seconds(90), all_live);
    CHECK(all_live());
}

TEST_CASE("a member that starts partitioned joins once the partition heals",
          "[membership]")
{
    membership_fleet fleet(options_for(5));
    fleet.process_at(4).partition = 1;
    fleet.run(seconds(60));
    CHECK(fleet.member_at(4).live_count() == 1);
    fleet.process_at(4).partition = 0;
    converge(fleet);
}

TEST_CASE("no member is declared dead by mistake at 5% loss", "[membership]")
{
    membership_fleet fleet(options_for(40));
    converge(fleet);
    fleet.set_loss(0.05);
    fleet.run(seconds(120));
    CHECK(fleet.total(&membership::member_counters::deaths) == 0);
    CHECK(fleet.all_have_live_count(fleet.size()));
}

TEST_CASE("a new configuration version spreads without a new incarnation",
          "[membership]")
{
    membership_fleet fleet(options_for(13));
    converge(fleet);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        membership::member_record self = fleet.member_at(index).self();
        self.configuration_version = 7;
        const std::uint64_t incarnation = self.incarnation;
        fleet.update(index, self);
        CHECK(fleet.member_at(index).self().incarnation == incarnation);
    }
    const auto all_record_version_7 = [&] {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            for (const auto& record : fleet.member_at(index).records()) {
                if (record.configuration_version != 7)
                    return false;
            }
        }
        return true;
    };
    fleet.run(seconds(20), all_record_version_7);
    CHECK(all_record_version_7());
}

TEST_CASE("a change of service reaches all members", "[membership]")
{
    membership_fleet fleet(options_for(13, 0.05));
    converge(fleet);
    membership::member_record self = fleet.member_at(3).self();
    self.service = "kitcheck";
    self.slots = 4;
    fleet.update(3, self);
    const auto all_record_change = [&] {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            const auto* record = fleet.member_at(index).find("member-3");
            if (record->service != "kitcheck" || record->slots != 4)
                return false;
        }
        return true;
    };
    fleet.run(seconds(10), all_record_change);
    CHECK(all_record_change());
}

TEST_CASE("replayed datagrams are refused by their receiver and by others",
          "[membership]")
{
    membership_fleet fleet(options_for(5));
    struct recorded_datagram
    {
        std::size_t from;
        std::size_t to;
        std::string payload;
    };
    std::vector<recorded_datagram> recorded;
    converge(fleet);
    fleet.run(seconds(5));
    fleet.on_datagram_sent = [&](std::size_t from, std::size_t to,
                                 const std::string& payload) {
        recorded.push_back({from, to, payload});
    };
    fleet.run(seconds(5));
    fleet.on_datagram_sent = {};
    fleet.run(seconds(1));
    REQUIRE(recorded.size() > 20);
    const std::uint64_t before =
        fleet.total(&membership::member_counters::replayed);
    for (const recorded_datagram& datagram : recorded) {
        const auto actions =
            fleet.member_at(datagram.to)
                .on_datagram(
                    fleet.process_at(datagram.from).initial_record.gossip,
                    datagram.payload, fleet.now());
        CHECK(actions.empty());
        // Another member does not accept it either.
        const std::size_t other = (datagram.to + 1) % fleet.size();
        CHECK(fleet.member_at(other)
                  .on_datagram(
                      fleet.process_at(datagram.from).initial_record.gossip,
                      datagram.payload, fleet.now())
                  .empty());
    }
    CHECK(fleet.total(&membership::member_counters::replayed) ==
          before + recorded.size());
}

TEST_CASE("datagrams of an earlier incarnation change nothing", "[membership]")
{
    membership_fleet fleet(options_for(5));
    converge(fleet);
    std::vector<std::string> recorded;
    fleet.on_datagram_sent = [&](std::size_t from, std::size_t to,
                                 const std::string& payload) {
        if (from == 3 && to == 0)
            recorded.push_back(payload);
    };
    fleet.run(seconds(20));
    fleet.on_datagram_sent = {};
    fleet.crash(3);
    fleet.run(seconds(1));
    fleet.start(3);
    fleet.run(seconds(10));
    const std::uint64_t incarnation =
        fleet.member_at(0).find("member-3")->incarnation;
    REQUIRE_FALSE(recorded.empty());
    for (const std::string& payload : recorded) {
        fleet.member_at(0).on_datagram(
            fleet.process_at(3).initial_record.gossip, payload, fleet.now());
    }
    CHECK(fleet.member_at(0).counters().former_life == recorded.size());
    CHECK(fleet.member_at(0).find("member-3")->incarnation == incarnation);
    CHECK(fleet.member_at(0).find("member-3")->state == member_state::alive);
}

TEST_CASE("keys are rotated without losing members", "[membership]")
{
    const config::shared_key current_key{"k1", "a-secret-of-the-tests"};
    const config::shared_key next_key{"k2", "another-secret-of-tests"};
    membership_fleet fleet(options_for(4));
    converge(fleet);
    // First all members accept the next key, then all sign with it, then the
    // current key is removed.
    const std::vector<std::vector<config::shared_key>> steps = {
        {current_key, next_key}, {next_key, current_key}, {next_key}};
    for (const auto& keys : steps) {
        fleet.keys = keys;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.crash(index);
            fleet.start(index);
            fleet.run(seconds(5));
            CHECK(fleet.all_have_live_count(fleet.size()));
        }
    }
    CHECK(fleet.total(&membership::member_counters::unauthenticated) == 0);
}

TEST_CASE("a member with an unknown key cannot join", "[membership]")
{
    membership_fleet fleet(options_for(4));
    converge(fleet);
    fleet.keys = {{"k1", "a-secret-of-somebody-else"}};
    fleet.add();
    fleet.run(seconds(20));
    CHECK(fleet.member_at(4).live_count() == 1);
    CHECK(fleet.member_at(0).live_count() == 4);
    CHECK(fleet.total(&membership::member_counters::unauthenticated) > 0);
}

TEST_CASE("a suspicion is sent although the member's record is still queued",
          "[membership]")
{
    const config::shared_key key{"k1", "a-secret-of-the-tests"};
    const support::time_point begin{seconds(1)};
    const auto record_of = [](const std::string& id) {
        membership::member_record record;
        record.id = id;
        record.incarnation = 5;
        record.state = member_state::alive;
        record.gossip = {"10.0.0.9", 7103};
        record.domain = "bilbao";
        return record;
    };
    membership::member under_test(record_of("own"), {}, {key}, 1);
    (void)under_test.on_tick(begin);
    membership::message incoming;
    incoming.sender = "m0";
    incoming.start_incarnation = incoming.incarnation = 5;
    incoming.body = membership::gossip{};
    for (std::uint64_t count = 0; count < 60; ++count) {
        incoming.records = {record_of("m" + std::to_string(count))};
        incoming.sequence = count + 1;
        (void)under_test.on_datagram({"10.0.0.9", 7103}, encode(incoming, key),
                                     begin);
    }
    const membership::member_hash suspected = membership::hash_of("m5");
    incoming.records.clear();
    incoming.status_updates = {{suspected, 5, member_state::suspect,
                                membership::content_hash(record_of("m5")),
                                membership::hash_of("m7")}};
    incoming.sequence = 100;
    (void)under_test.on_datagram({"10.0.0.9", 7103}, encode(incoming, key),
                                 begin);
    bool suspicion_sent = false;
    for (int tick = 1; tick < 10; ++tick) {
        for (const auto& action : under_test.on_tick(
                 begin + tick * membership::member::tick_interval)) {
            const auto* sent = std::get_if<membership::send_datagram>(&action);
            if (sent == nullptr)
                continue;
            const auto decoded = membership::decode(sent->payload, {&key, 1});
            REQUIRE(decoded);
            for (const auto& status : decoded.value().status_updates) {
                suspicion_sent =
                    suspicion_sent || (status.member == suspected &&
                                       status.state == member_state::suspect);
            }
        }
    }
    CHECK(suspicion_sent);
}

TEST_CASE("the same seed and events produce the same datagrams", "[membership]")
{
    const auto trace = [] {
        membership_fleet fleet(options_for(7, 0.1));
        std::string datagrams;
        fleet.on_datagram_sent = [&](std::size_t, std::size_t,
                                     const std::string& payload) {
            datagrams += payload;
        };
        fleet.run(seconds(10));
        fleet.crash(2);
        fleet.run(seconds(20));
        return datagrams;
    };
    CHECK(trace() == trace());
}

TEST_CASE("datagrams stay within the size limit and the byte budget",
          "[membership]")
{
    membership_fleet fleet(options_for(150));
    std::size_t largest = 0;
    fleet.on_datagram_sent = [&](std::size_t, std::size_t,
                                 const std::string& payload) {
        largest = std::max(largest, payload.size());
    };
    converge(fleet);
    CHECK(largest <= membership::max_datagram_bytes);
    const std::uint64_t before =
        fleet.total(&membership::member_counters::bytes_sent);
    fleet.run(seconds(30));
    const std::uint64_t bytes_sent =
        fleet.total(&membership::member_counters::bytes_sent) - before;
    CHECK(bytes_sent / fleet.size() / 30 <= 2000);
}

// Guards against messages of other parts, such as those about limits of
// organisations, that use up the byte budget of digests and pulls.
TEST_CASE("a large fleet that starts over 5 s is known within 3 s under load",
          "[membership]")
{
    constexpr std::size_t size = 300;
    fleet_options options = options_for(10);
    options.domains = 6;
    options.introducers = 6;
    membership_fleet fleet(options);
    // 20 messages a second from each member.
    const auto run_with_load = [&](int intervals) {
        for (; intervals > 0; --intervals) {
            for (std::size_t from = 0; from < fleet.size(); ++from)
                fleet.send_extension(from,
                                     (from * 7 + intervals) % fleet.size(),
                                     std::string(200, 'x'));
            fleet.run(std::chrono::milliseconds(50));
        }
    };
    while (fleet.size() < size) {
        fleet.add();
        fleet.add();
        fleet.add();
        run_with_load(1);
    }
    run_with_load(60);
    // Shares of limits need 80% of the members.
    for (std::size_t index = 0; index < size; ++index)
        CHECK(fleet.member_at(index).live_count() >= size * 8 / 10);
}

TEST_CASE("separate groups merge once they find each other's introducers",
          "[membership]")
{
    fleet_options options = options_for(16);
    options.introducers = 0;
    membership_fleet fleet(options);
    // The members of each domain know only each other.
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        std::vector<membership::member_record> group;
        for (std::size_t other = index % options.domains; other < fleet.size();
             other += options.domains)
            group.push_back(fleet.process_at(other).initial_record);
        fleet.member_at(index).add_records(group, fleet.now());
    }
    fleet.run(seconds(5));
    CHECK_FALSE(fleet.member_at(0).find("member-1"));
    for (const std::size_t holder : {0U, 1U, 2U}) {
        const config::endpoint found[] = {
            fleet.process_at((holder + 1) % options.domains)
                .initial_record.gossip};
        fleet.member_at(holder).add_introducers(found);
    }
    const auto all_live = [&] {
        return fleet.all_have_live_count(fleet.size());
    };
    // Traffic may begin 8 s after the start of a fleet, of which reading the
    // directory takes 3 s.
    fleet.run(seconds(5), all_live);
    CHECK(all_live());
}
