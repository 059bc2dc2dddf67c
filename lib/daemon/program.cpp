// Reads settings, starts the runtime, names what failed.
#include "galenarudder/daemon/program.hpp"

#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/runtime.hpp"
#include "galenarudder/telemetry/log.hpp"

namespace galenarudder::daemon {

int run_program(const std::string& settings_path, integration with)
{
    telemetry::configure_log();
    if (settings_path.empty()) {
        telemetry::log_error({support::error_kind::invalid_document,
                              "no settings file is named",
                              "name it as the program's help says"});
        return exit_usage;
    }
    auto settings = config::load_settings(settings_path);
    if (!settings) {
        telemetry::log_error(settings.error());
        return exit_settings;
    }
    runtime served(std::move(settings).value(), std::move(with));
    auto started = served.start();
    if (!started) {
        telemetry::log_error(started.error());
        return exit_ports;
    }
    served.run();
    return exit_ok;
}

} // namespace galenarudder::daemon
