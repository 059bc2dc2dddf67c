// Measures for how long single events keep the event loop of a daemon. For a
// new configuration, by the number of its routes: every event of the control
// state machines that a change leads to, at a daemon that watches the store and
// at one that gets the change from a peer, and the time of the build, which
// runs on another thread. For membership, by the number of members of one
// service: a datagram that brings ten records.
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/rollout/rollout.hpp"
#include "galenarudder/routing/router.hpp"
#include "galenarudder/support/rcu_cell.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

using namespace galenarudder;
using namespace std::chrono_literals;

namespace {

/// The bound on a turn is 50 ms (telemetry::long_turn_bound). A VM of the
/// smallest kind has a tenth of a core, so that a turn may take a tenth of it.
constexpr double target_ms = 5;
constexpr std::size_t route_counts[] = {60, 1400, 2800};
constexpr std::size_t peers = 79;
constexpr int changes = 5;

std::string document_text(std::size_t routes, std::uint64_t version)
{
    config::document content;
    content.version = version;
    content.change_id = "change-" + std::to_string(version);
    content.author = "bench";
    content.base = nlohmann::json::parse(R"({
      "format": "galenarudder-base-1",
      "ranks": [{"name": "urgent"}, {"name": "normal"}],
      "services": [{"name": "s0"}, {"name": "s1"}, {"name": "s2"}],
      "hosts": []})");
    for (std::size_t index = 0; index < routes; ++index) {
        // Each version drops a route near the front.
        if (index == version)
            continue;
        const std::string number = std::to_string(index);
        content.base["hosts"].push_back(
            {{"host", "h" + std::to_string(index % 40) + ".example"},
             {"prefix", "/p" + number + "/"},
             {"rank", index % 3 == 0 ? "urgent" : "normal"},
             {"repeatable", index % 4 != 0},
             {"deadline_ms", 1500},
             {"goal_ms", 600},
             {"attempts", 2},
             {"services", {{{"service", "s" + std::to_string(index % 3)}}}}});
    }
    return config::serialize(content);
}

membership::member_record record_of(std::size_t index)
{
    membership::member_record record;
    record.id = "peer-" + std::to_string(index);
    record.domain = index % 2 == 0 ? "bilbao" : "oviedo";
    record.state = membership::member_state::alive;
    record.service = "s" + std::to_string(index % 3);
    record.slots = 9;
    record.operators = {"127.0.0.1", 7105};
    return record;
}

/// What a daemon does on its loop for a configuration. Keeps the longest time
/// of an event and of a build.
class daemon_model
{
public:
    explicit daemon_model(const std::string& member)
        : rollout_(member, "bilbao", 1, peers), router_("bilbao", member),
          in_force_(std::make_shared<const config::configuration>(
              config::default_configuration())),
          gate_(config::default_configuration())
    {
        for (std::size_t index = 0; index < peers; ++index) {
            router_.on_record(record_of(index), {});
            rollout_.on_member(record_of(index), {});
        }
    }

    template <typename Event, typename... Arguments>
    void deliver(Event event, const Arguments&... arguments)
    {
        const auto begin = support::monotonic_clock::now();
        const std::vector<rollout::action> actions =
            (rollout_.*event)(arguments..., support::time_point(1s));
        for (const rollout::action& action : actions) {
            const auto* adoption = std::get_if<rollout::adopt>(&action);
            if (adoption == nullptr)
                continue;
            router_.on_configuration(adoption->adopted->effective);
            in_force_.replace(adoption->adopted->effective);
            gate_.on_configuration(adoption->adopted->effective, {});
        }
        record(longest_event_ms_, begin);
        for (const rollout::action& action : actions) {
            if (const auto* request =
                    std::get_if<rollout::build_document>(&action))
                build(*request);
        }
    }

    /// Returns the transfer for a peer with the document \p peer_id.
    std::string serve(const rollout::document_id& peer_id)
    {
        const auto begin = support::monotonic_clock::now();
        std::string transfer = rollout_.transfer_for(peer_id);
        record(longest_event_ms_, begin);
        return transfer;
    }

