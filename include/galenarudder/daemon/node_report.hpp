/// \file
/// What a daemon knows, as documents for operators: metrics of its control
/// parts, decisions, and a snapshot that the replay tool reads.
#pragma once

#include "galenarudder/daemon/node.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace galenarudder::daemon {

/// A member's record as JSON, with its addresses.
nlohmann::json describe(const membership::member_record& record);

/// Counters of decisions and of the rollout in Prometheus' text form.
std::string render_node_metrics(const node& reported);

/// Counts and the latest decisions as JSON.
std::string render_decisions(const node& reported, support::time_point now);

/// Accepted changes as JSON, newest first.
std::string render_history(const node& reported);

/// JSON lines: a trace header with the configuration in force at \p site, then
/// one line with members, load and the whole document.
std::string render_snapshot(const node& reported,
                            const std::string& site,
                            support::time_point now);

} // namespace galenarudder::daemon
