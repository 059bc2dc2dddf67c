// Scenarios of galenarudder-replay: their errors, what each of their parts does
// to the calls, and the statistics over seeds.
#include "../../tools/galenarudder-replay/demand.hpp"
#include "../../tools/galenarudder-replay/play_scenario.hpp"
#include "../../tools/galenarudder-replay/scenario.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenarudder::replay;

namespace {

/// Two regions with two domains and one; an upstream answers 40 calls a second.
constexpr const char* usual = R"({
  "format": "galenarudder-scenario-1", "seconds": 4,
  "domains": {"a1": {"region": "a"}, "a2": {"region": "a"},
              "b1": {"region": "b"}},
  "services": {"front": {"slots": 4, "upstreams": {"a1": 2, "a2": 2, "b1": 2}},
               "back": {"slots": 4, "upstreams": {"a1": 1, "a2": 1, "b1": 1}}},
  "calls": {
    "read": {"service": "front", "per_s": 60, "work_ms": 100, "goal_ms": 400,
             "deadline_ms": 1000, "repeatable": true},
    "check": {"service": "back", "work_ms": 20, "goal_ms": 100,
              "deadline_ms": 200}}
})";

scenario parse(const char* overlay)
{
    auto parsed = parse_scenario(usual, "usual.json", overlay, "overlay.json");
    INFO((parsed ? "" : describe(parsed.error())));
    REQUIRE(parsed);
    return std::move(parsed).value();
}

figures play(const char* overlay)
{
    const scenario played = parse(overlay);
    return play_scenario(played, 1, 1, 1).seeds.front().total;
}

double share(figures counts, figure which)
{
    return at(counts, which) / at(counts, figure::offered);
}

struct error_row
{
    const char* overlay;
    const char* key;
    const char* value;
    const char* remedy;
};

struct effect_row
{
    const char* name;
    const char* overlay;
    figure affected;
    double least_share;
    double most_share;
};

} // namespace

// Guards against a scenario that is accepted with a part that has no effect.
TEST_CASE("errors of scenarios name key, value and remedy", "[scenario]")
{
    const auto row = GENERATE(values<error_row>({
        {R"({"seconds": 0})", "/seconds", "found 0", "correct the value"},
        {R"({"speed": 3})", "speed", "", "unknown fields are rejected"},
        {R"({"calls": {"read": {"service": "frnt"}}})", "/calls/read/service",
         "found \"frnt\"", "use one of: back, front"},
        {R"({"calls": {"read": {"goal_ms": 2000}}})", "/calls/read/deadline_ms",
         "found 1000, less than goal_ms 2000", "set a deadline"},
        {R"({"calls": {"read": {"per_s": {"c1": 4}}}})", "/calls/read/per_s",
         "found \"c1\"", "use one of: a1, a2, b1"},
        {R"({"calls": {"check": {"nested": [{"call": "read"}]},
                       "read": {"nested": [{"call": "check"}]}}})",
         "/calls/check/nested", "found \"check\"", "remove the cycle"},
        {R"({"calls": {"read": {"rank": "high"}}})", "/calls/read/rank",
         "found \"high\"", "use one of: urgent"},
        {R"({"domains": {"c1": {"region": "c"}}, "calls": {"read": {"per_s": {"c1": 4}}}})",
         "/calls/read/per_s/c1", "without upstreams", "give the domain"},
        {R"({"events": [{"at_s": 1, "change": "slow", "domain": "a1"}]})",
         "/events/0/factor", "is 1", "state how many times"},
        {R"({"bursts": [{"at_s": 1, "for_s": 1, "factor": 2,
                         "calls": ["raed"]}]})",
         "/bursts/0/calls", "found \"raed\"", "use one of: check, read"},
        {R"({"config": {"limits": {"queue_length": {"value": -1, "min": 1,
             "max": 9, "mover": "base"}}}})",
         "/limits/queue_length", "", ""},
        {R"({"events": [{"at_s": 1, "change": "restart", "domain": "a1",
                         "for_s": 2}]})",
         "/events/0/for_s", "found 2", "remove the field"},
        {R"({"domains": {"a2": {"region": null}}})", "/domains/a2/region",
         "found \"\"", "of all domains or of none"},
        {R"({"organisations": [{"name": "o", "rank": "high"}]})",
         "/organisations/0", "high", ""},
        {R"({"settings": {"organisation_window": "soon"}})",
         "organisation_window", "soon", ""},
    }));
    const auto parsed =
        parse_scenario(usual, "usual.json", row.overlay, "overlay.json");
    CAPTURE(row.overlay);
    REQUIRE_FALSE(parsed);
    const std::string text = describe(parsed.error());
    CAPTURE(text);
    CHECK(text.find("overlay.json") != std::string::npos);
    CHECK(text.find(row.key) != std::string::npos);
    CHECK(text.find(row.value) != std::string::npos);
    CHECK(parsed.error().remedy.find(row.remedy) != std::string::npos);
    CHECK_FALSE(parsed.error().remedy.empty());
}

