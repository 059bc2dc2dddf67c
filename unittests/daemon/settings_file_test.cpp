// When a change of the settings file counts, and what it puts in force.
#include "galenarudder/daemon/settings_file.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace galenarudder;
using daemon::settled_content;

TEST_CASE("a content counts once, when two readings agree")
{
    struct row
    {
        const char* name;
        std::vector<settled_content::content> readings;
        std::vector<bool> new_content;
    };
    const auto away = std::nullopt;
    const row rows[] = {
        {"unchanged", {"a", "a", "a"}, {false, true, false}},
        {"replaced", {"a", "a", "b", "b", "b"}, {0, 1, 0, 1, 0}},
        {"half-written", {"a", "a", "b", "bc", "bc"}, {0, 1, 0, 0, 1}},
        {"away for a moment", {"a", "a", away, "a"}, {0, 1, 0, 0}},
        {"away", {"a", "a", away, away, away, "a", "a"}, {0, 1, 0, 1, 0, 0, 1}},
        {"back before it counts", {"a", "a", "b", "a", "b"}, {0, 1, 0, 0, 0}},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        settled_content content;
        std::vector<bool> observed;
        for (const settled_content::content& reading : test_case.readings)
            observed.push_back(content.observe(reading));
        CHECK(observed == test_case.new_content);
    }
}

TEST_CASE("settings take effect or are named as waiting for a restart")
{
    config::daemon_settings in_force;
    in_force.service = "alpha";
    config::daemon_settings wanted = in_force;
    wanted.service = "beta";
    wanted.heartbeat = support::milliseconds(1500);
    wanted.threads = 7;
    wanted.keys = {{"k", "0123456789abcdef"}};
    const daemon::settings_change change =
        daemon::apply_settings(in_force, wanted);
    CHECK(daemon::join_names(change.applied) == "service,heartbeat");
    CHECK(daemon::join_names(change.pending) == "keys,threads");
    CHECK(in_force.service == "beta");
    CHECK(in_force.threads == 2);
}
