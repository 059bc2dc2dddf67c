/// \file
/// The log: one line for each change of state, never one for each call.
#pragma once

#include "galenarudder/support/error.hpp"

#include <string_view>

namespace galenarudder::telemetry {

/// Sets format and sink; call it once at the start of a program.
void configure_log();

/// A change of state, as `subject key=value ...`.
void log_change(std::string_view what);

void log_error(const support::error& failure);

} // namespace galenarudder::telemetry