// Guards against parts of a scenario that do not reach the calls.
TEST_CASE("parts of a scenario affect its calls", "[scenario]")
{
    const auto row = GENERATE(values<effect_row>({
        {"usual load", R"({})", figure::in_time, 0.99, 1},
        {"regions without a price are not avoided", R"({"settings": {
            "domain_crossing_calls_per_mb": 0,
            "region_crossing_calls_per_mb": 0.000001}})",
         figure::left_domain, 0, 0.5},
        {"a burst above the capacity",
         R"({"bursts": [{"at_s": 0, "for_s": 4, "factor": 8}]})",
         figure::in_time, 0, 0.75},
        {"an organisation above its limit", R"({"organisations": [
            {"name": "large", "calls_per_s": 20}]})",
         figure::refused_at_once, 0.6, 0.8},
        {"the same in mode observe", R"({"organisations": [
            {"name": "large", "calls_per_s": 20}],
            "config": {"automation": {"organisation_limit": "observe"}}})",
         figure::refused_at_once, 0, 0},
        {"a surge of one of two organisations", R"({"organisations": [
            {"name": "steady"}, {"name": "large", "calls_per_s": 40,
             "surge": {"at_s": 0, "for_s": 4, "factor": 3}}]})",
         figure::refused_at_once, 0.3, 0.55},
        {"nested calls that cannot be answered in time", R"({"calls": {
            "read": {"nested": [{"call": "check"}]},
            "check": {"work_ms": 500}}})",
         figure::failed, 0.9, 1},
        {"a domain without its upstreams", R"({"events": [
            {"at_s": 0, "change": "stop", "domain": "a1"}]})",
         figure::left_domain, 0.3, 1},
        {"a region without its upstreams", R"({"events": [
            {"at_s": 0, "change": "stop", "domain": "b1"}]})",
         figure::left_region, 0.2, 0.6},
        {"the same over a link of 0.1 Mbit/s", R"({
            "links": {"between_regions_mbit_per_s": 0.1}, "events": [
            {"at_s": 0, "change": "stop", "domain": "b1"}]})",
         figure::in_time, 0, 0.9},
        {"slow upstreams", R"({"events": [
            {"at_s": 0, "change": "slow", "domain": "a1", "factor": 5},
            {"at_s": 0, "change": "slow", "domain": "a2", "factor": 5},
            {"at_s": 0, "change": "slow", "domain": "b1", "factor": 5}]})",
         figure::in_time, 0, 0.2},
        {"cold upstreams of all domains", R"({
            "config": {"services": [{"name": "front", "cold_calls_per_s": 2}]},
            "events": [
            {"at_s": 0, "change": "restart", "domain": "a1", "cold_ms": 8000},
            {"at_s": 0, "change": "restart", "domain": "a2", "cold_ms": 8000},
            {"at_s": 0, "change": "restart", "domain": "b1", "cold_ms": 8000}
            ]})",
         figure::in_time, 0, 0.5},
        {"callers farther away than the goal",
         R"({"links": {"to_callers_ms": 200}})", figure::late, 0.99, 1},
    }));
    const figures counts = play(row.overlay);
    CAPTURE(row.name, counts);
    CHECK(share(counts, row.affected) >= row.least_share);
    CHECK(share(counts, row.affected) <= row.most_share);
    // Each call has exactly one outcome.
    CHECK(share(counts, figure::in_time) + share(counts, figure::late) +
              share(counts, figure::refused_at_once) +
              share(counts, figure::failed) ==
          Approx(1));
    CHECK(share(counts, figure::left_region) <=
          share(counts, figure::left_domain));
}

