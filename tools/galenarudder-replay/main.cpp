// Runs a trace or a scenario through the real router, call flow and gate, and
// prints the results.
#include "play_scenario.hpp"
#include "replay.hpp"
#include "trace.hpp"

#include "galenarudder/routing/pick_strategy.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>

DEFINE_string(trace, "", "file with a trace of format galenarudder-trace-1");
DEFINE_string(policy, "", "name of the pick strategy; empty for the default");
DEFINE_string(observe,
              "",
              "automations that only observe, separated by commas");
DEFINE_string(output, "", "json, or for a scenario text, which is its default");
DEFINE_string(scenario,
              "",
              "file with a scenario of format galenarudder-scenario-1");
DEFINE_string(compare,
              "",
              "file with settings that are merged over the scenario; both are "
              "played and compared");
DEFINE_string(svg, "", "file to which a plot of the scenario is written");
DEFINE_uint32(seeds, 1, "number of seeds with which the scenario is played");
DEFINE_uint64(first_seed, 1, "first of these seeds");
DEFINE_uint32(threads, 0, "threads that play seeds; 0 for one per core");

namespace config = galenarudder::config;
namespace replay = galenarudder::replay;

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

std::optional<std::string> read_file(const std::string& path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int play_trace()
{
    if (!FLAGS_compare.empty() || !FLAGS_svg.empty() || FLAGS_seeds != 1)
        return fail("--compare, --svg and --seeds apply to scenarios; name one "
                    "with --scenario");
    if (!FLAGS_output.empty() && FLAGS_output != "json")
        return fail("unknown output " + FLAGS_output + "; use json");
    if (galenarudder::routing::find_strategy(FLAGS_policy) == nullptr) {
        return fail("unknown policy " + FLAGS_policy +
                    "; use one of:" + known_strategies());
    }
    const auto text = read_file(FLAGS_trace);
    if (!text)
        return fail("cannot read " + FLAGS_trace + "; name it with --trace");
    auto parsed_trace = replay::parse_trace(*text);
    if (!parsed_trace)
        return fail(describe(parsed_trace.error()));
    const std::string unknown_name =
        set_observe(parsed_trace.value().in_force, FLAGS_observe);
    if (!unknown_name.empty())
        return fail("unknown automation " + unknown_name + " in --observe");
    replay::replay simulation(parsed_trace.value());
    std::cout << simulation.run(FLAGS_policy) << '\n';
    return 0;
}

/// Returns a description of the first option that does not fit a scenario, or
/// an empty string.
std::string invalid_scenario_option()
{
    if (!FLAGS_trace.empty())
        return "--trace and --scenario exclude each other; use one of them";
    if (!FLAGS_policy.empty() || !FLAGS_observe.empty())
        return "--policy and --observe apply to traces; set strategy and "
               "automation in the scenario's config";
    if (!FLAGS_output.empty() && FLAGS_output != "text" &&
        FLAGS_output != "json")
        return "unknown output " + FLAGS_output + "; use text or json";
    if (FLAGS_seeds == 0)
        return "--seeds is 0; use 1 or more";
    return {};
}

std::size_t thread_count()
{
    if (FLAGS_threads > 0)
        return FLAGS_threads;
    return std::max(1U, std::thread::hardware_concurrency());
}

bool write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    return !file.fail();
}

int play_scenario()
{
    const std::string invalid_option = invalid_scenario_option();
    if (!invalid_option.empty())
        return fail(invalid_option);
    const auto text = read_file(FLAGS_scenario);
    if (!text)
        return fail("cannot read " + FLAGS_scenario +
                    "; name it with --scenario");
    const auto base = replay::parse_scenario(*text, FLAGS_scenario);
    if (!base)
        return fail(describe(base.error()));
    std::unique_ptr<const replay::scenario> changed;
    if (!FLAGS_compare.empty()) {
        const auto overlay = read_file(FLAGS_compare);
        if (!overlay)
            return fail("cannot read " + FLAGS_compare +
                        "; name it with --compare");
        auto merged = replay::parse_scenario(*text, FLAGS_scenario, *overlay,
                                             FLAGS_compare);
        if (!merged)
            return fail(describe(merged.error()));
        changed =
            std::make_unique<const replay::scenario>(std::move(merged).value());
    }
    const replay::scenario_results results =
        replay::play_scenarios(base.value(), changed.get(), FLAGS_first_seed,
                               FLAGS_seeds, thread_count());
    std::cout << (FLAGS_output == "json" ? to_json(results) + "\n"
                                         : to_text(results));
    if (!FLAGS_svg.empty() && !write_file(FLAGS_svg, to_svg(results)))
        return fail("cannot write " + FLAGS_svg +
                    "; name a writable file with --svg");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "--trace FILE [--policy NAME] [--output json] | --scenario FILE "
        "[--seeds N] [--compare FILE] [--svg FILE] [--output text|json]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return FLAGS_scenario.empty() ? play_trace() : play_scenario();
}
