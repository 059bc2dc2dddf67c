/// \file
/// What the main function of a daemon does.
#pragma once

#include "galenarudder/daemon/integration.hpp"

#include <string>

namespace galenarudder::daemon {

/// Exit codes of a daemon.
enum exit_code
{
    exit_ok = 0,
    exit_usage = 2,
    exit_settings = 3,
    exit_ports = 4
};

/// Reads the settings at \p settings_path and serves until it is told to
/// leave. Returns the exit code.
int run_program(const std::string& settings_path, integration with);

} // namespace galenarudder::daemon
