// Reading check-ins, the operators' configuration and upstreams' answers in the
// platform's formats, and the statuses of refusals.
#include "check_in_port.hpp"
#include "checked_configuration.hpp"
#include "dialect.hpp"
#include "operator_configuration.hpp"

#include "galenarudder/config/configuration.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace galenarudder::platform {

using nlohmann::json;
using support::refusal_kind;
using support::run_outcome;

namespace {

json complete_check_in()
{
    return {{"service", "s1"},
            {"address", "10.1.0.8:8301"},
            {"zone", "east"},
            {"version", "v1"},
            {"slots", 9},
            {"state", "ready"},
            {"coldLeft", "250ms"},
            {"seq", 4},
            {"born", 1796385600000},
            {"later", {1, 2}}};
}

json complete_configuration()
{
    return json::parse(R"({"version": 7, "routes": {
        "columns": ["name", "authority", "prefix", "type", "timeout", "goal",
                    "priority", "split", "attempts", "service", "later"],
        "rows": [
          ["r1", "One.Example", "/a/", "idempotent", "1000ms", "0.5s", 1,
           [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
           2, null, true],
          ["r2", "one.example", "/a/b/", "non_idempotent", "1.2s", "600ms", 0,
           null, 1, "s2", null]]},
      "services": {"columns": ["name", "healthPath", "maxConns"],
                   "rows": [["s1", "/healthz", 260], ["s2", null, 20]]},
      "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                 "header": "3000ms", "idle": "15s"},
      "baseVersion": 5, "later": {}})");
}

config::configuration in_force(const json& written)
{
    const auto translated = translate_configuration(written.dump());
    REQUIRE(translated);
    const auto effective =
        config::effective_configuration(translated.value(), "east");
    REQUIRE(effective);
    return effective.value();
}

support::response_head answer(unsigned status,
                              std::vector<support::header_field> fields = {})
{
    return {status, "", std::move(fields), 0};
}

} // namespace

TEST_CASE("a check-in is read with every field that it states")
{
    const auto parsed = parse_check_in("i-1", complete_check_in().dump());
    REQUIRE(parsed);
    CHECK(parsed.value().instance == "i-1");
    CHECK(parsed.value().service == "s1");
    CHECK(to_string(parsed.value().address) == "10.1.0.8:8301");
    CHECK(parsed.value().slots == 9);
    CHECK(parsed.value().sequence == 4);
    CHECK(parsed.value().started_ms == 1796385600000);
    CHECK(parsed.value().warm_up_remaining == support::milliseconds(250));
    CHECK_FALSE(parsed.value().leaving);

    json leaving_check_in = complete_check_in();
    leaving_check_in["state"] = "draining";
    CHECK(parse_check_in("i-1", leaving_check_in.dump()).value().leaving);
}

TEST_CASE("a check-in with a missing or malformed field is refused")
{
    const std::pair<const char*, json> malformed_fields[] = {
        {"service", 7},
        {"service", ""},
        {"address", "nowhere"},
        {"slots", 0},
        {"slots", "9"},
        {"slots", -1},
        {"state", "asleep"},
        {"seq", 1.5},
        {"born", "soon"},
        {"born", -5},
        {"coldLeft", "a moment"},
        {"coldLeft", 3},
        {"zone", 7},
        {"version", nullptr}};
    for (const auto& [field, value] : malformed_fields) {
        INFO(field << " is " << value);
        json check_in = complete_check_in();
        check_in[field] = value;
        const auto refused = parse_check_in("i-1", check_in.dump());
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == support::error_kind::invalid_document);
        check_in.erase(field);
        CHECK_FALSE(parse_check_in("i-1", check_in.dump()));
    }
    for (const char* body : {"", "[]", "null", "{", "\xff\xfe"})
        CHECK_FALSE(parse_check_in("i-1", body));
}

