/// \file
/// The whole daemon without I/O: events go in with their time, actions come
/// out. Sockets and threads are in daemon::runtime; replays and benches drive
/// this object directly.
#pragma once

#include "galenarudder/admission/gate.hpp"
#include "galenarudder/config/configuration.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/membership/member.hpp"
#include "galenarudder/rollout/rollout.hpp"
#include "galenarudder/routing/router.hpp"
#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/support/time.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace galenarudder::daemon {

/// The configuration in force changed; apply it to the gate.
struct configure_gate
{
};

using node_action = std::variant<membership::send_datagram,
                                 rollout::read_store,
                                 rollout::watch_store,
                                 rollout::restore_store,
                                 rollout::push_to_peer,
                                 rollout::pull_from_peer,
                                 configure_gate>;

/// Control events come from one thread. The router and the configuration may
/// be read from any thread.
class node
{
public:
    node(const config::daemon_settings& settings,
         std::uint64_t incarnation,
         std::uint64_t seed);

    std::vector<node_action> on_tick(support::time_point now);
    std::vector<node_action> on_datagram(const config::endpoint& from,
                                         std::string_view payload,
                                         support::time_point now);
    /// A configuration document came from the store, a peer or an operator.
    std::vector<node_action> on_document(std::string_view text,
                                         support::time_point now);
    std::vector<node_action> on_store_unavailable(support::time_point now);
    /// Passes one of the rollout's own events with what it carries.
    template <typename Event, typename... Carried>
    std::vector<node_action>
    on_rollout_event(Event event, support::time_point now, Carried&&... carried)
    {
        return take((rollout_.*event)(std::forward<Carried>(carried)..., now),
                    now);
    }
    /// The upstream announced itself or repeated its heartbeat.
    std::vector<node_action> on_announcement(const std::string& service,
                                             std::uint32_t slots,
                                             support::time_point now);
    /// The upstream left or its heartbeat lapsed.
    std::vector<node_action> on_upstream_gone(support::time_point now);
    /// The upstream, an operator or a signal asks to leave.
    std::vector<node_action> on_drain(support::time_point now);
    /// All work ended; the daemon is about to stop.
    std::vector<node_action> on_left(support::time_point now);
    /// Introducers were found in the store's directory.
    void on_introducers(std::span<const config::endpoint> found)
    {
        member_.add_introducers(found);
    }

    /// A gate sent a drain notice by its link; no new call is sent to it, even
    /// before its membership record says so.
    void on_gate_draining(const support::member_id& member,
                          support::time_point now);

    const routing::router& router() const { return router_; }
    const support::rcu_cell<config::configuration>& configuration() const
    {
        return configuration_;
    }
    const membership::member& member() const { return member_; }
    const rollout::rollout& rollout() const { return rollout_; }
    telemetry::decision_log& decisions() { return decisions_; }
    const telemetry::decision_log& decisions() const { return decisions_; }

private:
    std::vector<node_action> take(std::vector<membership::action> actions,
                                  support::time_point now);
    std::vector<node_action> take(std::vector<rollout::action> actions,
                                  support::time_point now);
    std::vector<node_action> change_self(const membership::member_record& self,
                                         support::time_point now);

    std::string domain_;
    telemetry::decision_log decisions_;
    routing::router router_;
    support::rcu_cell<config::configuration> configuration_;
    membership::member member_;
    rollout::rollout rollout_;
};

} // namespace galenarudder::daemon
