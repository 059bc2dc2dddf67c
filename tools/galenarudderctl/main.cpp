// The operators' tool: flags in, one command of the library run.
#include "galenarudder/operators/commands.hpp"

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
             "version that the files were made from; apply is refused when "
             "another is in force");
DEFINE_bool(origin, false, "show where each value was stated, for show");
DEFINE_string(output, "text", "text or json");
DEFINE_int32(timeout_ms, 3000, "time that one request may take");
DEFINE_int32(patience_ms, 10000, "time to learn what became of a write");

namespace galenarudder {

namespace {

std::string help_text()
{
    constexpr int name_width = 11;
    std::ostringstream text;
    text << "galenarudderctl COMMAND [flags]\n\n";
    for (const operators::command& known : operators::commands()) {
        text << "  " << std::left << std::setw(name_width) << known.name
             << known.summary << "\n";
    }
    text << "\nExit codes: 0 done, 1 failed, 2 usage, 3 documents invalid, 4 "
            "store or daemon\nunreachable and nothing changed, 5 another "
            "operator's change won, 6 not known\nwhether the change was "
            "accepted, 7 diff found differences.";
    return text.str();
}

operators::options chosen_options()
{
    operators::options chosen;
    chosen.daemon = FLAGS_daemon;
    chosen.store = FLAGS_store;
    chosen.settings = FLAGS_settings;
    chosen.base = FLAGS_base;
    chosen.overlays = FLAGS_overlays;
    chosen.author = FLAGS_author;
    chosen.note = FLAGS_note;
    chosen.site = FLAGS_site;
    chosen.change = FLAGS_change;
    chosen.made_from = FLAGS_made_from;
    chosen.origin = FLAGS_origin;
    chosen.json = FLAGS_output == "json";
    chosen.timeout = support::milliseconds(FLAGS_timeout_ms);
    chosen.patience = support::milliseconds(FLAGS_patience_ms);
    return chosen;
}

} // namespace

} // namespace galenarudder

int main(int argc, char** argv)
{
    using namespace galenarudder;
    gflags::SetUsageMessage(help_text());
    gflags::SetVersionString(GALENARUDDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const operators::console to{std::cout, std::cerr};
    const std::string_view name = argc > 1 ? argv[1] : "";
    return static_cast<int>(operators::run_command(name, chosen_options(), to));
}
