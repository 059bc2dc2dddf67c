// Every rule of the schema and of the whole set rejects with file or path,
// finding and remedy; what is accepted merges with its origin.
#include "galenarudder/config/check.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;
using nlohmann::json;

namespace {

json valid_base()
{
    return json::parse(R"({
      "format": "galenarudder-base-1",
      "ranks": [{"name": "urgent", "held_slots": 1},
                {"name": "bulk", "minimum_share": 0.2}],
      "services": [{"name": "reservas", "routes": [
        {"method": "POST", "prefix": "/deposits", "rank": "urgent"}]}],
      "limits": {
        "retry_share": {"value": 0.1, "min": 0, "max": 0.2, "mover": "site"},
        "pick_samples": {"value": 3, "min": 1, "max": 8, "mover": "base"}},
      "automation": {
        "eject": {"mode": "observe", "loosest": "bounded", "mover": "site"},
        "hedge": {"mode": "automatic", "loosest": "automatic",
                  "mover": "base"},
        "shed": "bounded"}
    })");
}

json overlay_body(const std::string& changes)
{
    json body = {{"format", "galenarudder-overlay-1"}, {"site", "bilbao"}};
    body.update(json::parse(changes));
    return body;
}

config::document whole_of(json base, const std::string& overlay)
{
    config::document whole;
    whole.version = 3;
    whole.change_id = "c3";
    whole.base = std::move(base);
    whole.overlays.push_back({"bilbao", overlay_body(overlay)});
    return whole;
}

struct rejected_case
{
    const char* patch;
    const char* overlay;
    const char* names;
};

} // namespace

TEST_CASE("a fault anywhere in the set rejects the set", "[config]")
{
    const auto fault = GENERATE(values<rejected_case>({
        {R"([{"op":"add","path":"/colour","value":1}])", "{}", "colour"},
        {R"([{"op":"replace","path":"/format","value":"x"}])", "{}", "/format"},
        {R"([{"op":"replace","path":"/services/0/routes/0/rank",
              "value":"vip"}])",
         "{}", "/services/0/routes/0/rank"},
        {R"([{"op":"replace","path":"/ranks/0/minimum_share",
              "value":0.9}])",
         "{}", "base"},
        {R"([{"op":"add","path":"/ranks/0/minimum_share","value":0.9}])", "{}",
         "above the bound 1"},
        {R"([{"op":"add","path":"/ranks/-","value":{"name":"bulk"}}])", "{}",
         "/ranks/2/name"},
        {R"([{"op":"copy","from":"/services/0","path":"/services/1"}])", "{}",
         "/services/1/name"},
        {R"([{"op":"copy","from":"/services/0/routes/0",
              "path":"/services/0/routes/1"}])",
         "{}", "/services/0/routes/1/prefix"},
        {R"([{"op":"add","path":"/services/0/strategy","value":"best"}])", "{}",
         "\"best\""},
        {R"([{"op":"replace","path":"/limits/retry_share/value",
              "value":0.3}])",
         "{}", "[0.0, 0.2]"},
        {R"([{"op":"replace","path":"/limits/retry_share/max","value":2}])",
         "{}", "/limits/retry_share"},
        {R"([{"op":"replace","path":"/limits/retry_share/min",
              "value":0.3}])",
         "{}", "min"},
        {R"([{"op":"replace","path":"/limits/pick_samples/value",
              "value":2.5}])",
         "{}", "whole number"},
        {R"([{"op":"copy","from":"/limits/retry_share",
              "path":"/limits/retries"}])",
         "{}", "\"retries\" does not exist"},
        {R"([{"op":"replace","path":"/automation/eject/mode",
              "value":"automatic"}])",
         "{}", "/automation/eject/mode"},
        {R"([{"op":"replace","path":"/automation/shed","value":"maybe"}])",
         "{}", "/automation/shed"},
        {"[]", R"({"limits":{"retry_share":0.21}})", "[0.0, 0.2]"},
        {"[]", R"({"limits":{"pick_samples":2}})", "only the base"},
        {"[]", R"({"limits":{"eject_ms":100}})", "does not state"},
        {"[]", R"({"limits":{"nothing":1}})", "\"nothing\" does not exist"},
        {"[]", R"({"site":"santander"})", "santander.json"},
        {"[]", R"({"ranks":[]})", "ranks"},
        {"[]", R"({"automation":{"eject":"automatic"}})", "bound bounded"},
        {"[]", R"({"automation":{"hedge":"observe"}})", "only the base"},
        {"[]", R"({"automation":{"shed":"automatic"}})", "bound bounded"},
    }));
    INFO(fault.patch << " " << fault.overlay);
    json base = valid_base();
    const json patch = json::parse(fault.patch);
    if (patch.is_array() && !patch.empty() &&
        patch[0]["path"] == "/ranks/0/minimum_share" &&
        patch[0]["op"] == "replace")
        base["ranks"][0]["minimum_share"] = "text";
    else
        base = base.patch(patch);
    const auto checked =
        config::validate(whole_of(std::move(base), fault.overlay));
    REQUIRE_FALSE(checked);
    CHECK(checked.error().kind == support::error_kind::invalid_document);
    CHECK_THAT(checked.error().message + checked.error().remedy,
               Catch::Contains(fault.names));
    CHECK_FALSE(checked.error().remedy.empty());
}

