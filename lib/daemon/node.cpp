// Forwards events to membership, rollout and router, and converts their actions
// into actions of the daemon.
#include "galenarudder/daemon/node.hpp"

#include "galenarudder/telemetry/log.hpp"

#include <algorithm>

namespace galenarudder::daemon {

namespace {

membership::member_record own_record(const config::daemon_settings& settings,
                                     std::uint64_t incarnation)
{
    membership::member_record self;
    self.id = settings.member;
    self.incarnation = incarnation;
    self.state = membership::member_state::alive;
    self.gossip = settings.gossip;
    self.link = settings.link;
    self.operators = settings.operators;
    self.domain = settings.domain;
    return self;
}

/// Converts an action of the rollout into one of the daemon.
node_action to_node_action(rollout::action action)
{
    return std::visit(
        [](auto& rollout_action) -> node_action {
            using action_type = std::decay_t<decltype(rollout_action)>;
            if constexpr (std::is_same_v<action_type, rollout::adopt>)
                return configure_gate{rollout_action.adopted->effective,
                                      rollout_action.timing};
            else
                return std::move(rollout_action);
        },
        action);
}

void append_all(std::vector<node_action>& actions,
                std::vector<node_action> appended)
{
    for (node_action& action : appended)
        actions.push_back(std::move(action));
}

constexpr const char* domain_topic = "domains";

void log_change(const membership::member_record& record)
{
    telemetry::log_event(telemetry::log_kind::state_change, "member.changed",
                         {{"peer", record.id},
                          {"state", membership::to_string(record.state)},
                          {"incarnation", record.incarnation},
                          {"service", record.service},
                          {"slots", record.slots}});
}

void log_domain_changes(const std::vector<std::string>& before,
                        const std::vector<std::string>& after,
                        const membership::domain_states& domains)
{
    const auto log_missing = [&](const char* event,
                                 const std::vector<std::string>& from,
                                 const std::vector<std::string>& in) {
        for (const std::string& domain : from) {
            if (std::find(in.begin(), in.end(), domain) != in.end())
                continue;
            const membership::store_revision& revision =
                domains.states().find(domain)->second.revision;
            telemetry::log_event(telemetry::log_kind::state_change, event,
                                 {{"domain", domain},
                                  {"era", revision.era},
                                  {"revision", revision.number}});
        }
    };
    log_missing("domain.emptied", after, before);
    log_missing("domain.restored", before, after);
}

} // namespace

node::node(const config::daemon_settings& settings,
           std::uint64_t incarnation,
           std::uint64_t seed,
           rollout::document_reader read_stored)
    : router_(settings.domain, settings.member),
      configuration_(std::make_shared<const config::configuration>(
          config::default_configuration())),
      member_(own_record(settings, incarnation),
              settings.introducers,
              settings.keys,
              seed),
      rollout_(settings.member,
               settings.domain,
               seed,
               settings.store_watchers,
               read_stored),
      empties_domains_(settings.empty_domains), own_domain_(settings.domain),
      domains_(seed), random_(seed)
{
    // Until this daemon knows whether its domain is emptied, it must not send
    // calls to its upstream.
    gate_emptied_ = empties_domains_;
    if (empties_domains_) {
        set_extension_handler(
            domain_topic,
            [this](const support::member_id& peer, const std::string& payload,
                   support::time_point now) {
                auto replies = domains_.on_message(peer, payload, now);
                auto actions = send_domain_messages(std::move(replies), now);
                append_all(actions, apply_domains(now));
                return actions;
            });
    }
    set_extension_handler(
        rollout::confirmation_topic,
        [this](const support::member_id&, const std::string& payload,
               support::time_point now) -> std::vector<node_action> {
            const auto heard = rollout::decode_confirmation(payload);
            if (heard)
                rollout_.on_confirmation(*heard, now);
            return {};
        });
    router_.set_decision_log(decisions_);
    router_.set_crossings({settings.domain,
                           settings.domain_regions,
                           {0, settings.domain_crossing_calls_per_mb,
                            settings.region_crossing_calls_per_mb}});
    router_.set_fleet_saved_extra_attempts(settings.saved_extra_attempts);
}

std::vector<node_action>
node::apply_actions(std::vector<membership::action> actions,
                    support::time_point now)
{
    std::vector<node_action> node_actions;
    std::vector<membership::member_record> changed_records;
    for (membership::action& action : actions) {
        if (auto* datagram = std::get_if<membership::send_datagram>(&action)) {
            node_actions.emplace_back(std::move(*datagram));
            continue;
        }
        if (const auto* received =
                std::get_if<membership::extension_received>(&action)) {
            const auto handler = extension_handlers_.find(received->topic);
            if (handler != extension_handlers_.end())
                append_all(
                    node_actions,
                    handler->second(received->peer, received->payload, now));
            continue;
        }
        const auto& changed = std::get<membership::record_changed>(action);
        if (!changed.only_version) {
            log_change(changed.record);
            ++member_changes_;
            changed_records.push_back(changed.record);
        }
        rollout_.on_member(changed.record, now);
    }
    router_.on_records(changed_records);
    return node_actions;
}

std::vector<node_action>
node::apply_actions(std::vector<rollout::action> actions,
                    support::time_point now)
{
    std::vector<node_action> node_actions;
    for (rollout::action& action : actions) {
        const auto* adoption = std::get_if<rollout::adopt>(&action);
        if (adoption == nullptr) {
            node_actions.push_back(to_node_action(std::move(action)));
            continue;
        }
        const rollout::built_document& adopted = *adoption->adopted;
        router_.on_configuration(adopted.effective);
        configuration_.replace(adopted.effective);
        membership::member_record self = member_.self();
        self.configuration_version = adopted.id.version;
        node_actions.push_back(to_node_action(std::move(action)));
        append_all(node_actions, update_own_record(self, now));
    }
    return node_actions;
}

std::vector<node_action>
node::update_own_record(const membership::member_record& self,
                        support::time_point now)
{
    return apply_actions(member_.update_self(self, now), now);
}

std::vector<node_action> node::on_tick(support::time_point now)
{
    std::vector<node_action> actions = apply_actions(member_.on_tick(now), now);
    append_all(actions, apply_actions(rollout_.on_tick(now), now));
    append_all(actions, apply_domains(now));
    return actions;
}

std::vector<node_action> node::on_datagram(const config::endpoint& from,
                                           std::string_view payload,
                                           support::time_point now)
{
    const std::uint64_t dropped = member_.counters().datagrams_dropped;
    auto actions = member_.on_datagram(from, payload, now);
    if (member_.counters().datagrams_dropped == dropped)
        rollout_.on_peer_message(now);
    return apply_actions(std::move(actions), now);
}

std::vector<node_action> node::on_document(std::string_view text,
                                           support::time_point now)
{
    return apply_actions(rollout_.on_document(text, now), now);
}

std::vector<node_action> node::on_store_unavailable(support::time_point now)
{
    return on_rollout_event(&rollout::rollout::on_store_unavailable, now);
}

void node::set_extension_handler(std::string topic, extension_handler handler)
{
    extension_handlers_[std::move(topic)] = std::move(handler);
}

std::vector<node_action> node::send_extension(std::string_view peer,
                                              std::string topic,
                                              std::string payload,
                                              support::time_point now)
{
    return apply_actions(
        member_.send_extension(peer, std::move(topic), std::move(payload), now),
        now);
}

std::vector<node_action> node::on_announcement(const std::string& service,
                                               std::uint32_t slots,
                                               support::time_point now)
{
    announced_service_ = service;
    announced_slots_ = slots;
    return publish_upstream(now);
}

std::vector<node_action> node::on_upstream_gone(support::time_point now)
{
    announced_service_.clear();
    announced_slots_ = 0;
    return publish_upstream(now);
}

/// Shows the announced upstream in the own record. While the own domain is
/// emptied, the record shows none.
std::vector<node_action> node::publish_upstream(support::time_point now)
{
    membership::member_record self = member_.self();
    const std::string service = gate_emptied_ ? "" : announced_service_;
    const std::uint32_t slots = gate_emptied_ ? 0 : announced_slots_;
    if (self.service == service && (service.empty() || self.slots == slots))
        return {};
    self.service = service;
    self.slots = slots;
    return update_own_record(self, now);
}

std::vector<node_action>
node::on_domains_read(std::span<const membership::emptied_domain> emptied,
                      membership::store_revision read_at,
                      support::time_point now)
{
    domains_.on_reading(emptied, read_at, now);
    return apply_domains(now);
}

std::vector<node_action>
node::on_domain_changed(std::string_view domain,
                        bool emptied,
                        membership::store_revision revision,
                        support::time_point now)
{
    domains_.on_change(domain, emptied, revision, now);
    return apply_domains(now);
}

std::vector<std::string> node::random_live_peers(std::size_t count)
{
    std::vector<std::string> peers;
    for (const membership::member_record& record : member_.records()) {
        const bool reachable = record.state != membership::member_state::left &&
                               record.state != membership::member_state::dead &&
                               record.id != member_.self().id;
        if (reachable)
            peers.push_back(record.id);
    }
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

std::vector<node_action>
node::send_domain_messages(std::vector<membership::domain_message> messages,
                           support::time_point now)
{
    std::vector<node_action> actions;
    for (membership::domain_message& message : messages) {
        append_all(actions, send_extension(message.peer, domain_topic,
                                           std::move(message.payload), now));
    }
    return actions;
}

std::vector<node_action> node::apply_domains(support::time_point now)
{
    if (!empties_domains_)
        return {};
    std::vector<node_action> actions = send_domain_messages(
        domains_.on_tick(
            [this](std::size_t count) { return random_live_peers(count); },
            now),
        now);
    const std::vector<std::string> emptied = domains_.emptied();
    if (emptied != excluded_domains_) {
        log_domain_changes(excluded_domains_, emptied, domains_);
        excluded_domains_ = emptied;
        router_.set_emptied_domains(emptied);
    }
    const bool gate_emptied =
        domains_.must_wait(now) || domains_.is_emptied(own_domain_);
    if (gate_emptied == gate_emptied_)
        return actions;
    gate_emptied_ = gate_emptied;
    actions.emplace_back(set_gate_emptied{gate_emptied});
    append_all(actions, publish_upstream(now));
    return actions;
}

std::vector<node_action> node::on_stopping(support::time_point now)
{
    return apply_actions(rollout_.on_stopping(now), now);
}

void node::on_directory_read(bool names_others)
{
    rollout_.on_directory_read(names_others);
}

std::vector<node_action> node::on_drain(support::time_point now)
{
    membership::member_record self = member_.self();
    if (self.state == membership::member_state::draining)
        return {};
    self.state = membership::member_state::draining;
    return update_own_record(self, now);
}

std::vector<node_action> node::on_left(support::time_point now)
{
    membership::member_record self = member_.self();
    self.state = membership::member_state::left;
    return update_own_record(self, now);
}

void node::on_gate_draining(const support::member_id& member,
                            support::time_point now)
{
    for (membership::member_record record : member_.records()) {
        if (record.id != member)
            continue;
        record.state = membership::member_state::draining;
        router_.on_record(record, now);
    }
}

} // namespace galenarudder::daemon
