/// \file
/// The commands of galenarudderctl over streams, without its flags.
#pragma once

#include "galenarudder/support/time.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace galenarudder::operators {

/// How a command ended; the numbers are the program's exit codes and do not
/// change between releases.
enum class exit_code
{
    done = 0,
    failed = 1,
    usage = 2,
    /// Documents are invalid.
    invalid = 3,
    /// The store or the daemon cannot be reached; nothing was changed.
    unreachable = 4,
    /// Another operator's change won.
    conflict = 5,
    /// The write was sent and the store cannot be asked what became of it.
    not_known = 6,
    /// diff: the files differ from what is in force.
    differs = 7,
};

/// What the flags say.
struct options
{
    /// Operator port of any daemon.
    std::string daemon;
    /// Address of the store; taken from the settings when empty.
    std::string store;
    /// Settings file of a daemon: store address and keys.
    std::string settings;
    std::string base;
    std::string overlays;
    std::string author;
    std::string note;
    std::string site;
    /// Change id, for history.
    std::string change;
    /// Version that the files were made from; negative when not stated.
    long long made_from = -1;
    bool origin = false;
    bool json = false;
    /// Time that one request may take.
    support::milliseconds timeout{3000};
    /// Time to learn what became of a write.
    support::milliseconds patience{10000};
};

/// Where a command writes.
struct console
{
    std::ostream& out;
    std::ostream& err;
};

struct command
{
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(const options& chosen, const console& to);
};

/// Every command, in the order of the help text.
std::span<const command> commands();

/// Runs the command called \p name.
exit_code
run_command(std::string_view name, const options& chosen, const console& to);

} // namespace galenarudder::operators
