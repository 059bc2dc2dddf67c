/// \file
/// Carries out the rollout's actions: reads and watches of the store, pushes
/// to and pulls from peers' operator ports.
#pragma once

#include "galenarudder/daemon/node.hpp"
#include "galenarudder/store/platform_store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace galenarudder::daemon {

/// Used on \c executor only.
class rollout_runtime
{
public:
    /// Carries out what an event led to.
    using performer = std::function<void(const std::vector<node_action>&)>;

    rollout_runtime(boost::asio::any_io_executor executor,
                    store::platform_store& store,
                    node& node,
                    const config::daemon_settings& settings,
                    performer perform);
    ~rollout_runtime();
    rollout_runtime(const rollout_runtime&) = delete;
    rollout_runtime& operator=(const rollout_runtime&) = delete;

    void execute(const rollout::read_store&);
    void execute(const rollout::watch_store& what);
    void execute(const rollout::restore_store& what);
    void execute(const rollout::push_to_peer& what);
    void execute(const rollout::pull_from_peer& what);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
