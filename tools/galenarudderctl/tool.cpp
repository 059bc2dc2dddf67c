// The operators' tool: reads its flags and runs one command of the library.
#include "tool.hpp"

#include "galenarudder/operators/commands.hpp"

#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>
#include <sstream>

DEFINE_string(daemon,
              "127.0.0.1:7105",
              "address of any daemon's operator port");
DEFINE_string(store, "", "address of the platform's store");
DEFINE_string(settings,
              "",
              "settings file of a daemon, for the store's address and the "
              "fleet's keys");
DEFINE_string(base, "base.json", "base document");
DEFINE_string(overlays, "", "folder of overlays named SITE.json");
DEFINE_string(author, "", "who makes the change, for apply");
DEFINE_string(note, "", "why the change is made, for apply");
DEFINE_string(site, "", "site, for show");
DEFINE_string(change, "", "change id, for history");
DEFINE_int64(made_from,
             -1,
             "version that the files are based on; apply is refused when "
             "another is in force");
DEFINE_bool(origin, false, "show where each value is set, for show");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(json, false, "same as --output=json");
DEFINE_string(against,
              "",
              "files of a configuration to compare with, separated by commas, "
              "for check");
DEFINE_int32(timeout_ms, 3000, "longest wait for one request");
DEFINE_int32(patience_ms,
             10000,
             "longest time to find out whether a write took effect");

namespace galenarudder {

namespace {

std::string help_text()
{
    constexpr int name_width = 11;
    std::ostringstream text;
    text << "galenarudderctl COMMAND [flags]\n\n";
    for (const operators::command& listed_command : operators::commands()) {
        text << "  " << std::left << std::setw(name_width)
             << listed_command.name << listed_command.summary << "\n";
    }
    text << "\nExit codes: 0 done, 1 failed, 2 usage, 3 documents invalid, 4 "
            "store or daemon\nunreachable and nothing changed, 5 another "
            "operator's change won, 6 not known\nwhether the change was "
            "accepted, 7 diff found differences.\ncheck: 0 at most notes, "
            "1 warnings, 2 errors.";
    return text.str();
}

operators::options options_from_flags()
{
    operators::options from_flags;
    from_flags.daemon = FLAGS_daemon;
    from_flags.store = FLAGS_store;
    from_flags.settings = FLAGS_settings;
    from_flags.base = FLAGS_base;
    from_flags.overlays = FLAGS_overlays;
    from_flags.author = FLAGS_author;
    from_flags.note = FLAGS_note;
    from_flags.site = FLAGS_site;
    from_flags.change = FLAGS_change;
    from_flags.made_from = FLAGS_made_from;
    from_flags.origin = FLAGS_origin;
    from_flags.json = FLAGS_json || FLAGS_output == "json";
    from_flags.timeout = support::milliseconds(FLAGS_timeout_ms);
    from_flags.patience = support::milliseconds(FLAGS_patience_ms);
    from_flags.daemon_given =
        !gflags::GetCommandLineFlagInfoOrDie("daemon").is_default;
    if (!FLAGS_against.empty())
        boost::split(from_flags.against, FLAGS_against,
                     [](char character) { return character == ','; });
    return from_flags;
}

} // namespace

int run_tool(int argc, char** argv, const operators::source_form* form)
{
    gflags::SetUsageMessage(help_text());
    gflags::SetVersionString(GALENARUDDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    operators::options flags = options_from_flags();
    flags.form = form;
    // The command and its files follow the name of the program.
    for (int index = 2; index < argc; ++index)
        flags.files.emplace_back(argv[index]);
    const operators::console console_streams{std::cout, std::cerr};
    const std::string_view name = argc > 1 ? argv[1] : "";
    return static_cast<int>(
        operators::run_command(name, flags, console_streams));
}

} // namespace galenarudder
