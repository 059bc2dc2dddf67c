// Reads the settings, runs the daemon and logs why it could not start.
#include "galenarudder/daemon/program.hpp"

#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/runtime.hpp"
#include "galenarudder/telemetry/log.hpp"

namespace galenarudder::daemon {

int run_program(const std::string& settings_path, integration deployment)
{
    telemetry::open_log("");
    telemetry::flush_log_on_abort();
    if (settings_path.empty()) {
        telemetry::log_error("daemon.not_started",
                             {support::error_kind::invalid_document,
                              "no settings file was given",
                              "pass its path as the program's help describes"});
        telemetry::flush_log();
        return exit_usage;
    }
    auto settings = config::load_settings(settings_path);
    if (!settings) {
        telemetry::log_error("daemon.not_started", settings.error());
        telemetry::flush_log();
        return exit_settings;
    }
    telemetry::open_log(settings.value().member);
    telemetry::log_event(telemetry::log_kind::state_change, "daemon.started",
                         {{"version", GALENARUDDER_VERSION},
                          {"settings", settings_path},
                          {"domain", settings.value().domain},
                          {"service", settings.value().service}});
    deployment.settings_path = settings_path;
    runtime daemon_runtime(std::move(settings).value(), std::move(deployment));
    auto started = daemon_runtime.start();
    if (!started) {
        telemetry::log_error("daemon.not_started", started.error());
        telemetry::flush_log();
        return exit_ports;
    }
    daemon_runtime.run();
    telemetry::log_event(telemetry::log_kind::state_change, "daemon.stopped",
                         {});
    telemetry::flush_log();
    return exit_ok;
}

} // namespace galenarudder::daemon
