/// \file
/// Functions shared by the commands: requests to a daemon, error output, exit
/// codes.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/operators/commands.hpp"
#include "galenarudder/support/error.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace galenarudder::operators {

/// Prints the error and returns the exit code for its kind.
exit_code report_error(const support::error& failure, const console& output);

/// Sends a request to the operator port at \p address. Returns the body of the
/// response.
support::result<std::string> request_text(const std::string& address,
                                          const std::string& method,
                                          const std::string& path,
                                          support::milliseconds timeout);
/// Sends a request to the daemon that the flags name. Returns the body, which
/// must be JSON. The fields that the commands read have the types that they
/// expect, or are absent.
support::result<nlohmann::json> request_json(const options& flags,
                                             const std::string& method,
                                             const std::string& path);

/// Parts of a daemon's snapshot. Their fields have the types that the commands
/// expect, or are absent.
struct snapshot_parts
{
    nlohmann::json members = nlohmann::json::array();
    nlohmann::json loads = nlohmann::json::array();
};

/// Returns the snapshot of the daemon that the flags name.
support::result<snapshot_parts> request_snapshot(const options& flags);

/// Returns the document in force at the daemon that the flags name.
support::result<config::document> fetch_document_in_force(const options& flags);

/// Returns the address of the store, from --store or the settings file.
support::result<config::endpoint> store_address(const options& flags);

nlohmann::json encode(const config::change_record& change);
/// Returns a line such as "version 4 by ana at TIME (change ID): NOTE".
std::string describe(const config::change_record& change);

exit_code validate_files(const options& flags, const console& output);
exit_code diff_files(const options& flags, const console& output);
exit_code apply_files(const options& flags, const console& output);
exit_code check_files(const options& flags, const console& output);
exit_code show_history(const options& flags, const console& output);

} // namespace galenarudder::operators
