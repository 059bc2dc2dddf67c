// Each rule of the configuration check reports its case and not the nearest
// valid one: a missed case reaches the fleet, and false reports teach operators
// to ignore the check.
#include "galenarudder/config/configuration_check.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace galenarudder;
using config::severity;
using nlohmann::json;

namespace {

const char* const key_a =
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const char* const key_b =
    "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

/// A document without findings other than notes about organisations' keys.
config::document clean_document()
{
    config::document clean;
    clean.version = 1;
    clean.change_id = "c1";
    clean.base = json::parse(R"({
      "format": "galenarudder-base-1",
      "ranks": [{"name": "urgent", "held_slots": 3, "minimum_share": 0.2},
                {"name": "bulk", "held_slots": 3, "minimum_share": 0.8}],
      "services": [
        {"name": "s1", "connections": 4, "routes": [
          {"method": "GET", "prefix": "/a/b", "rank": "urgent"},
          {"prefix": "/a", "rank": "bulk"}]},
        {"name": "s2"}],
      "hosts": [
        {"host": "One.example", "prefix": "/a", "rank": "urgent",
         "goal_ms": 2000, "deadline_ms": 2000, "regions": ["north"],
         "services": [{"service": "s1"}, {"service": "s2", "weight": 0.5}]}],
      "organisations": [
        {"name": "o1", "calls_per_s": 150, "burst": 1, "regions": ["north"]},
        {"name": "o2"}],
      "limits": {
        "claim_retention_ms": {"value": 60000, "min": 60000, "max": 90000,
                               "mover": "site"},
        "concurrency_min": {"value": 4, "min": 1, "max": 8,
                            "mover": "site"}},
      "automation": {"shed": "bounded"}})");
    clean.base["organisations"][0]["keys"] = {key_a};
    clean.base["organisations"][1]["keys"] = {key_b};
    clean.overlays.push_back({"bilbao", json::parse(R"({
      "format": "galenarudder-overlay-1", "site": "bilbao",
      "limits": {"concurrency_min": 3}, "automation": {"shed": "observe"}})")});
    return clean;
}

const config::fleet_capacity fleet = {{"s1", {2, 100}}, {"s2", {1, 50}}};

/// Returns the document with a JSON patch applied to it. Its paths begin with
/// /base or /bilbao.
config::document patched(const char* patch)
{
    config::document changed = clean_document();
    const json whole =
        json{{"base", changed.base}, {"bilbao", changed.overlays[0].body}}
            .patch(json::parse(patch));
    changed.base = whole.at("base");
    changed.overlays[0].body = whole.at("bilbao");
    return changed;
}

std::vector<config::finding> check(const config::document& checked)
{
    return config::check_configuration({checked, nullptr, true, &fleet});
}

struct rule_case
{
    const char* code;
    severity level;
    /// Pointer of the finding, with the site before it if it is in an overlay.
    const char* location;
    const char* finds;
    const char* near_miss;
};

const rule_case rule_cases[] = {
    {"schema", severity::error, "/colour",
     R"([{"op":"add","path":"/base/colour","value":1}])", "[]"},
    {"shared-key", severity::error, "/organisations/1/keys/0",
     R"([{"op":"copy","from":"/base/organisations/0/keys",
          "path":"/base/organisations/1/keys"}])",
     "[]"},
    {"shares-above-one", severity::error, "/ranks",
     R"([{"op":"replace","path":"/base/ranks/1/minimum_share","value":0.81}])",
     "[]"},
    {"limit-bounds", severity::error, "/limits/concurrency_min",
     R"([{"op":"replace","path":"/base/limits/concurrency_min/min",
          "value":9}])",
     R"([{"op":"replace","path":"/base/limits/concurrency_min/min",
          "value":3}])"},
    {"unknown-service", severity::error, "/hosts/0/services",
     R"([{"op":"replace","path":"/base/services/1/name","value":"s3"}])", "[]"},
    {"route-shadowed", severity::warning, "/services/0/routes/1",
     R"([{"op":"replace","path":"/base/services/0/routes/0",
          "value":{"prefix":"/","rank":"urgent"}}])",
     R"([{"op":"replace","path":"/base/services/0/routes/0",
          "value":{"method":"PUT","prefix":"/","rank":"urgent"}}])"},
    {"route-shadowed", severity::warning, "/hosts/1",
     R"([{"op":"copy","from":"/base/hosts/0","path":"/base/hosts/1"},
         {"op":"replace","path":"/base/hosts/1/host","value":"one.example"}])",
     R"([{"op":"copy","from":"/base/hosts/0","path":"/base/hosts/1"},
         {"op":"replace","path":"/base/hosts/1/prefix","value":"/"}])"},
    {"host-with-port", severity::warning, "/hosts/0/host",
     R"([{"op":"replace","path":"/base/hosts/0/host","value":"one:80"}])",
     "[]"},
    {"prefix-with-query", severity::warning, "/hosts/0/prefix",
     R"([{"op":"replace","path":"/base/hosts/0/prefix","value":"/a?b"}])",
     R"([{"op":"replace","path":"/base/hosts/0/prefix","value":"/a%3Fb"}])"},
    {"weight-zero", severity::note, "/hosts/0/services",
     R"([{"op":"replace","path":"/base/hosts/0/services/1/weight","value":0}])",
     "[]"},
    {"service-not-routed", severity::note, "/services/1",
     R"([{"op":"remove","path":"/base/hosts/0/services/1"}])", "[]"},
    {"organisation-without-keys", severity::note, "/organisations/1",
     R"([{"op":"remove","path":"/base/organisations/1/keys"}])", "[]"},
    {"organisation-without-route", severity::warning,
     "/organisations/0/regions",
     R"([{"op":"replace","path":"/base/organisations/0/regions",
          "value":["south"]}])",
     R"([{"op":"replace","path":"/base/organisations/0/regions",
          "value":["south","north"]}])"},
    {"service-without-upstreams", severity::warning, "/services/2",
     R"([{"op":"add","path":"/base/services/-","value":{"name":"s3"}},
         {"op":"add","path":"/base/hosts/0/services/-",
          "value":{"service":"s3"}}])",
     R"([{"op":"add","path":"/base/services/-","value":{"name":"s3"}}])"},
    {"floor-above-ceiling", severity::warning, "/limits/concurrency_min",
     R"([{"op":"replace","path":"/base/limits/concurrency_min/value",
          "value":5}])",
     "[]"},
    {"floor-above-ceiling", severity::warning, "bilbao/limits/concurrency_min",
     R"([{"op":"replace","path":"/bilbao/limits/concurrency_min","value":5}])",
     "[]"},
    {"held-slots-above-connections", severity::warning,
     "/services/0/connections",
     R"([{"op":"replace","path":"/base/ranks/0/held_slots","value":4}])", "[]"},
    {"organisation-limit-above-capacity", severity::warning,
     "/organisations/0/calls_per_s",
     R"([{"op":"replace","path":"/base/organisations/0/calls_per_s",
          "value":151}])",
     "[]"},
    {"burst-without-rate", severity::warning, "/organisations/0/burst",
     R"([{"op":"remove","path":"/base/organisations/0/calls_per_s"}])",
     R"([{"op":"remove","path":"/base/organisations/0/calls_per_s"},
         {"op":"replace","path":"/base/organisations/0/burst","value":0}])"},
    {"goal-above-deadline", severity::warning, "/hosts/0/goal_ms",
     R"([{"op":"replace","path":"/base/hosts/0/goal_ms","value":2001}])", "[]"},
    {"claim-shorter-than-deadline", severity::warning,
     "/limits/claim_retention_ms",
     R"([{"op":"replace","path":"/base/hosts/0/deadline_ms","value":60001}])",
     R"([{"op":"replace","path":"/base/hosts/0/deadline_ms","value":60001},
         {"op":"add","path":"/base/hosts/0/repeatable","value":true}])"},
    {"overlay-repeats-base", severity::note, "bilbao/limits/concurrency_min",
     R"([{"op":"replace","path":"/bilbao/limits/concurrency_min","value":4}])",
     "[]"},
    {"overlay-repeats-base", severity::note, "bilbao/automation/shed",
     R"([{"op":"replace","path":"/bilbao/automation/shed",
          "value":"bounded"}])",
     "[]"},
};

