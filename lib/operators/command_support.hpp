/// \file
/// What several commands share: requests to a daemon, errors, exit codes.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/operators/commands.hpp"
#include "galenarudder/support/error.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace galenarudder::operators {

/// Prints the error and returns the exit code of its kind.
exit_code fail(const support::error& failure, const console& to);

/// Asks the operator port at \p where.
support::result<std::string> ask_text(const std::string& where,
                                      const std::string& method,
                                      const std::string& path,
                                      support::milliseconds timeout);
support::result<nlohmann::json>
ask(const options& chosen, const std::string& method, const std::string& path);

/// The document in force at the daemon.
support::result<config::document> document_in_force(const options& chosen);

/// Address of the store, from --store or the settings.
support::result<config::endpoint> store_address(const options& chosen);

nlohmann::json encode(const config::change_record& change);
/// version 4 by ana at TIME (change ID): NOTE
std::string describe(const config::change_record& change);

exit_code validate_files(const options& chosen, const console& to);
exit_code diff_files(const options& chosen, const console& to);
exit_code apply_files(const options& chosen, const console& to);
exit_code show_history(const options& chosen, const console& to);

} // namespace galenarudder::operators
