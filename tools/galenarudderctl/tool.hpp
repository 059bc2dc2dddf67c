/// \file
/// The program of galenarudderctl, for its product and platform builds.
#pragma once

#include "galenarudder/operators/check_files.hpp"

namespace galenarudder {

/// Reads the flags and runs the command that the arguments name. The check
/// command reads files in \p form, or in the product's own if it is null.
int run_tool(int argc, char** argv, const operators::source_form* form);

} // namespace galenarudder
