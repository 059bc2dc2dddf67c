// Rules of the schemas and across documents reject a violation, naming
// the file or path, what was found and the remedy. Valid documents are merged,
// and each value in force names the document that sets it.
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

config::document document_with_overlay(json base,
                                       const std::string& overlay_changes)
{
    config::document full_document;
    full_document.version = 3;
    full_document.change_id = "c3";
    full_document.base = std::move(base);
    full_document.overlays.push_back({"bilbao", overlay_body(overlay_changes)});
    return full_document;
}

struct invalid_document_case
{
    const char* patch;
    const char* overlay;
    const char* expected_text;
};

} // namespace

TEST_CASE(
    "a violation in the base document or an overlay rejects the full document",
    "[config]")
{
    const auto invalid_case = GENERATE(values<invalid_document_case>({
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
        {R"([{"op":"add","path":"/organisations",
              "value":[{"name":"a","rank":"vip"}]}])",
         "{}", "/organisations/0/rank"},
        {R"([{"op":"add","path":"/organisations",
              "value":[{"name":"a"},{"name":"a"}]}])",
         "{}", "/organisations/1/name"},
        {R"([{"op":"add","path":"/organisations",
              "value":[{"name":"a\u000db"}]}])",
         "{}", "/organisations/0/name"},
        {R"([{"op":"add","path":"/organisations",
              "value":[{"name":"a\u0000"}]}])",
         "{}", "/organisations/0/name"},
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
        {"[]", R"({"limits":{"eject_ms":100}})", "does not set"},
        {"[]", R"({"limits":{"nothing":1}})", "\"nothing\" does not exist"},
        {"[]", R"({"site":"santander"})", "santander.json"},
        {"[]", R"({"ranks":[]})", "ranks"},
        {"[]", R"({"automation":{"eject":"automatic"}})", "bound bounded"},
        {"[]", R"({"automation":{"hedge":"observe"}})", "only the base"},
        {"[]", R"({"automation":{"shed":"automatic"}})", "bound bounded"},
    }));
    INFO(invalid_case.patch << " " << invalid_case.overlay);
    json base = valid_base();
    const json patch = json::parse(invalid_case.patch);
    if (patch.is_array() && !patch.empty() &&
        patch[0]["path"] == "/ranks/0/minimum_share" &&
        patch[0]["op"] == "replace")
        base["ranks"][0]["minimum_share"] = "text";
    else
        base = base.patch(patch);
    const auto validation = config::validate(
        document_with_overlay(std::move(base), invalid_case.overlay));
    REQUIRE_FALSE(validation);
    CHECK(validation.error().kind == support::error_kind::invalid_document);
    CHECK_THAT(validation.error().message + validation.error().remedy,
               Catch::Contains(invalid_case.expected_text));
    CHECK_FALSE(validation.error().remedy.empty());
}

TEST_CASE("each value in force names the document that sets it", "[config]")
{
    const config::document full_document = document_with_overlay(
        valid_base(),
        R"({"limits":{"retry_share":0.05},"automation":{"eject":"bounded"}})");
    REQUIRE(config::validate(full_document));
    struct expected_setting
    {
        const char* site;
        const char* path;
        json value;
        const char* origin;
    };
    const auto expected_value = GENERATE(values<expected_setting>(
        {{"bilbao", "limits/retry_share", 0.05, "overlay bilbao"},
         {"oviedo", "limits/retry_share", 0.1, "base"},
         {"bilbao", "limits/pick_samples", 3.0, "base"},
         {"bilbao", "limits/eject_ms", 2000.0, "product"},
         {"bilbao", "automation/eject", "bounded", "overlay bilbao"},
         {"oviedo", "automation/eject", "observe", "base"},
         {"bilbao", "automation/retry", "automatic", "product"}}));
    for (const auto& value :
         config::effective_values(full_document, expected_value.site)) {
        if (value.path != expected_value.path)
            continue;
        CHECK(value.value == expected_value.value);
        CHECK(value.origin.document == expected_value.origin);
        return;
    }
    FAIL(expected_value.path << " is not among the values in force");
}

TEST_CASE("the mode decides which value limits an automated decision",
          "[config]")
{
    json base = valid_base();
    const auto mode =
        GENERATE(as<std::string>(), "automatic", "bounded", "observe");
    base["automation"]["retry"] = mode;
    const auto merged = config::effective_configuration(
        document_with_overlay(base, "{}"), "oviedo");
    REQUIRE(merged);
    const double expected = mode == "automatic" ? 0.2 : 0.1;
    CHECK(merged.value().automation_limit(config::limit::retry_share) ==
          expected);
}

