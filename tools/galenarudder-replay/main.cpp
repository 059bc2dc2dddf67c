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
DEFINE_string(output, "json", "only json");

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
    const auto given = galenarudder::replay::parse_trace(text.str());
    if (!given)
        return fail(describe(given.error()));
    galenarudder::replay::replay run(given.value());
    std::cout << run.run(FLAGS_policy) << '\n';
    return 0;
}
