// Golden sessions of the state that daemons share: membership and
// configuration.
#include "session.hpp"

#include "galenarudder/daemon/node.hpp"

#include <nlohmann/json.hpp>

#include <memory>

namespace galenarudder::golden {

namespace {

constexpr support::time_point start_time{std::chrono::seconds(100)};
constexpr int member_count = 3;
constexpr std::uint16_t gossip_port = 7103;

config::daemon_settings make_settings(int index)
{
    config::daemon_settings settings;
    settings.member = "pedidos-" + std::to_string(index + 1);
    settings.domain = index == 0 ? "bilbao" : "oviedo";
    settings.gossip = {"127.0.0." + std::to_string(index + 1), gossip_port};
    settings.introducers = {{"127.0.0.1", gossip_port}};
    settings.keys = {{"k1", "a-secret-of-the-golden-session"}};
    return settings;
}

/// Three nodes; a datagram arrives one step after it was sent.
class node_network
{
public:
    node_network()
    {
        for (int index = 0; index < member_count; ++index) {
            nodes_.push_back(std::make_unique<daemon::node>(
                make_settings(index), 1, static_cast<std::uint64_t>(index)));
        }
    }

    daemon::node& at(std::size_t index) { return *nodes_.at(index); }
    support::time_point now() const { return now_; }
    void stop(std::size_t index) { stopped_index_ = static_cast<int>(index); }

    /// Advances by \p steps ticks.
    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
            run_step();
    }

    void queue_datagrams(std::size_t from,
                         std::vector<daemon::node_action> actions)
    {
        for (daemon::node_action& action : actions) {
            auto* datagram = std::get_if<membership::send_datagram>(&action);
            if (datagram != nullptr)
                in_flight_.push_back(
                    {make_settings(static_cast<int>(from)).gossip,
                     std::move(*datagram)});
        }
    }

private:
    struct datagram_in_flight
    {
        config::endpoint from;
        membership::send_datagram action;
    };

    void run_step()
    {
        now_ += membership::member::tick_interval;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (static_cast<int>(index) != stopped_index_)
                queue_datagrams(index, nodes_[index]->on_tick(now_));
        }
        const std::vector<datagram_in_flight> arriving = std::move(in_flight_);
        in_flight_.clear();
        for (const datagram_in_flight& datagram : arriving)
            deliver(datagram);
    }

    void deliver(const datagram_in_flight& datagram)
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const bool is_addressee =
                make_settings(static_cast<int>(index)).gossip ==
                datagram.action.to;
            if (!is_addressee || static_cast<int>(index) == stopped_index_)
                continue;
            queue_datagrams(index,
                            nodes_[index]->on_datagram(
                                datagram.from, datagram.action.payload, now_));
        }
    }

    std::vector<std::unique_ptr<daemon::node>> nodes_;
    std::vector<datagram_in_flight> in_flight_;
    support::time_point now_ = start_time;
    int stopped_index_ = -1;
};

void print_view(transcript& out,
                const std::string& when,
                node_network& fleet,
                std::size_t observer)
{
    out.line(when + ", as " + fleet.at(observer).member().self().id +
             " sees it");
    for (const auto& record : fleet.at(observer).member().records()) {
        out.line("  " + record.id + " " + std::string(to_string(record.state)) +
                 " service=" + record.service + " configuration=" +
                 std::to_string(record.configuration_version));
    }
}

std::string document_text(std::uint64_t version, const std::string& change_id)
{
    config::document content;
    content.version = version;
    content.change_id = change_id;
    content.author = "ane";
    content.note = "golden session";
    const nlohmann::json route = {{"prefix", "/"}, {"rank", "normal"}};
    const nlohmann::json service = {{"name", "pedidos"},
                                    {"routes", nlohmann::json::array({route})}};
    content.base = {{"format", "galenarudder-base-1"},
                    {"services", nlohmann::json::array({service})}};
    return config::serialize(content);
}

void print_version(transcript& out,
                   const std::string& event,
                   const daemon::node& node)
{
    out.line(event + ": version " +
             std::to_string(node.configuration().read()->version) +
             " in force");
}

} // namespace

void play_membership(transcript& out)
{
    constexpr int steps_to_settle = 300;
    constexpr std::uint32_t slots = 9;
    node_network fleet;
    for (std::size_t index = 0; index < member_count; ++index) {
        fleet.queue_datagrams(index, fleet.at(index).on_announcement(
                                         "pedidos", slots, fleet.now()));
    }
    fleet.run(steps_to_settle);
    print_view(out, "after all joined", fleet, 0);
    fleet.queue_datagrams(1, fleet.at(1).on_drain(fleet.now()));
    fleet.run(steps_to_settle);
    print_view(out, "after pedidos-2 began to drain", fleet, 0);
    fleet.stop(2);
    fleet.run(steps_to_settle);
    print_view(out, "after pedidos-3 crashed", fleet, 0);
}

void play_configuration(transcript& out)
{
    daemon::node node(make_settings(0), 1, 1);
    support::time_point now = start_time;
    print_version(out, "at start", node);
    node.on_document(document_text(3, "c3"), now);
    print_version(out, "version 3 from the store", node);
    node.on_document(document_text(2, "c2"), now);
    print_version(out, "version 2 from a peer that lags", node);
    node.on_document(document_text(3, "other"), now);
    print_version(out, "another version 3", node);
    node.on_document("not a document", now);
    print_version(out, "a document that is malformed", node);
    node.on_rollout_event(&rollout::rollout::on_store_unavailable, now);
    print_version(out, "the store is down", node);
    node.on_document(document_text(4, "c4"), now);
    print_version(out, "version 4 from a peer", node);
}

} // namespace galenarudder::golden
