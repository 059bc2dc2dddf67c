// Daemons agree on which failure domains are emptied, although messages are
// lost, late and repeated and the store is out of reach of most of them.
#include "galenarudder/membership/domain_states.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <deque>

namespace galenarudder::membership {

namespace {

using namespace std::chrono_literals;

constexpr support::milliseconds tick{100};

/// Daemons that exchange messages over a network that the test disturbs.
class fleet
{
public:
    explicit fleet(std::size_t size, std::uint64_t seed = 1) : random_(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    void start(std::size_t index)
    {
        daemons_.insert_or_assign(name(index), domain_states(index + 1));
    }
    domain_states& at(std::size_t index) { return daemons_.at(name(index)); }

    void run(support::duration span)
    {
        for (const auto end = now + span; now < end; now += tick) {
            const std::deque<sent> arriving = std::exchange(in_flight_, {});
            for (const sent& message : arriving)
                deliver(message);
            for (auto& [id, daemon] : daemons_)
                send(id, daemon.on_tick(
                             [&, id = id](std::size_t count) {
                                 return random_peers(id, count);
                             },
                             now));
        }
    }

    std::size_t count_emptied(std::string_view domain) const
    {
        std::size_t count = 0;
        for (const auto& [id, daemon] : daemons_)
            count += daemon.is_emptied(domain) ? 1 : 0;
        return count;
    }

    double loss = 0;
    std::size_t messages = 0;
    support::time_point now{1h};

private:
    struct sent
    {
        std::string from;
        domain_message message;
    };

    static std::string name(std::size_t index)
    {
        return "vm-" + std::to_string(index);
    }
    std::vector<std::string> random_peers(const std::string& own,
                                          std::size_t count)
    {
        std::vector<std::string> peers;
        for (const auto& [id, daemon] : daemons_) {
            if (id != own)
                peers.push_back(id);
        }
        std::shuffle(peers.begin(), peers.end(), random_);
        peers.resize(std::min(count, peers.size()));
        return peers;
    }
    void send(const std::string& from, std::vector<domain_message> sent_now)
    {
        for (domain_message& message : sent_now) {
            ++messages;
            REQUIRE(message.payload.size() <= domain_states::max_message_bytes);
            if (support::uniform_unit(random_) < loss)
                continue;
            in_flight_.push_back({from, message});
            // Some arrive twice, the second time late.
            if (loss > 0 && support::uniform_unit(random_) < loss)
                in_flight_.push_back({from, std::move(message)});
        }
    }
    void deliver(const sent& arrived)
    {
        const auto found = daemons_.find(arrived.message.peer);
        if (found != daemons_.end())
            send(arrived.message.peer,
                 found->second.on_message(arrived.from, arrived.message.payload,
                                          now));
    }

    std::map<std::string, domain_states> daemons_;
    std::deque<sent> in_flight_;
    support::random_engine random_;
};

constexpr store_revision at(std::uint64_t number, std::uint64_t era = 1)
{
    return {era, number};
}

} // namespace

TEST_CASE("one daemon's change reaches all within the bound")
{
    const std::size_t size = GENERATE(2, 60, 400);
    const double loss = GENERATE(0.0, 0.2);
    fleet daemons(size);
    daemons.loss = loss;
    daemons.at(0).on_reading({}, at(10), daemons.now);
    daemons.run(3s);
    daemons.at(0).on_change("north", true, at(11), daemons.now);
    daemons.run(4s);
    CHECK(daemons.count_emptied("north") == size);
    daemons.at(size - 1).on_change("north", false, at(12), daemons.now);
    daemons.run(4s);
    CHECK(daemons.count_emptied("north") == 0);
}

TEST_CASE("a fleet without emptied domains is silent once all are informed")
{
    fleet daemons(60);
    daemons.at(3).on_reading({}, at(10), daemons.now);
    daemons.run(10s);
    const std::size_t before = daemons.messages;
    daemons.run(60s);
    CHECK(daemons.messages == before);
}

TEST_CASE("while a domain is emptied a daemon sends about a message a second")
{
    fleet daemons(60);
    const std::vector<emptied_domain> emptied{{"north", at(9)}};
    daemons.at(0).on_reading(emptied, at(10), daemons.now);
    daemons.run(10s);
    const std::size_t before = daemons.messages;
    daemons.run(100s);
    CHECK(daemons.messages - before <= 60 * 115);
}

TEST_CASE("a daemon that restarts without the store asks its peers")
{
    fleet daemons(10);
    daemons.at(0).on_reading({}, at(10), daemons.now);
    daemons.at(0).on_change("north", true, at(11), daemons.now);
    daemons.run(3s);
    daemons.start(7);
    CHECK(daemons.at(7).must_wait(daemons.now));
    daemons.run(300ms);
    CHECK(daemons.at(7).informed());
    CHECK(daemons.at(7).is_emptied("north"));
}

TEST_CASE("without peers and store a daemon waits for a bounded time")
{
    fleet daemons(1);
    daemons.run(1s);
    CHECK(daemons.at(0).must_wait(daemons.now));
    daemons.run(3500ms);
    CHECK(daemons.at(0).must_wait(daemons.now));
    daemons.run(1s);
    CHECK_FALSE(daemons.at(0).must_wait(daemons.now));
}

TEST_CASE("readings and events count by their revisions, not their order")
{
    domain_states states(1);
    const support::time_point now{1h};
    const std::vector<emptied_domain> emptied{{"north", at(20)}};
    SECTION("a reading that is older than an event does not undo it")
    {
        states.on_change("north", true, at(20), now);
        states.on_reading({}, at(15), now);
        CHECK(states.is_emptied("north"));
    }
    SECTION("a newer reading without the key takes the domain back")
    {
        states.on_change("north", true, at(20), now);
        states.on_reading({}, at(21), now);
        CHECK_FALSE(states.is_emptied("north"));
    }
    SECTION("an event that is older than a reading is ignored")
    {
        states.on_reading({}, at(21), now);
        states.on_change("north", true, at(20), now);
        CHECK_FALSE(states.is_emptied("north"));
    }
    SECTION("a late delete does not undo a later key")
    {
        states.on_reading(emptied, at(21), now);
        states.on_change("north", false, at(19), now);
        CHECK(states.is_emptied("north"));
    }
    SECTION("a restored store's lower revision counts, since its era is higher")
    {
        states.on_change("north", true, at(20), now);
        states.on_reading({}, at(5, 2), now);
        CHECK_FALSE(states.is_emptied("north"));
    }
}

TEST_CASE("a peer with an older state is corrected and not believed")
{
    domain_states newer(1);
    domain_states older(2);
    const support::time_point now{1h};
    newer.on_reading({}, at(30), now);
    older.on_change("north", true, at(20), now);
    const auto sent = older.on_tick(
        [](std::size_t) { return std::vector<std::string>{"newer"}; }, now);
    for (const domain_message& message : sent) {
        for (const domain_message& reply :
             newer.on_message("older", message.payload, now))
            older.on_message("newer", reply.payload, now);
    }
    CHECK_FALSE(newer.is_emptied("north"));
    CHECK_FALSE(older.is_emptied("north"));
}

TEST_CASE("a part of a long answer does not take the other domains back")
{
    domain_states informed(1);
    domain_states asking(2);
    const support::time_point now{1h};
    std::vector<emptied_domain> emptied;
    for (int index = 0; index < 20; ++index)
        emptied.push_back({"domain-with-a-long-name-" + std::to_string(index),
                           at(10 + static_cast<std::uint64_t>(index))});
    informed.on_reading(emptied, at(50), now);
    asking.on_change("north", true, at(40), now);
    const auto answer = informed.on_message("asking", "ask\n", now);
    REQUIRE(answer.size() > 1);
    asking.on_message("informed", answer.front().payload, now);
    CHECK(asking.is_emptied("north"));
    asking.on_message("informed", answer.back().payload, now);
    CHECK(asking.emptied().size() <= emptied.size() + 1);
}

// Guards against a gate that opens in an emptied domain: after the first part
// of a long answer, or because peers did not answer for some time.
TEST_CASE("a daemon with live peers waits for all parts of an answer")
{
    domain_states informed(1);
    domain_states asking(2);
    const support::time_point start{1h};
    std::vector<emptied_domain> emptied;
    for (int index = 0; index < 20; ++index)
        emptied.push_back({"domain-with-a-long-name-" + std::to_string(index),
                           at(10 + static_cast<std::uint64_t>(index))});
    informed.on_reading(emptied, at(50), start);
    const auto peers = [](std::size_t) {
        return std::vector<std::string>{"informed"};
    };
    auto now = start;
    for (; now < start + 60s; now += tick)
        asking.on_tick(peers, now);
    CHECK(asking.must_wait(now));
    const auto first = informed.on_message("asking", "ask\n", now);
    const auto second = informed.on_message("asking", "ask\n", now);
    REQUIRE(first.size() > 2);
    // A part of another answer does not stand for the missing one.
    for (std::size_t part = 0; part + 1 < first.size(); ++part)
        asking.on_message("informed", first[part].payload, now);
    asking.on_message("informed", second.back().payload, now);
    CHECK(asking.must_wait(now));
    for (const domain_message& part : second)
        asking.on_message("informed", part.payload, now);
    CHECK_FALSE(asking.must_wait(now));
    CHECK(asking.emptied().size() == emptied.size());
}

// Guards against a fleet without a store whose daemons wait for each other.
TEST_CASE("a fleet that starts without a store opens after a bounded time")
{
    const std::size_t size = GENERATE(2, 60);
    fleet daemons(size);
    daemons.run(6s);
    for (std::size_t index = 0; index < size; ++index)
        CHECK_FALSE(daemons.at(index).must_wait(daemons.now));
    CHECK_FALSE(daemons.at(0).informed());
}

// Guards against a daemon that forgets at a restart since when a domain has
// been emptied, since it reads the store before a peer tells it.
TEST_CASE("the time since when a domain is emptied survives a restart")
{
    fleet daemons(5);
    const auto begin = daemons.now;
    const std::vector<emptied_domain> emptied{{"north", at(9)}};
    daemons.at(0).on_reading(emptied, at(10), daemons.now);
    daemons.run(60s);
    daemons.start(3);
    daemons.at(3).on_reading(emptied, at(10), daemons.now);
    daemons.run(10s);
    const domain_state& state = daemons.at(3).states().at("north");
    CHECK(state.since - begin <= 1s);
}

// Guards rolling upgrades: daemons of both versions understand each other.
TEST_CASE("messages of the version before count")
{
    const support::time_point now{1h};
    const auto peers = [](std::size_t) {
        return std::vector<std::string>{"old"};
    };
    domain_states states(1);
    states.on_tick(peers, now);
    SECTION("an answer in one message")
    {
        states.on_message("old", "know 1 20\n1 9 1 5000 north\n", now);
        CHECK(states.informed());
        CHECK(states.is_emptied("north"));
    }
    SECTION("parts without numbers count once they were repeated")
    {
        states.on_message("old", "know 0 0\n1 9 1 5000 north\n", now);
        CHECK_FALSE(states.informed());
        states.on_tick(peers, now + domain_states::unnumbered_wait);
        CHECK(states.informed());
    }
    SECTION("a daemon that knows nothing")
    {
        states.on_message("old", "tell\n", now);
        states.on_tick(peers, now + domain_states::max_alone);
        CHECK_FALSE(states.must_wait(now + domain_states::max_alone));
    }
    SECTION("what it reads of an answer")
    {
        states.on_reading({}, at(20), now);
        const auto answer = states.on_message("old", "ask\n", now);
        CHECK(answer.front().payload.starts_with("know 1 20 "));
    }
}

TEST_CASE("malformed messages change nothing")
{
    const std::string payload = GENERATE(
        "", "tell", "tell\n1 2 1 0 \n", "tell\n1 x 1 0 north\n",
        "tell\n1 2 1\n", "other\n1 2 1 0 north\n",
        "tell\n1 2 1 99999999999999999 north\n", "know x y\n1 2 1 north\n");
    domain_states states(1);
    states.on_message("peer", payload, support::time_point(1h));
    CHECK(states.emptied().empty());
}

TEST_CASE("a fleet agrees with the store after any schedule of changes")
{
    rc::prop("last write wins", [](std::uint64_t seed) {
        support::random_engine random(seed);
        fleet daemons(12, seed);
        daemons.loss = 0.3;
        bool emptied = false;
        std::uint64_t revision = 1;
        for (int step = 0; step < 12; ++step) {
            emptied = support::uniform_below(random, 2) == 1;
            ++revision;
            daemons.at(support::uniform_below(random, 12))
                .on_change("north", emptied, at(revision), daemons.now);
            if (support::uniform_below(random, 4) == 0)
                daemons.start(support::uniform_below(random, 12));
            daemons.run(
                support::milliseconds(100 * support::uniform_below(random, 8)));
        }
        // The last change is repeated, since a restart may have lost it.
        daemons.at(0).on_change("north", emptied, at(revision + 1),
                                daemons.now);
        daemons.run(20s);
        RC_ASSERT(daemons.count_emptied("north") == (emptied ? 12U : 0U));
    });
}

} // namespace galenarudder::membership
