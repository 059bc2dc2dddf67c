// The daemon: reads its settings, serves until it is told to leave.
#include "galenarudder/config/settings.hpp"
#include "galenarudder/daemon/runtime.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "path of the settings file (JSON)");

namespace {

enum exit_code
{
    exit_ok = 0,
    exit_usage = 2,
    exit_settings = 3,
    exit_ports = 4
};

} // namespace

int main(int argc, char** argv)
{
    using namespace galenarudder;
    gflags::SetUsageMessage(
        "galenarudderd --settings FILE\n\n"
        "Exit codes: 0 left after a drain, 2 usage, 3 settings are invalid,\n"
        "4 a port cannot be opened.");
    gflags::SetVersionString(GALENARUDDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    telemetry::configure_log();
    if (FLAGS_settings.empty()) {
        telemetry::log_error({support::error_kind::invalid_document,
                              "--settings is missing",
                              "run galenarudderd --settings FILE"});
        return exit_usage;
    }
    auto settings = config::load_settings(FLAGS_settings);
    if (!settings) {
        telemetry::log_error(settings.error());
        return exit_settings;
    }
    daemon::runtime served(std::move(settings).value());
    auto started = served.start();
    if (!started) {
        telemetry::log_error(started.error());
        return exit_ports;
    }
    served.run();
    return exit_ok;
}