TEST_CASE("values in force name their origin", "[config]")
{
    const config::document whole = whole_of(
        valid_base(),
        R"({"limits":{"retry_share":0.05},"automation":{"eject":"bounded"}})");
    REQUIRE(config::validate(whole));
    struct expected
    {
        const char* site;
        const char* path;
        json value;
        const char* origin;
    };
    const auto row = GENERATE(values<expected>(
        {{"bilbao", "limits/retry_share", 0.05, "overlay bilbao"},
         {"oviedo", "limits/retry_share", 0.1, "base"},
         {"bilbao", "limits/pick_samples", 3.0, "base"},
         {"bilbao", "limits/eject_ms", 2000.0, "product"},
         {"bilbao", "automation/eject", "bounded", "overlay bilbao"},
         {"oviedo", "automation/eject", "observe", "base"},
         {"bilbao", "automation/retry", "automatic", "product"}}));
    for (const auto& value : config::effective_values(whole, row.site)) {
        if (value.path != row.path)
            continue;
        CHECK(value.value == row.value);
        CHECK(value.origin.document == row.origin);
        return;
    }
    FAIL(row.path << " is not among the values in force");
}

TEST_CASE("the mode decides which bound binds", "[config]")
{
    json base = valid_base();
    const auto mode =
        GENERATE(as<std::string>(), "automatic", "bounded", "observe");
    base["automation"]["retry"] = mode;
    const auto merged = config::effective_for(whole_of(base, "{}"), "oviedo");
    REQUIRE(merged);
    const double expected = mode == "automatic" ? 0.2 : 0.1;
    CHECK(merged.value().binding(config::limit::retry_share) == expected);
}

TEST_CASE("errors name the line of the value", "[config]")
{
    const std::string text = "{\n \"format\": \"galenarudder-overlay-1\",\n"
                             " \"site\": \"bilbao\",\n \"limits\": {\n"
                             "  \"eject_ms\": 100,\n  \"retry_share\":\n"
                             "   \"much\"\n }\n}\n";
    CHECK(config::line_of_pointer(text, "/limits") == 4);
    CHECK(config::line_of_pointer(text, "/limits/eject_ms") == 5);
    CHECK(config::line_of_pointer(text, "/limits/retry_share") == 7);
    CHECK(config::line_of_pointer(text, "/limits/other") == 0);
    const auto parsed = config::parse_overlay(text, "bilbao.json");
    REQUIRE_FALSE(parsed);
    CHECK_THAT(parsed.error().message,
               Catch::Contains("bilbao.json: line 7: /limits/retry_share"));
}

TEST_CASE("a document survives storing with its history", "[config]")
{
    config::document whole = whole_of(valid_base(), "{}");
    whole.history.push_back({2, "c2", "ana", "before", "2026-12-04T11:00:00Z"});
    const auto again = config::parse_document(config::serialize(whole));
    REQUIRE(again);
    CHECK(config::serialize(again.value()) == config::serialize(whole));
    CHECK(config::same_content(whole, again.value()));
    REQUIRE(again.value().history.size() == 1);
    CHECK(again.value().history.front().author == "ana");
}