// Guards against waves that all domains have at the same time.
TEST_CASE("waves differ by the phase of the domain", "[scenario]")
{
    const scenario played = parse(R"({
        "wave": {"amplitude": 0.5, "period_s": 4},
        "domains": {"a2": {"phase": 0.5}}})");
    CHECK(demand_at(played, 1, 0, 1) == Approx(30));
    CHECK(demand_at(played, 1, 1, 1) == Approx(10));
    CHECK(demand_at(played, 1, 0, 3) == Approx(10));
}

// Guards against figures that depend on threads or on the settings compared,
// which would make differences between settings meaningless.
TEST_CASE("equal seeds give equal calls and figures", "[scenario]")
{
    const scenario base = parse("{}");
    const scenario limited =
        parse(R"({"config": {"automation": {"hedge": "observe"}}})");
    const auto one = play_scenarios(base, &base, 3, 4, 1);
    const auto many = play_scenarios(base, &limited, 3, 4, 4);
    const auto difference =
        nlohmann::json::parse(to_json(one)).at("difference");
    CHECK(difference.at("calls").at("read").at("offered").at("mean") == 0);
    CHECK(difference.at("per_second").size() == 4);
    CHECK(one.base.seeds.front().total == many.base.seeds.front().total);
    for (const figure_summary& cell : one.difference->total) {
        CHECK(cell.mean == 0);
        CHECK(cell.spread == 0);
    }
    CHECK(many.difference->total.front().mean == 0);
    CHECK(one.base.seeds[0].total != one.base.seeds[1].total);
}

// Guards against a spread of the population instead of the sample, and against
// differences that are not taken seed by seed.
TEST_CASE("summaries state mean and spread over seeds", "[scenario]")
{
    std::vector<seed_figures> base(2);
    std::vector<seed_figures> changed(2);
    at(base[0].total, figure::late) = 10;
    at(base[1].total, figure::late) = 20;
    at(changed[0].total, figure::late) = 15;
    at(changed[1].total, figure::late) = 25;
    const auto late = static_cast<std::size_t>(figure::late);
    CHECK(summarize(base).total.at(late).mean == Approx(15));
    CHECK(summarize(base).total.at(late).spread == Approx(7.0710678));
    CHECK(summarize_difference(base, changed).total.at(late).mean == Approx(5));
    CHECK(summarize_difference(base, changed).total.at(late).spread == 0);
}

// Guards against names that break the plot, and a plot without all figures.
TEST_CASE("the plot has a line for each figure of both scenarios", "[scenario]")
{
    const scenario base = parse(R"({"name": "a < b & c"})");
    const std::string svg = to_svg(play_scenarios(base, &base, 1, 2, 2));
    CHECK(svg.find("a &lt; b &amp; c") != std::string::npos);
    std::size_t lines = 0;
    for (std::size_t found = svg.find("<polyline"); found != std::string::npos;
         found = svg.find("<polyline", found + 1))
        ++lines;
    CHECK(lines == 2 * figure_count);
}