    const rollout::document_id& current_id() const
    {
        return rollout_.current_id();
    }
    double longest_event_ms() const { return longest_event_ms_; }
    double longest_build_ms() const { return longest_build_ms_; }
    void reset()
    {
        longest_event_ms_ = 0;
        longest_build_ms_ = 0;
    }

private:
    static void record(double& longest_ms, support::time_point begin)
    {
        longest_ms =
            std::max(longest_ms,
                     support::to_ms(support::monotonic_clock::now() - begin));
    }
    void build(const rollout::build_document& request)
    {
        const auto begin = support::monotonic_clock::now();
        const auto built = rollout::build(*request.input);
        record(longest_build_ms_, begin);
        deliver(&rollout::rollout::on_built, request.build_number, built);
    }

    rollout::rollout rollout_;
    routing::router router_;
    support::rcu_cell<config::configuration> in_force_;
    admission::gate gate_;
    double longest_event_ms_ = 0;
    double longest_build_ms_ = 0;
};

void print(const std::string& name, std::size_t routes, double value_ms)
{
    std::printf("{\"name\":\"%s_at_%zu_routes\",\"value\":%.3f,\"unit\":\"ms "
                "of a core\"",
                name.c_str(), routes, value_ms);
}

void print_bounded(const std::string& name, std::size_t routes, double value_ms)
{
    print(name, routes, value_ms);
    std::printf(",\"target\":%.1f,\"better\":\"less\",\"met\":%s}\n", target_ms,
                value_ms <= target_ms ? "true" : "false");
}

void measure(std::size_t routes)
{
    daemon_model watcher("a");
    daemon_model other("b");
    for (std::uint64_t version = 1; version <= 1 + changes; ++version) {
        if (version == 2) {
            watcher.reset();
            other.reset();
        }
        watcher.deliver(&rollout::rollout::on_store_answer,
                        document_text(routes, version),
                        store::change_index{version});
        other.deliver(&rollout::rollout::on_transfer,
                      watcher.serve(other.current_id()),
                      support::member_id("a"));
    }
    print_bounded("configuration_turn_of_watcher", routes,
                  watcher.longest_event_ms());
    print_bounded("configuration_turn_of_receiver", routes,
                  other.longest_event_ms());
    print("configuration_build_of_watcher", routes, watcher.longest_build_ms());
    std::printf("}\n");
    print("configuration_build_of_receiver", routes, other.longest_build_ms());
    std::printf("}\n");
}

/// Changes ten members of a service at once, as a datagram does, until each has
/// changed.
void measure_members(std::size_t members)
{
    constexpr std::size_t records_in_datagram = 10;
    routing::router router("bilbao", "a");
    std::vector<membership::member_record> records;
    for (std::size_t index = 0; index < members; ++index) {
        records.push_back(record_of(index));
        records.back().service = "s0";
    }
    router.on_records(records);
    double longest_ms = 0;
    for (std::size_t begin = 0; begin + records_in_datagram <= members;
         begin += records_in_datagram) {
        const std::span datagram =
            std::span(records).subspan(begin, records_in_datagram);
        for (membership::member_record& record : datagram)
            record.slots = 8;
        const auto started = support::monotonic_clock::now();
        router.on_records(datagram);
        longest_ms =
            std::max(longest_ms,
                     support::to_ms(support::monotonic_clock::now() - started));
    }
    std::printf("{\"name\":\"membership_turn_at_%zu_members\",\"value\":%.3f,"
                "\"unit\":\"ms of a core\",\"target\":%.1f,\"better\":"
                "\"less\",\"met\":%s}\n",
                members, longest_ms, target_ms,
                longest_ms <= target_ms ? "true" : "false");
}

} // namespace

int main()
{
    for (const std::size_t routes : route_counts)
        measure(routes);
    for (const std::size_t members : {79, 400, 1400})
        measure_members(members);
    return 0;
}