TEST_CASE("a departure states the start of its instance, or nothing")
{
    CHECK(parse_departure(R"({"born": 17})").value() == 17U);
    for (const char* body : {"", "{}"})
        CHECK(parse_departure(body).value() == std::nullopt);
    for (const char* body : {"[]", "{", R"({"born": "x"})", R"({"born": -1})",
                             R"({"born": null})"})
        CHECK_FALSE(parse_departure(body));
}

TEST_CASE("the operators' configuration is translated into the product's")
{
    const config::configuration translated = in_force(complete_configuration());
    CHECK(translated.version == 7);
    REQUIRE(translated.host_routes.size() == 2);
    const config::host_route* longest_route =
        config::find_host_route(translated, "ONE.example:80", "/a/b/c");
    REQUIRE(longest_route != nullptr);
    CHECK(longest_route->prefix == "/a/b/");
    CHECK_FALSE(longest_route->repeatable);
    CHECK(longest_route->deadline == support::milliseconds(1200));
    CHECK(longest_route->goal == support::milliseconds(600));
    CHECK(longest_route->services.front().service == "s2");
    const config::host_route* split_route =
        config::find_host_route(translated, "one.example", "/a/x");
    REQUIRE(split_route != nullptr);
    CHECK(split_route->repeatable);
    CHECK(split_route->attempts == 2);
    REQUIRE(split_route->services.size() == 2);
    CHECK(split_route->services[0].weight == 90);
    CHECK(translated.rank_index(longest_route->rank) <
          translated.rank_index(split_route->rank));
    CHECK(config::find_host_route(translated, "one.example", "/b/") == nullptr);
    CHECK(config::find_host_route(translated, "two.example", "/a/") == nullptr);
    CHECK(translated.find_service("s1")->probe_path == "/healthz");
    CHECK(translated.find_service("s1")->connections == 260);
    CHECK(translated.find_service("s2")->probe_path.empty());
    CHECK(translated.callers.head_bytes == 16384);
    CHECK(translated.callers.idle_time == std::chrono::seconds(15));
}

TEST_CASE("tenants become organisations whose keys are only kept as digests")
{
    json written = complete_configuration();
    written["tenants"] = json::parse(R"({
        "columns": ["name", "apiKeys", "priority", "ratePerS", "burst",
                    "allowedRegions"],
        "rows": [["beta", ["secret-b1", "secret-b2"], 3, 12.5, 4, ["north"]],
                 ["alpha", ["secret-a"], null, null, null, null]]})");
    json& routes = written["routes"];
    routes["columns"].push_back("public");
    routes["columns"].push_back("allowedRegions");
    for (json& row : routes["rows"])
        row.push_back(row[0] == "r2");
    routes["rows"][0].push_back({"north", "south"});
    written["services"]["columns"].push_back("coldPerS");
    written["services"]["rows"][0].push_back(6.5);
    const auto document = translate_configuration(written.dump());
    REQUIRE(document);
    CHECK(config::serialize(document.value()).find("secret") ==
          std::string::npos);
    const config::configuration translated = in_force(written);
    REQUIRE(translated.organisations.size() == 2);
    const config::organisation_policy& alpha = *translated.organisations[0];
    CHECK(alpha.name == "alpha");
    CHECK(alpha.rank.empty());
    CHECK(alpha.calls_per_s == 0);
    CHECK(alpha.regions.empty());
    const config::organisation_policy& beta = *translated.organisations[1];
    CHECK(beta.key_digests.size() == 2);
    CHECK(beta.calls_per_s == 12.5);
    CHECK(beta.burst == 4);
    CHECK(beta.regions == std::vector<std::string>{"north"});
    CHECK(translated.rank_index(beta.rank) == 3);
    const auto* closed_route =
        config::find_host_route(translated, "one.example", "/a/x");
    CHECK_FALSE(closed_route->open);
    CHECK(closed_route->regions.size() == 2);
    CHECK(config::find_host_route(translated, "one.example", "/a/b/")->open);
    CHECK(translated.find_service("s1")->cold_calls_per_s == 6.5);

    for (const json& malformed :
         {json("secret-b1"), json({"secret-b1", 5}), json({""})}) {
        written["tenants"]["rows"][0][1] = malformed;
        const auto refused = translate_configuration(written.dump());
        REQUIRE_FALSE(refused);
        const std::string& message = refused.error().message;
        CHECK(message.find("/tenants/rows/0/apiKeys") != std::string::npos);
        CHECK(message.find("secret") == std::string::npos);
    }
}