std::vector<std::string> codes_of(const std::vector<config::finding>& findings)
{
    std::vector<std::string> codes;
    for (const config::finding& found : findings)
        codes.push_back(found.code);
    return codes;
}

} // namespace

TEST_CASE("each rule finds its case and not the nearest valid one", "[config]")
{
    for (const rule_case& rule : rule_cases) {
        INFO(rule.code << " " << rule.finds);
        const auto findings = check(patched(rule.finds));
        const auto found = std::find_if(
            findings.begin(), findings.end(), [&](const auto& candidate) {
                return candidate.code == rule.code &&
                       candidate.site + candidate.pointer == rule.location;
            });
        REQUIRE(found != findings.end());
        CHECK(found->level == rule.level);
        CHECK_FALSE(found->message.empty());
        CHECK_FALSE(found->remedy.empty());
        const auto others = codes_of(check(patched(rule.near_miss)));
        CHECK(std::find(others.begin(), others.end(), rule.code) ==
              others.end());
    }
    CHECK(check(clean_document()).empty());
}

TEST_CASE("every violation of the schemas is reported, with its own cause only",
          "[config]")
{
    // A report of only the first error costs one attempt for each of them.
    const auto findings = check(patched(R"([
        {"op":"add","path":"/base/colour","value":1},
        {"op":"add","path":"/base/services/0/shade","value":1},
        {"op":"add","path":"/base/services/0/tint","value":1},
        {"op":"replace","path":"/base/organisations/0/keys/0","value":"secret"},
        {"op":"add","path":"/base/automation/eject",
         "value":{"mode":"no","loosest":"bounded","mover":"base"}},
        {"op":"add","path":"/bilbao/limits/eject_ms","value":"x"}])"));
    std::vector<std::string> locations;
    for (const config::finding& found : findings) {
        locations.push_back(found.site + found.pointer);
        CHECK(found.message.find("secret") == std::string::npos);
    }
    CHECK(locations == std::vector<std::string>{
                           "/automation/eject/mode", "/colour",
                           "/organisations/0/keys/0", "/services/0/shade",
                           "/services/0/tint", "bilbao/limits/eject_ms", ""});
    CHECK(findings.back().code == "rules-not-checked");
}

