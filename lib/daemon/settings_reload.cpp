// Logs and counts what became of each change.
#include "galenarudder/daemon/settings_reload.hpp"

#include "galenarudder/telemetry/log.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

namespace galenarudder::daemon {

namespace {

bool is_port(std::string_view setting)
{
    static constexpr std::string_view ports[] = {"callers", "announcements",
                                                 "link", "gossip", "operators"};
    return std::ranges::find(ports, setting) != std::end(ports);
}

} // namespace

settings_reload::settings_reload(const boost::asio::any_io_executor& executor,
                                 std::string path,
                                 config::daemon_settings& in_force,
                                 std::function<void()> on_applied)
    : file_(std::move(path)), in_force_(in_force),
      on_applied_(std::move(on_applied)), signal_(executor, SIGHUP)
{
}

void settings_reload::wait_for_signal()
{
    signal_.async_wait([this](boost::system::error_code canceled, int) {
        if (canceled)
            return;
        take(file_.read(), "signal");
        wait_for_signal();
    });
}

void settings_reload::on_tick(support::time_point now)
{
    take(file_.poll(now), "file");
}

void settings_reload::take(
    const std::optional<support::result<config::daemon_settings>>& found,
    std::string_view cause)
{
    if (!found)
        return;
    const auto& wanted = *found;
    if (!wanted) {
        ++refused_;
        telemetry::log_error("settings.refused", wanted.error());
        return;
    }
    const settings_change change = apply_settings(in_force_, wanted.value());
    pending_ = change.pending.size();
    const bool differs = !change.applied.empty() || !change.pending.empty();
    if (!differs && cause != "signal")
        return;
    ++reloads_;
    on_applied_();
    telemetry::log_event(telemetry::log_kind::state_change, "settings.reloaded",
                         {{"cause", cause},
                          {"applied", join_names(change.applied)},
                          {"needs_a_restart", join_names(change.pending)},
                          {"ports_need_a_restart",
                           std::ranges::any_of(change.pending, is_port)}});
}

void settings_reload::collect(telemetry::metrics& metrics) const
{
    metrics.set_counter("galenarudder_settings_reloads_total",
                        "Times that settings were read again and used", {},
                        static_cast<double>(reloads_));
    metrics.set_counter("galenarudder_settings_refused_total",
                        "Contents of the settings file that could not be used",
                        {}, static_cast<double>(refused_));
    metrics.set_gauge("galenarudder_settings_pending",
                      "Changed settings that wait for a restart",
                      static_cast<double>(pending_));
}

} // namespace galenarudder::daemon