TEST_CASE("a malformed configuration is refused with the path of the fault")
{
    json malformed = complete_configuration();
    malformed["routes"]["rows"][1][4] = "later";
    auto refused = translate_configuration(malformed.dump());
    REQUIRE_FALSE(refused);
    malformed = complete_configuration();
    malformed["routes"]["rows"][0][1] = 5;
    refused = translate_configuration(malformed.dump());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().message.find("/routes/rows/0/authority") !=
          std::string::npos);
    malformed = complete_configuration();
    malformed["version"] = "7";
    CHECK_FALSE(translate_configuration(malformed.dump()));
    malformed = complete_configuration();
    malformed.erase("services");
    CHECK_FALSE(translate_configuration(malformed.dump()));
    CHECK_FALSE(translate_configuration("{"));
}

TEST_CASE("check locates every fault in the operators' tables")
{
    // The translation of a version stops at the first fault, and its paths are
    // those of another document.
    const operators::source_form& form = checked_form();
    json written = complete_configuration();
    // The columns "later" are not read.
    const auto translated = form.translate(written).findings;
    REQUIRE(translated.size() == 1);
    CHECK(translated[0].code == "column-not-read");
    CHECK(translated[0].pointer == "/routes/columns/10");
    json ignored = written;
    ignored["services"]["rows"][1][2] = "20";
    CHECK(form.translate(ignored).findings[1].code == "value-ignored");
    CHECK(form.translate(ignored).findings[1].pointer == "/services/rows/1/2");
    CHECK(form.locate(written, "/hosts/1/deadline_ms") == "/routes/rows/1/4");
    CHECK(form.locate(written, "/hosts/0/services") == "/routes/rows/0/7");
    CHECK(form.locate(written, "/hosts/1/services") == "/routes/rows/1/9");
    CHECK(form.locate(written, "/services/0/cold_calls_per_s") ==
          "/services/rows/0");
    CHECK(form.locate(written, "/ranks/0/name").empty());
    // A row may end before a column, and a read beyond its end is undefined.
    json short_row = written;
    short_row["routes"]["rows"][0] = json::array({"h", "/"});
    for (const char* field : {"services", "regions", "deadline_ms"}) {
        CHECK(form.locate(short_row, std::string("/hosts/0/") + field) ==
              "/routes/rows/0");
    }
    // Daemons accept null in place of the optional table.
    json without_tenants = written;
    without_tenants["tenants"] = nullptr;
    CHECK(form.translate(without_tenants).findings.size() == 1);
    CHECK(form.locate(without_tenants, "/organisations/0/name") ==
          "/tenants/rows/0");
    written["routes"]["rows"][0][4] = "later";
    written["routes"]["rows"][0][6] = -1;
    written["routes"]["rows"][1] = "none";
    written["limits"].erase("idle");
    written.erase("services");
    std::vector<std::string> pointers;
    for (const config::finding& found : form.translate(written).findings)
        pointers.push_back(found.pointer);
    CHECK(pointers == std::vector<std::string>{
                          "/limits/idle", "/routes/rows/0/4",
                          "/routes/rows/0/6", "/routes/rows/1", "/services"});
    CHECK(form.translate(json("text")).findings.size() == 1);
    // Without a bound, a daemon pays for each row of a rejected document.
    written["routes"]["rows"] = json(1000, "none");
    const auto bounded = form.translate(written).findings;
    REQUIRE(bounded.size() == 101);
    CHECK(bounded[99].pointer == "/routes/rows/98");
    CHECK_THAT(bounded[100].message, Catch::Contains("further problems"));
}

