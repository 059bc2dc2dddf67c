/// \file
/// The commands of galenarudderctl. They write to streams; the flags are parsed
/// by the program.
#pragma once

#include "galenarudder/support/time.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::operators {

/// The exit codes of galenarudderctl. The numbers do not change between
/// releases.
enum class exit_code
{
    done = 0,
    failed = 1,
    usage = 2,
    /// The documents are invalid.
    invalid = 3,
    /// The store or the daemon cannot be reached. Nothing was changed.
    unreachable = 4,
    /// Another operator's change was applied instead.
    conflict = 5,
    /// The write was sent, but the store cannot be read to find out whether it
    /// took effect.
    not_known = 6,
    /// diff: the files differ from the configuration in force.
    differs = 7,
    /// The check command uses 0 if there are only notes, and these two.
    check_warnings = 1,
    check_errors = 2,
};

struct source_form;

/// The values of the command-line flags.
struct options
{
    /// Files to check.
    std::vector<std::string> files;
    /// Files of the configuration that the checked one is compared with.
    std::vector<std::string> against;
    /// Form of the checked files; null for the product's own.
    const source_form* form = nullptr;
    /// Whether --daemon was given and is not the default.
    bool daemon_given = false;
    /// Address of the operator port of any daemon.
    std::string daemon;
    /// Address of the store; if empty, it is taken from the settings file.
    std::string store;
    /// Path of a daemon's settings file, for the store's address and the keys.
    std::string settings;
    /// Path of the base document.
    std::string base;
    /// Path of the folder of overlays; empty if there are none.
    std::string overlays;
    std::string author;
    std::string note;
    /// Site whose overlay applies; a site is a failure domain.
    std::string site;
    /// Id of the change that the history command looks up.
    std::string change;
    /// Version on which the files are based; negative if not given.
    long long made_from = -1;
    /// Whether the show command prints the origin of each value.
    bool origin = false;
    /// Whether the output is JSON.
    bool json = false;
    /// Timeout of one request.
    support::milliseconds timeout{3000};
    /// Maximum time to find out whether a write took effect.
    support::milliseconds patience{10000};
};

/// The streams to which a command writes.
struct console
{
    std::ostream& out;
    std::ostream& err;
};

/// A command of galenarudderctl.
struct command
{
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(const options& flags, const console& output);
};

/// Returns every command, in the order of the help text.
std::span<const command> commands();

/// Runs the command called \p name. Returns exit_code::usage if there is none.
exit_code
run_command(std::string_view name, const options& flags, const console& output);

} // namespace galenarudder::operators
