// The daemon: reads its settings and serves until it is told to leave.
#include "galenarudder/daemon/program.hpp"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "path of the settings file (JSON)");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "galenarudderd --settings FILE\n\n"
        "Exit codes: 0 left after a drain, 2 usage, 3 settings are invalid,\n"
        "4 a port cannot be opened.");
    gflags::SetVersionString(GALENARUDDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return galenarudder::daemon::run_program(
        FLAGS_settings, galenarudder::daemon::product_integration());
}
