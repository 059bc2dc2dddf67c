/// \file
/// Runs the introducer directory, the state machine that publishes members'
/// addresses in the store.
#pragma once

#include "galenarudder/membership/introducer_directory.hpp"
#include "galenarudder/store/platform_store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>

namespace galenarudder::daemon {

class node;

/// Executes the directory's actions in the store and reports the results back.
class introducer_runtime
{
public:
    /// \p settling is the time that a starting member waits before it tries to
    /// claim a slot in the directory. Everything runs on \p control, including
    /// the callbacks of \p store. \p store and \p daemon_node must outlive the
    /// last event of this object.
    introducer_runtime(const boost::asio::any_io_executor& control,
                       store::platform_store& store,
                       node& daemon_node,
                       support::duration settling,
                       std::uint64_t seed);
    ~introducer_runtime();
    introducer_runtime(const introducer_runtime&) = delete;
    introducer_runtime& operator=(const introducer_runtime&) = delete;

    void start();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