TEST_CASE("only Not-Executed or status 421 states that a request did not run")
{
    const auto& platform_dialect = dialect();
    CHECK(
        platform_dialect.states_not_run(answer(503, {{"Not-Executed", "1"}})));
    CHECK(platform_dialect.states_not_run(answer(421)));
    CHECK_FALSE(platform_dialect.states_not_run(answer(503)));
    CHECK_FALSE(platform_dialect.states_not_run(answer(500)));
}

TEST_CASE("a refusal's status guarantees no more than its outcome")
{
    const std::tuple<refusal_kind, run_outcome, unsigned> rows[] = {
        {refusal_kind::overloaded, run_outcome::not_run, 503},
        {refusal_kind::deadline_exceeded, run_outcome::not_run, 503},
        {refusal_kind::deadline_exceeded, run_outcome::unknown, 504},
        {refusal_kind::upstream_shed, run_outcome::unknown, 502},
        {refusal_kind::link_broken, run_outcome::unknown, 502},
        {refusal_kind::request_timeout, run_outcome::not_run, 408},
        {refusal_kind::request_timeout, run_outcome::unknown, 502},
        {refusal_kind::no_such_service, run_outcome::not_run, 404},
        {refusal_kind::unknown_key, run_outcome::not_run, 401},
        {refusal_kind::organisation_limit, run_outcome::not_run, 429},
        {refusal_kind::organisation_limit, run_outcome::unknown, 502},
    };
    for (const auto& [kind, outcome, status] : rows) {
        support::refusal refusal;
        refusal.kind = kind;
        refusal.outcome = outcome;
        INFO(to_string(kind) << " " << to_string(outcome));
        CHECK(dialect().refusal_status(refusal) == status);
    }
}

TEST_CASE("an incomplete or malformed load is ignored")
{
    const auto read = [](const char* text) {
        return dialect().read_load(answer(200, {{"Backend-Load", text}}));
    };
    CHECK(read("3,1,8,500")->slowdown == 5);
    CHECK(read("3,1,8,500")->running == 3);
    CHECK(read("3,1,8")->slowdown == 1);
    CHECK_FALSE(read("3,1"));
    CHECK_FALSE(read("a lot"));
    CHECK_FALSE(dialect().read_load(answer(200)));
    const auto cold = [](std::string_view text) {
        const auto load =
            dialect().read_load(answer(200, {{"Backend-Load", "0,0,4,100"},
                                             {"Cold-Ms", std::string(text)}}));
        return load->cold;
    };
    CHECK(cold("1250") == support::milliseconds(1250));
    CHECK(cold("0") == support::milliseconds(0));
    CHECK_FALSE(cold(""));
    CHECK_FALSE(cold("soon"));
    CHECK_FALSE(cold("12 s"));
}

TEST_CASE("a limit and a departure are read from answers")
{
    struct row
    {
        std::vector<support::header_field> fields;
        std::optional<double> calls_per_s;
        bool leaving;
    };
    const row rows[] = {
        {{}, std::nullopt, false},
        {{{"Server-Limit", "7.2"}}, 7.2, false},
        {{{"server-limit", "0"}}, 0, false},
        {{{"Server-Limit", "12"}, {"Server-Leaving", "1"}}, 12, true},
        {{{"Server-Leaving", "0"}}, std::nullopt, false},
        {{{"Server-Limit", "-1"}}, std::nullopt, false},
        {{{"Server-Limit", ""}}, std::nullopt, false},
        {{{"Server-Limit", "many"}}, std::nullopt, false},
        {{{"Server-Limit", "7,2"}}, std::nullopt, false},
        {{{"Server-Limit", "nan"}}, std::nullopt, false},
        {{{"Server-Limit", "1e99"}}, std::nullopt, false},
    };
    for (const row& test_case : rows) {
        const proxy::upstream_demand stated =
            dialect().read_demand(answer(200, test_case.fields));
        CHECK(stated.calls_per_s == test_case.calls_per_s);
        CHECK(stated.leaving == test_case.leaving);
    }
}

} // namespace galenarudder::platform
