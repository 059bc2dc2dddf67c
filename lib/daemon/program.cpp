// Reads settings, starts the runtime, names what failed.
#include "galenarudder/daemon/program.hpp"

#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/runtime.hpp"
#include "galenarudder/telemetry/log.hpp"

namespace galenarudder::daemon {

int run_program(const std::string& settings_path, integration with)
{
    telemetry::open_log("");
    if (settings_path.empty()) {
        telemetry::log_error("daemon.not_started",
                             {support::error_kind::invalid_document,
                              "no settings file is named",
                              "name it as the program's help says"});
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
    telemetry::log_event(telemetry::log_kind::belief, "daemon.started",
                         {{"version", GALENARUDDER_VERSION},
                          {"settings", settings_path},
                          {"domain", settings.value().domain},
                          {"service", settings.value().service}});
    with.reload = [settings_path] {
        return config::load_settings(settings_path);
    };
    runtime served(std::move(settings).value(), std::move(with));
    auto started = served.start();
    if (!started) {
        telemetry::log_error("daemon.not_started", started.error());
        telemetry::flush_log();
        return exit_ports;
    }
    served.run();
    telemetry::log_event(telemetry::log_kind::belief, "daemon.stopped", {});
    telemetry::flush_log();
    return exit_ok;
}

} // namespace galenarudder::daemon
