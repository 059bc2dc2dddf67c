// Sessions of what the daemons share: membership and configuration.
#include "session.hpp"

#include "galenarudder/daemon/node.hpp"

#include <nlohmann/json.hpp>

#include <memory>

namespace galenarudder::golden {

namespace {

constexpr support::time_point start_time{std::chrono::seconds(100)};
constexpr int member_count = 3;
constexpr std::uint16_t gossip_port = 7103;

config::daemon_settings settings_of(int number)
{
    config::daemon_settings settings;
    settings.member = "pedidos-" + std::to_string(number + 1);
    settings.domain = number == 0 ? "bilbao" : "oviedo";
    settings.gossip = {"127.0.0." + std::to_string(number + 1), gossip_port};
    settings.introducers = {{"127.0.0.1", gossip_port}};
    settings.keys = {{"k1", "a-secret-of-the-golden-session"}};
    return settings;
}

/// A few nodes whose datagrams arrive one step after they were sent.
class small_fleet
{
public:
    small_fleet()
    {
        for (int number = 0; number < member_count; ++number) {
            nodes_.push_back(std::make_unique<daemon::node>(
                settings_of(number), 1, static_cast<std::uint64_t>(number)));
        }
    }

    daemon::node& at(std::size_t number) { return *nodes_.at(number); }
    support::time_point now() const { return now_; }
    void stop(std::size_t number) { stopped_ = static_cast<int>(number); }

    /// Advances by \p steps ticks.
    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
            run_one();
    }

    void take(std::size_t from, std::vector<daemon::node_action> actions)
    {
        for (daemon::node_action& action : actions) {
            auto* sent = std::get_if<membership::send_datagram>(&action);
            if (sent != nullptr)
                flying_.push_back({settings_of(static_cast<int>(from)).gossip,
                                   std::move(*sent)});
        }
    }

private:
    struct flying_datagram
    {
        config::endpoint from;
        membership::send_datagram sent;
    };

    void run_one()
    {
        now_ += membership::member::tick_interval;
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            if (static_cast<int>(number) != stopped_)
                take(number, nodes_[number]->on_tick(now_));
        }
        const std::vector<flying_datagram> landing = std::move(flying_);
        flying_.clear();
        for (const flying_datagram& datagram : landing)
            land(datagram);
    }

    void land(const flying_datagram& datagram)
    {
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            const bool addressed =
                settings_of(static_cast<int>(number)).gossip ==
                datagram.sent.to;
            if (!addressed || static_cast<int>(number) == stopped_)
                continue;
            take(number, nodes_[number]->on_datagram(
                             datagram.from, datagram.sent.payload, now_));
        }
    }

    std::vector<std::unique_ptr<daemon::node>> nodes_;
    std::vector<flying_datagram> flying_;
    support::time_point now_ = start_time;
    int stopped_ = -1;
};

void print_view(transcript& out,
                const std::string& when,
                small_fleet& fleet,
                std::size_t viewer)
{
    out.line(when + ", as " + fleet.at(viewer).member().self().id + " sees it");
    for (const auto& record : fleet.at(viewer).member().records()) {
        out.line("  " + record.id + " " + std::string(to_string(record.state)) +
                 " service=" + record.service + " configuration=" +
                 std::to_string(record.configuration_version));
    }
}

std::string document_text(std::uint64_t version, const std::string& change_id)
{
    config::document whole;
    whole.version = version;
    whole.change_id = change_id;
    whole.author = "ane";
    whole.note = "golden session";
    const nlohmann::json route = {{"prefix", "/"}, {"rank", "normal"}};
    const nlohmann::json service = {{"name", "pedidos"},
                                    {"routes", nlohmann::json::array({route})}};
    whole.base = {{"format", "galenarudder-base-1"},
                  {"services", nlohmann::json::array({service})}};
    return config::serialize(whole);
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
    small_fleet fleet;
    for (std::size_t number = 0; number < member_count; ++number) {
        fleet.take(number, fleet.at(number).on_announcement("pedidos", slots,
                                                            fleet.now()));
    }
    fleet.run(steps_to_settle);
    print_view(out, "after all joined", fleet, 0);
    fleet.take(1, fleet.at(1).on_drain(fleet.now()));
    fleet.run(steps_to_settle);
    print_view(out, "after pedidos-2 began to drain", fleet, 0);
    fleet.stop(2);
    fleet.run(steps_to_settle);
    print_view(out, "after pedidos-3 crashed", fleet, 0);
}

void play_configuration(transcript& out)
{
    daemon::node node(settings_of(0), 1, 1);
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
