/// \file
/// The control logic of a daemon as a state machine without I/O: it takes
/// events with their time and returns actions. daemon::runtime adds the sockets
/// and threads; tests drive the state machine directly.
#pragma once

#include "galenarudder/admission/gate.hpp"
#include "galenarudder/config/configuration.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/membership/domain_states.hpp"
#include "galenarudder/membership/member.hpp"
#include "galenarudder/rollout/rollout.hpp"
#include "galenarudder/routing/router.hpp"
#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/support/time.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace galenarudder::daemon {

/// Apply the configuration in force, which has changed, to the gate.
struct configure_gate
{
    std::shared_ptr<const config::configuration> in_force;
    rollout::adoption_timing timing;
};

/// Stop or resume sending calls to the upstream, since operators emptied this
/// daemon's failure domain or took it back.
struct set_gate_emptied
{
    bool emptied = false;
};

using node_action = std::variant<membership::send_datagram,
                                 rollout::build_document,
                                 rollout::release_document,
                                 rollout::read_store,
                                 rollout::watch_store,
                                 rollout::ask_store,
                                 rollout::send_confirmation,
                                 rollout::restore_store,
                                 rollout::push_to_peer,
                                 rollout::pull_from_peer,
                                 configure_gate,
                                 set_gate_emptied>;

/// The daemon's control state machines, composed without I/O: membership,
/// rollout and routing. All events must come from one thread; any thread may
/// read the router and the configuration.
class node
{
public:
    /// \p read_stored reads the documents of the store.
    node(const config::daemon_settings& settings,
         std::uint64_t incarnation,
         std::uint64_t seed,
         rollout::document_reader read_stored = {});

    std::vector<node_action> on_tick(support::time_point now);
    std::vector<node_action> on_datagram(const config::endpoint& from,
                                         std::string_view payload,
                                         support::time_point now);
    /// Takes a configuration document and builds it at once; see
    /// rollout::rollout::on_document.
    std::vector<node_action> on_document(std::string_view text,
                                         support::time_point now);
    std::vector<node_action> on_store_unavailable(support::time_point now);
    /// Forwards an event to the rollout state machine. \p event is a member
    /// function of rollout::rollout, called with \p arguments and \p now.
    template <typename Event, typename... Arguments>
    std::vector<node_action> on_rollout_event(Event event,
                                              support::time_point now,
                                              Arguments&&... arguments)
    {
        return apply_actions(
            (rollout_.*event)(std::forward<Arguments>(arguments)..., now), now);
    }
    /// Handles a message that the part of a peer called by the same topic sent.
    using extension_handler =
        std::function<std::vector<node_action>(const support::member_id& peer,
                                               const std::string& payload,
                                               support::time_point now)>;
    /// Sets the handler of \p topic. Messages of other topics are dropped.
    void set_extension_handler(std::string topic, extension_handler handler);
    /// Sends a message to the handler of \p topic at \p peer.
    std::vector<node_action> send_extension(std::string_view peer,
                                            std::string topic,
                                            std::string payload,
                                            support::time_point now);
    /// The upstream announced itself for the first time or as a heartbeat.
    std::vector<node_action> on_announcement(const std::string& service,
                                             std::uint32_t slots,
                                             support::time_point now);
    /// The upstream has left, or its heartbeat timed out.
    std::vector<node_action> on_upstream_gone(support::time_point now);
    /// The store was read: see membership::domain_states::on_reading.
    std::vector<node_action>
    on_domains_read(std::span<const membership::emptied_domain> emptied,
                    membership::store_revision read_at,
                    support::time_point now);
    /// The store reported that a domain was emptied or taken back.
    std::vector<node_action>
    on_domain_changed(std::string_view domain,
                      bool emptied,
                      membership::store_revision revision,
                      support::time_point now);
    /// A signal asked this daemon to stop, once its calls are served.
    std::vector<node_action> on_stopping(support::time_point now);
    /// The introducers in the store were listed.
    void on_directory_read(bool names_others);
    /// The upstream, an operator or a signal requested a drain.
    std::vector<node_action> on_drain(support::time_point now);
    /// The drain is complete and the daemon is about to stop.
    std::vector<node_action> on_left(support::time_point now);
    /// The store's directory listed introducers with these gossip addresses.
    void on_introducers(std::span<const config::endpoint> introducers)
    {
        member_.add_introducers(introducers);
    }

    /// The gate of \p member sent a drain notice over its link. The router
    /// stops sending calls to it without waiting for the membership update.
    void on_gate_draining(const support::member_id& member,
                          support::time_point now);

    const routing::router& router() const { return router_; }
    const support::rcu_cell<config::configuration>& configuration() const
    {
        return configuration_;
    }
    const membership::member& member() const { return member_; }
    const rollout::rollout& rollout() const { return rollout_; }
    /// Returns a number that grows when the state or the service of a member
    /// changes.
    std::uint64_t member_changes() const { return member_changes_; }
    const membership::domain_states& domains() const { return domains_; }
    telemetry::decision_log& decisions() { return decisions_; }
    const telemetry::decision_log& decisions() const { return decisions_; }

private:
    /// Applies the actions that concern the node itself, and returns those that
    /// the caller has to execute.
    std::vector<node_action>
    apply_actions(std::vector<membership::action> actions,
                  support::time_point now);
    std::vector<node_action> apply_actions(std::vector<rollout::action> actions,
                                           support::time_point now);
    std::vector<node_action>
    update_own_record(const membership::member_record& self,
                      support::time_point now);

    /// Carries out what changed in domains_ and sends what is due.
    std::vector<node_action> apply_domains(support::time_point now);
    std::vector<node_action>
    send_domain_messages(std::vector<membership::domain_message> messages,
                         support::time_point now);
    std::vector<std::string> random_live_peers(std::size_t count);
    std::vector<node_action> publish_upstream(support::time_point now);

    telemetry::decision_log decisions_;
    routing::router router_;
    support::rcu_cell<config::configuration> configuration_;
    membership::member member_;
    rollout::rollout rollout_;
    std::map<std::string, extension_handler, std::less<>> extension_handlers_;
    std::uint64_t member_changes_ = 0;
    /// Whether settings allow operators to empty domains.
    bool empties_domains_ = false;
    std::string own_domain_;
    membership::domain_states domains_;
    support::random_engine random_;
    /// The domains whose upstreams the router excludes.
    std::vector<std::string> excluded_domains_;
    /// Whether the gate sends no calls since the own domain is emptied.
    bool gate_emptied_ = false;
    /// What the upstream announced; the member record shows it unless the own
    /// domain is emptied.
    std::string announced_service_;
    std::uint32_t announced_slots_ = 0;
};

} // namespace galenarudder::daemon
