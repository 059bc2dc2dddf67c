/// \file
/// The main program of a daemon, common to all integrations.
#pragma once

#include "galenarudder/daemon/integration.hpp"

#include <string>

namespace galenarudder::daemon {

/// Exit codes of a daemon's process.
enum exit_code
{
    exit_ok = 0,
    exit_usage = 2,
    exit_settings = 3,
    exit_ports = 4
};

/// Runs a daemon with the settings at \p settings_path until it has drained
/// after SIGTERM or SIGINT. Returns the exit code of the process.
int run_program(const std::string& settings_path, integration deployment);

} // namespace galenarudder::daemon
