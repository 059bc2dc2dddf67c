/// \file
/// The settings file of a running daemon, which may change at any moment, with
/// or without a signal.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::daemon {

/// Tells when a file has changed, without I/O. A file that is rewritten in
/// place may be read half-written, so a content counts once two readings in a
/// row agree.
class settled_content
{
public:
    /// What a reading found; empty if the file is away.
    using content = std::optional<std::string>;

    /// Takes a reading. Returns whether it is new and has settled.
    bool observe(const content& reading);
    /// Takes a reading as settled.
    void accept(content reading);

private:
    /// Counts as away before the first reading.
    content known_;
    /// The last reading, if it differs from the known content.
    std::optional<content> unsettled_;
};

/// Reads the settings file again whenever it has changed.
class settings_file
{
public:
    /// Interval between two readings. A change takes effect after at most two
    /// of them.
    static constexpr support::milliseconds reading_interval{250};

    /// \p path is empty if the settings are never read again.
    explicit settings_file(std::string path);

    /// Reads the file if a reading is due. Returns new settings, or the error
    /// of a new content, once for each content.
    std::optional<support::result<config::daemon_settings>>
    poll(support::time_point now);
    /// Reads the file now. Returns nothing if the settings are never read
    /// again.
    std::optional<support::result<config::daemon_settings>> read();

private:
    support::result<config::daemon_settings>
    parse(const support::result<std::string>& text) const;

    std::string path_;
    settled_content content_;
    support::time_point next_reading_{};
};

/// What a new set of settings changes.
struct settings_change
{
    /// Names of the settings that have taken effect.
    std::vector<std::string_view> applied;
    /// Names of the settings that take effect at the next start.
    std::vector<std::string_view> pending;
};

/// Assigns the settings that may change while the daemon runs from \p wanted to
/// \p in_force.
settings_change apply_settings(config::daemon_settings& in_force,
                               const config::daemon_settings& wanted);

/// Joins names by commas.
std::string join_names(std::span<const std::string_view> names);

} // namespace galenarudder::daemon
