/// \file
/// Runs the introducer directory against the store.
#pragma once

#include "galenarudder/membership/introducer_directory.hpp"
#include "galenarudder/store/platform_store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>

namespace galenarudder::daemon {

class node;

class introducer_runtime
{
public:
    /// \p settling is how long a starting member leaves the directory to
    /// others. Everything runs on \p control, on which \p platform answers too;
    /// both \p platform and \p known outlive this object's last event.
    introducer_runtime(const boost::asio::any_io_executor& control,
                       store::platform_store& platform,
                       node& known,
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