// Guards against a report of one of several faults of a value, and against a
// lookup of names that a JSON pointer has to escape.
TEST_CASE("all violations of one value are reported, whatever its name",
          "[config]")
{
    const auto findings = check(patched(R"([
        {"op":"add","path":"/base/hosts/-","value":{"prefix":"/"}},
        {"op":"add","path":"/base/automation/eject","value":{"mode":"bounded"}},
        {"op":"add","path":"/base/limits/a~1b~0c",
         "value":{"value":1,"min":0,"max":2,"mover":"base","shade":1}}])"));
    std::map<std::string, std::size_t> counts;
    for (const config::finding& found : findings) {
        ++counts[found.pointer];
        CHECK_FALSE(found.message.starts_with("Failed to match"));
        CHECK_FALSE(found.message.starts_with("Value type"));
    }
    CHECK(counts ==
          std::map<std::string, std::size_t>{{"", 1},
                                             {"/automation/eject", 2},
                                             {"/hosts/1", 3},
                                             {"/limits/a/b~c/shade", 1}});
}

TEST_CASE("differences name what was added, removed or changed", "[config]")
{
    const config::document before = clean_document();
    // A route that only moved matches other calls, since the first one is used.
    const config::document after = patched(R"([
        {"op":"move","from":"/base/services/0/routes/0",
         "path":"/base/services/0/routes/1"},
        {"op":"replace","path":"/base/hosts/0/host","value":"ONE.example"},
        {"op":"replace","path":"/base/hosts/0/deadline_ms","value":2500},
        {"op":"remove","path":"/base/organisations/1"},
        {"op":"add","path":"/base/organisations/0/keys/-","value":
"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"},
        {"op":"add","path":"/base/services/-","value":{"name":"s3"}},
        {"op":"replace","path":"/bilbao/limits/concurrency_min","value":2}])");
    std::vector<std::string> messages;
    for (const config::finding& found :
         config::find_changes(before, after, true)) {
        CHECK(found.level == severity::note);
        CHECK(found.before != found.after);
        messages.push_back(found.site + found.pointer + " " + found.message);
    }
    CHECK(messages ==
          std::vector<std::string>{
              R"(/services/0/routes service "s1" order of routes changed from )"
              R"(["GET /a/b","/a"] to ["/a","GET /a/b"])",
              R"(/services/2 service "s3" added: {"name":"s3"})",
              R"(/hosts/0/deadline_ms route "one.example/a" deadline_ms )"
              R"(changed from 2000 to 2500)",
              R"(/hosts/0/host route "one.example/a" host changed from )"
              R"("One.example" to "ONE.example")",
              R"(/organisations organisation "o2" removed: )"
              R"({"keys":["sha256:bbbbbbbbbbbb..."],"name":"o2"})",
              R"(/organisations/0/keys organisation "o1" keys changed from )"
              R"(["sha256:aaaaaaaaaaaa..."] to ["sha256:aaaaaaaaaaaa...",)"
              R"("sha256:bbbbbbbbbbbb..."])",
              R"(bilbao/limits/concurrency_min setting )"
              R"(limits/concurrency_min changed from 3 to 2)"});
    CHECK(config::find_changes(before, before, true).empty());
}

TEST_CASE(
    "removing the table of organisations is a warning, emptying it is not",
    "[config]")
{
    const config::document before = clean_document();
    const auto removed =
        patched(R"([{"op":"remove","path":"/base/organisations"}])");
    const auto emptied = patched(
        R"([{"op":"replace","path":"/base/organisations","value":[]}])");
    CHECK(config::find_changes(before, removed, true).back().code ==
          "keys-switched-off");
    CHECK(config::find_changes(before, emptied, true).back().code == "removed");
}
