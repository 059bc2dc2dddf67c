// Runs a trace through the real router, call flow and gate, and prints the
// results as JSON.
#include "replay.hpp"
#include "trace.hpp"

#include "galenarudder/routing/pick_strategy.hpp"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(trace, "", "file with a trace of format galenarudder-trace-1");
DEFINE_string(policy, "", "name of the pick strategy; empty for the default");
DEFINE_string(observe,
              "",
              "automations that only observe, separated by commas");
DEFINE_string(output, "json", "only json");

namespace config = galenarudder::config;

namespace {

/// Invalid flags or an invalid trace.
constexpr int exit_invalid = 2;

int fail(const std::string& problem)
{
    std::cerr << "galenarudder-replay: " << problem << '\n';
    return exit_invalid;
}

std::string known_strategies()
{
    std::string names;
    for (const std::string_view name : galenarudder::routing::strategy_names())
        names += " " + std::string(name);
    return names;
}

/// Sets the named automations to observe. Returns the first unknown name, or
/// an empty string.
std::string set_observe(config::configuration& in_force, std::string names)
{
    std::istringstream list(std::move(names));
    std::string name;
    while (std::getline(list, name, ',')) {
        const auto automation = config::parse_automation(name);
        if (!automation)
            return name;
        in_force.modes.at(static_cast<std::size_t>(*automation)) =
            config::automation_mode::observe;
    }
    return {};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("--trace FILE [--policy NAME] [--output json]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_output != "json")
        return fail("unknown output " + FLAGS_output + "; use json");
    if (galenarudder::routing::find_strategy(FLAGS_policy) == nullptr) {
        return fail("unknown policy " + FLAGS_policy +
                    "; use one of:" + known_strategies());
    }
    const std::ifstream file(FLAGS_trace, std::ios::binary);
    if (!file)
        return fail("cannot read " + FLAGS_trace + "; name it with --trace");
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed_trace = galenarudder::replay::parse_trace(text.str());
    if (!parsed_trace)
        return fail(describe(parsed_trace.error()));
    const std::string unknown_name =
        set_observe(parsed_trace.value().in_force, FLAGS_observe);
    if (!unknown_name.empty())
        return fail("unknown automation " + unknown_name + " in --observe");
    galenarudder::replay::replay simulation(parsed_trace.value());
    std::cout << simulation.run(FLAGS_policy) << '\n';
    return 0;
}
