// Traces and scenarios with numbers out of range, deep nesting or values of the
// wrong type are errors; they must not end the process.
#include "../../tools/galenarudder-replay/scenario.hpp"
#include "../../tools/galenarudder-replay/trace.hpp"

#include "../fuzz/invalid_json.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;

TEST_CASE("invalid traces and scenarios are errors")
{
    const auto read_trace = [](const std::string& text) {
        const auto read = replay::parse_trace(text);
        return read ? std::string() : describe(read.error());
    };
    const auto read_scenario = [](const std::string& text) {
        const auto read = replay::parse_scenario(text, "a.json", "", "");
        return read ? std::string() : describe(read.error());
    };
    const std::string trace =
        R"({"format": "galenarudder-trace-1", "domains": {"a": {}},)"
        R"( "upstreams": [{"id": "@"}]})";
    const std::string scenario =
        R"({"format": "galenarudder-scenario-1", "name": "@"})";
    for (const auto& invalid : test::invalid_forms(trace)) {
        CAPTURE(invalid.name);
        CHECK_THAT(read_trace(invalid.text), Catch::Contains("line 1"));
    }
    for (const auto& invalid : test::invalid_forms(scenario)) {
        CAPTURE(invalid.name);
        CHECK_THAT(read_scenario(invalid.text), Catch::Contains("line 1"));
    }
}
