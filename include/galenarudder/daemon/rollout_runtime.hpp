/// \file
/// Executes the actions of the rollout state machine: reads, watches and writes
/// of the store, pushes to and pulls from the operator ports of peers, and
/// builds of documents.
#pragma once

#include "galenarudder/daemon/node.hpp"
#include "galenarudder/store/platform_store.hpp"
#include "galenarudder/telemetry/turn_monitor.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace galenarudder::daemon {

/// Must be used on the executor given to the constructor only.
class rollout_runtime
{
public:
    /// Executes the actions that an event resulted in.
    using action_executor =
        std::function<void(const std::vector<node_action>&)>;

    /// Work that grows with the size of a document runs on \p background.
    rollout_runtime(boost::asio::any_io_executor executor,
                    boost::asio::any_io_executor background,
                    store::platform_store& store,
                    node& daemon_node,
                    const config::daemon_settings& settings,
                    telemetry::turn_monitor& turns,
                    action_executor execute_actions);
    ~rollout_runtime();
    rollout_runtime(const rollout_runtime&) = delete;
    rollout_runtime& operator=(const rollout_runtime&) = delete;

    void execute(const rollout::build_document& action);
    void execute(const rollout::release_document& action);
    void execute(const rollout::read_store&);
    void execute(const rollout::watch_store& action);
    void execute(const rollout::ask_store& action);
    void execute(const rollout::send_confirmation& action);
    void execute(const rollout::restore_store& action);
    void execute(const rollout::push_to_peer& action);
    void execute(const rollout::pull_from_peer& action);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
