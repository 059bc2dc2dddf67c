// Runs a trace through the product's decisions and prints what became of it.
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

constexpr int exit_invalid = 2;

int fail(const std::string& why)
{
    std::cerr << "galenarudder-replay: " << why << '\n';
    return exit_invalid;
}

std::string known_strategies()
{
    std::string names;
    for (const std::string_view name : galenarudder::routing::strategy_names())
        names += " " + std::string(name);
    return names;
}

/// Sets the named automations to observe; returns a name that is unknown.
std::string set_observe(config::configuration& in_force, std::string names)
{
    std::istringstream list(std::move(names));
    std::string name;
    while (std::getline(list, name, ',')) {
        const auto which = config::parse_automation(name);
        if (!which)
            return name;
        in_force.modes.at(static_cast<std::size_t>(*which)) =
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
    auto given = galenarudder::replay::parse_trace(text.str());
    if (!given)
        return fail(describe(given.error()));
    const std::string unknown =
        set_observe(given.value().in_force, FLAGS_observe);
    if (!unknown.empty())
        return fail("unknown automation " + unknown + " in --observe");
    galenarudder::replay::replay run(given.value());
    std::cout << run.run(FLAGS_policy) << '\n';
    return 0;
}
