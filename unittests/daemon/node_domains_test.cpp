// Daemons learn from one of them which domains are emptied: their routers leave
// the upstreams there out, and the daemons there show none.
#include "galenarudder/daemon/node.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

namespace galenarudder::daemon {

namespace {

constexpr std::uint16_t gossip_port = 7103;
constexpr std::uint32_t slots = 4;

/// Two nodes in domain `east` and two in `west`, each with an upstream that
/// announces itself each second. A datagram arrives with the next tick.
class node_network
{
public:
    node_network()
    {
        for (std::size_t index = 0; index < size; ++index) {
            nodes_.push_back(
                std::make_unique<node>(settings_of(index), 1, index));
        }
        gate_emptied.resize(size, true);
    }

    node& at(std::size_t index) { return *nodes_.at(index); }

    void run(support::duration span)
    {
        for (const auto end = now + span; now < end;
             now += membership::member::tick_interval) {
            const auto arriving = std::exchange(in_flight_, {});
            for (const auto& [from, datagram] : arriving)
                deliver(from, datagram);
            for (std::size_t index = 0; index < size; ++index) {
                carry_out(index, at(index).on_tick(now));
                const auto since_start = now.time_since_epoch();
                if (since_start % std::chrono::seconds(1) ==
                    support::duration(0))
                    carry_out(index,
                              at(index).on_announcement("alpha", slots, now));
            }
        }
    }

    void carry_out(std::size_t from, const std::vector<node_action>& actions)
    {
        for (const node_action& action : actions) {
            if (const auto* sent =
                    std::get_if<membership::send_datagram>(&action))
                in_flight_.emplace_back(settings_of(from).gossip, *sent);
            if (const auto* change = std::get_if<set_gate_emptied>(&action))
                gate_emptied.at(from) = change->emptied;
        }
    }

    /// Returns whether the router of \p index sends calls to \p domain.
    bool reaches(std::size_t index, const std::string& domain)
    {
        support::random_engine random(1);
        for (int pick = 0; pick < 200; ++pick) {
            const auto chosen =
                at(index).router().pick({"alpha", 0, {}, {}}, now, random);
            if (chosen && chosen->member.starts_with(domain))
                return true;
        }
        return false;
    }

    support::time_point now{std::chrono::seconds(100)};
    std::vector<bool> gate_emptied;
    static constexpr std::size_t size = 4;

private:
    static config::daemon_settings settings_of(std::size_t index)
    {
        config::daemon_settings settings;
        settings.domain = index < 2 ? "east" : "west";
        settings.member = settings.domain + "-" + std::to_string(index);
        settings.gossip = {"127.0.0." + std::to_string(index + 1), gossip_port};
        settings.introducers = {{"127.0.0.1", gossip_port}};
        settings.keys = {{"k1", "a-secret-of-this-unit-test"}};
        settings.empty_domains = true;
        return settings;
    }
    void deliver(const config::endpoint& from,
                 const membership::send_datagram& datagram)
    {
        for (std::size_t index = 0; index < size; ++index) {
            if (settings_of(index).gossip == datagram.to)
                carry_out(index,
                          at(index).on_datagram(from, datagram.payload, now));
        }
    }

    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::pair<config::endpoint, membership::send_datagram>>
        in_flight_;
};

} // namespace

TEST_CASE("a domain is emptied and taken back at all nodes")
{
    using namespace std::chrono_literals;
    node_network fleet;
    CHECK(fleet.gate_emptied == std::vector<bool>(4, true));
    fleet.carry_out(3, fleet.at(3).on_domains_read({}, {1, 10}, fleet.now));
    fleet.run(5s);
    REQUIRE(fleet.gate_emptied == std::vector<bool>(4, false));
    REQUIRE(fleet.reaches(2, "east"));

    fleet.carry_out(
        3, fleet.at(3).on_domain_changed("east", true, {1, 11}, fleet.now));
    fleet.run(3s);
    CHECK(fleet.gate_emptied == std::vector<bool>{true, true, false, false});
    for (std::size_t index = 0; index < fleet.size; ++index) {
        INFO(index);
        CHECK_FALSE(fleet.reaches(index, "east"));
        // The upstreams have announced themselves meanwhile.
        const auto* record = fleet.at(index).member().find("east-0");
        REQUIRE(record != nullptr);
        CHECK(record->service.empty());
        CHECK(fleet.at(index).member().find("west-2")->service == "alpha");
    }

    fleet.carry_out(
        0, fleet.at(0).on_domain_changed("east", false, {1, 12}, fleet.now));
    fleet.run(5s);
    CHECK(fleet.gate_emptied == std::vector<bool>(4, false));
    for (std::size_t index = 0; index < fleet.size; ++index)
        CHECK(fleet.reaches(index, "east"));
}

} // namespace galenarudder::daemon
