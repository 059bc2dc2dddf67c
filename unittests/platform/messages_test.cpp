// The platform's messages as its protocol states them, both ways.
#include "check_in_port.hpp"
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

json whole_check_in()
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

json whole_configuration()
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

TEST_CASE("a check-in is read into what it states")
{
    const auto stated = parse_check_in("i-1", whole_check_in().dump());
    REQUIRE(stated);
    CHECK(stated.value().instance == "i-1");
    CHECK(stated.value().service == "s1");
    CHECK(to_string(stated.value().address) == "10.1.0.8:8301");
    CHECK(stated.value().slots == 9);
    CHECK(stated.value().sequence == 4);
    CHECK(stated.value().started_ms == 1796385600000);
    CHECK(stated.value().warm_up_remaining == support::milliseconds(250));
    CHECK_FALSE(stated.value().leaving);

    json leaving = whole_check_in();
    leaving["state"] = "draining";
    CHECK(parse_check_in("i-1", leaving.dump()).value().leaving);
}

TEST_CASE("a check-in with a field missing or odd names no upstream")
{
    const std::pair<const char*, json> odd[] = {
        {"service", 7},           {"service", ""},
        {"address", "nowhere"},   {"slots", 0},
        {"slots", "9"},           {"slots", -1},
        {"state", "asleep"},      {"seq", 1.5},
        {"born", "soon"},         {"born", -5},
        {"coldLeft", "a moment"}, {"coldLeft", 3}};
    for (const auto& [field, value] : odd) {
        INFO(field << " is " << value);
        json changed = whole_check_in();
        changed[field] = value;
        const auto refused = parse_check_in("i-1", changed.dump());
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == support::error_kind::invalid_document);
        changed.erase(field);
        CHECK_FALSE(parse_check_in("i-1", changed.dump()));
    }
    for (const char* body : {"", "[]", "null", "{", "\xff\xfe"})
        CHECK_FALSE(parse_check_in("i-1", body));
}

TEST_CASE("the operators' configuration becomes the product's")
{
    const config::configuration found = in_force(whole_configuration());
    CHECK(found.version == 7);
    REQUIRE(found.host_routes.size() == 2);
    const config::host_route* longest =
        config::find_host_route(found, "ONE.example:80", "/a/b/c");
    REQUIRE(longest != nullptr);
    CHECK(longest->prefix == "/a/b/");
    CHECK_FALSE(longest->repeatable);
    CHECK(longest->deadline == support::milliseconds(1200));
    CHECK(longest->goal == support::milliseconds(600));
    CHECK(longest->services.front().service == "s2");
    const config::host_route* divided =
        config::find_host_route(found, "one.example", "/a/x");
    REQUIRE(divided != nullptr);
    CHECK(divided->repeatable);
    CHECK(divided->attempts == 2);
    REQUIRE(divided->services.size() == 2);
    CHECK(divided->services[0].weight == 90);
    CHECK(found.rank_index(longest->rank) < found.rank_index(divided->rank));
    CHECK(config::find_host_route(found, "one.example", "/b/") == nullptr);
    CHECK(config::find_host_route(found, "two.example", "/a/") == nullptr);
    CHECK(found.find_service("s1")->probe_path == "/healthz");
    CHECK(found.find_service("s1")->connections == 260);
    CHECK(found.find_service("s2")->probe_path.empty());
    CHECK(found.callers.head_bytes == 16384);
    CHECK(found.callers.idle_time == std::chrono::seconds(15));
}

TEST_CASE("an odd configuration is refused with the path of the fault")
{
    json odd = whole_configuration();
    odd["routes"]["rows"][1][4] = "later";
    auto refused = translate_configuration(odd.dump());
    REQUIRE_FALSE(refused);
    odd = whole_configuration();
    odd["routes"]["rows"][0][1] = 5;
    refused = translate_configuration(odd.dump());
    REQUIRE_FALSE(refused);
    CHECK(refused.error().message.find("/routes/rows/0/authority") !=
          std::string::npos);
    odd = whole_configuration();
    odd["version"] = "7";
    CHECK_FALSE(translate_configuration(odd.dump()));
    odd = whole_configuration();
    odd.erase("services");
    CHECK_FALSE(translate_configuration(odd.dump()));
    CHECK_FALSE(translate_configuration("{"));
}

TEST_CASE("only an upstream's own word states that it ran nothing")
{
    const auto& spoken = dialect();
    CHECK(spoken.states_not_run(answer(503, {{"Not-Executed", "1"}})));
    CHECK(spoken.states_not_run(answer(421)));
    CHECK_FALSE(spoken.states_not_run(answer(503)));
    CHECK_FALSE(spoken.states_not_run(answer(500)));
}

TEST_CASE("a refusal's status promises no more than its outcome")
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
    };
    for (const auto& [kind, outcome, status] : rows) {
        support::refusal why;
        why.kind = kind;
        why.outcome = outcome;
        INFO(to_string(kind) << " " << to_string(outcome));
        CHECK(dialect().refusal_status(why) == status);
    }
}

TEST_CASE("a load is read whole or not at all")
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
}

} // namespace galenarudder::platform
