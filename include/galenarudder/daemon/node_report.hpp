/// \file
/// Renders the state of a daemon for operators: metrics of the control logic,
/// decisions, history, and a snapshot that the replay tool reads.
#pragma once

#include "galenarudder/daemon/node.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace galenarudder::daemon {

/// Returns a member's record as JSON, with its addresses.
nlohmann::json encode_member(const membership::member_record& record);

/// Returns how current the configuration is, and the counters of the rollout
/// and of decisions, in the Prometheus text format. \p longest_loop_delay is
/// the longest delay of a timer of the event loop.
std::string render_node_metrics(const node& daemon_node,
                                support::duration longest_loop_delay,
                                support::time_point now);

/// Returns the counts of decisions and the latest decisions as JSON.
std::string render_decisions(const node& daemon_node, support::time_point now);

/// Returns the accepted configuration changes as JSON, newest first.
std::string render_history(const node& daemon_node);

/// The state of a daemon at one time. Taking it does not depend on the size of
/// the document; rendering it does.
struct node_snapshot
{
    std::string site;
    /// The members, their loads and the state of the daemon itself.
    nlohmann::json state;
    std::vector<membership::member_record> members;
    rollout::built_document_ptr configuration;
};

node_snapshot take_snapshot(const node& daemon_node,
                            const std::string& site,
                            support::time_point now);

/// Returns a snapshot as JSON lines: a trace header with the configuration in
/// force at its site, then one line with the members, their load and the full
/// document. Safe from any thread.
std::string render(const node_snapshot& taken);

} // namespace galenarudder::daemon
