/// \file
/// Puts changed settings in force while the daemon runs.
#pragma once

#include "galenarudder/daemon/settings_file.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::daemon {

/// Reads the settings again on SIGHUP and whenever their file has changed.
/// Settings that cannot be used leave those in force as they are; each such
/// content is logged once. Runs on one executor, which must serialize its work.
class settings_reload
{
public:
    /// Changes \p in_force, which must outlive this object, and calls
    /// \p on_applied afterwards. \p path is empty if the settings are never
    /// read again.
    settings_reload(const boost::asio::any_io_executor& executor,
                    std::string path,
                    config::daemon_settings& in_force,
                    std::function<void()> on_applied);

    /// Begins to wait for the signal.
    void start() { wait_for_signal(); }
    /// Reads the file if that is due.
    void on_tick(support::time_point now);
    void collect(telemetry::metrics& metrics) const;

private:
    void wait_for_signal();
    void
    take(const std::optional<support::result<config::daemon_settings>>& found,
         std::string_view cause);

    settings_file file_;
    config::daemon_settings& in_force_;
    std::function<void()> on_applied_;
    boost::asio::signal_set signal_;
    std::uint64_t reloads_ = 0;
    std::uint64_t refused_ = 0;
    /// Settings of the file that take effect at the next start.
    std::size_t pending_ = 0;
};

} // namespace galenarudder::daemon