// Guards against an automation that the schemas of the documents refuse.
TEST_CASE("base and overlay may state the mode of every automation", "[config]")
{
    const auto index =
        GENERATE(range(std::size_t{0}, config::automation_count));
    const auto kind = static_cast<config::automation>(index);
    const std::string name(to_string(kind));
    CAPTURE(name);
    json base = valid_base();
    base["automation"] = {
        {name,
         {{"mode", "automatic"}, {"loosest", "automatic"}, {"mover", "site"}}}};
    const json overlay = {{"automation", {{name, "observe"}}}};
    const config::document full_document =
        document_with_overlay(base, overlay.dump());
    REQUIRE(config::validate(full_document));
    const auto merged =
        config::effective_configuration(full_document, "bilbao");
    REQUIRE(merged);
    CHECK(merged.value().mode(kind) == config::automation_mode::observe);
    CHECK(config::default_configuration().mode(kind) ==
          config::automation_mode::automatic);
}

TEST_CASE("an error names the line of the invalid value", "[config]")
{
    const std::string text = "{\n \"format\": \"galenarudder-overlay-1\",\n"
                             " \"site\": \"bilbao\",\n \"limits\": {\n"
                             "  \"eject_ms\": 100,\n  \"retry_share\":\n"
                             "   \"much\"\n }\n}\n";
    CHECK(config::line_of_pointer(text, "/limits") == 4);
    CHECK(config::line_of_pointer(text, "/limits/eject_ms") == 5);
    CHECK(config::line_of_pointer(text, "/limits/retry_share") == 7);
    CHECK(config::line_of_pointer(text, "/limits/other") == 0);
    const auto overlay = config::parse_overlay(text, "bilbao.json");
    REQUIRE_FALSE(overlay);
    CHECK_THAT(overlay.error().message,
               Catch::Contains("bilbao.json: line 7: /limits/retry_share"));
}

// Guards against a daemon that ends at such a number: the JSON library reports
// it with another exception than other faults of the syntax.
TEST_CASE("a number out of range is an error", "[config]")
{
    const auto overlay = config::parse_overlay(
        R"({"format":"galenarudder-overlay-1","site":"bilbao",)"
        R"("limits":{"eject_ms":1e999}})",
        "bilbao.json");
    REQUIRE_FALSE(overlay);
    CHECK(overlay.error().message ==
          "bilbao.json: line 1, column 73: the number 1e999 is out of range");
}

TEST_CASE(
    "a serialized document is parsed back unchanged, including its history",
    "[config]")
{
    config::document full_document = document_with_overlay(valid_base(), "{}");
    full_document.history.push_back(
        {2, "c2", "ana", "before", "2026-12-04T11:00:00Z"});
    const auto parsed_again =
        config::parse_document(config::serialize(full_document));
    REQUIRE(parsed_again);
    CHECK(config::serialize(parsed_again.value()) ==
          config::serialize(full_document));
    CHECK(config::same_content(full_document, parsed_again.value()));
    REQUIRE(parsed_again.value().history.size() == 1);
    CHECK(parsed_again.value().history.front().author == "ana");
}

// Guards against keys and digests in errors, which are logged.
TEST_CASE("an error about a key names its place, not the key", "[config]")
{
    const std::string digest(64, 'a');
    const json organisation = {{"name", "a"}, {"keys", {digest}}};
    const json twice = {organisation, {{"name", "b"}, {"keys", {digest}}}};
    const json plain = json::array({{{"name", "a"}, {"keys", {"plain-key"}}}});
    const json misspelt = json::array({{{"name", "a"}, {"key", "plain-key"}}});
    const auto& [organisations, place] =
        GENERATE_COPY(table<json, std::string>({
            {twice, "/organisations/1/keys/0"},
            {plain, "/organisations/0/keys/0"},
            {misspelt, "/organisations/0"},
        }));
    json base = valid_base();
    base["organisations"] = organisations;
    const auto result =
        config::validate(document_with_overlay(std::move(base), "{}"));
    REQUIRE_FALSE(result);
    const std::string& message = result.error().message;
    CAPTURE(message);
    CHECK(message.find(place) != std::string::npos);
    CHECK(message.find("plain-key") == std::string::npos);
    CHECK(message.find(digest) == std::string::npos);
}
