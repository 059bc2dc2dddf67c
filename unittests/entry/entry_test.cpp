// The entry's classification of requests by the configuration in force.
#include "../../lib/organisations/key_index.hpp"
#include "galenarudder/proxy/entry.hpp"

#include "galenarudder/proxy/http_fields.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::proxy {

namespace {

using support::refusal_kind;

config::configuration two_services()
{
    config::configuration in_force = config::default_configuration();
    config::service_policy kitcheck;
    kitcheck.name = "kitcheck";
    kitcheck.routes = {
        {"GET", "/rescue", "urgent", true, support::milliseconds(1000), 0},
        {"", "/", "normal", false, support::milliseconds(2000), 100}};
    config::service_policy bookings;
    bookings.name = "bookings";
    bookings.routes = {
        {"POST", "/", "normal", false, support::milliseconds(1500), 100}};
    in_force.services = {kitcheck, bookings};
    return in_force;
}

struct fixture
{
    fixture()
        : in_force(
              std::make_unique<const config::configuration>(two_services())),
          tested_entry(
              router,
              in_force,
              metrics,
              [](const routing::choice&) { return nullptr; },
              dialect)
    {
    }

    classification classify(const std::string& method,
                            const std::string& target,
                            const std::string& host,
                            std::vector<support::header_field> fields = {},
                            const std::string& peer = {})
    {
        support::call_head head;
        head.method = method;
        head.target = target;
        head.fields = std::move(fields);
        head.content_length = 10;
        return tested_entry.classify(std::move(head), host, now, peer);
    }

    http_dialect dialect = product_dialect();
    support::time_point now{std::chrono::hours(1)};
    routing::router router{"bilbao"};
    support::rcu_cell<config::configuration> in_force;
    telemetry::metrics metrics;
    entry tested_entry;
};

support::header_field field(std::string_view name, std::string value)
{
    return {std::string(name), std::move(value)};
}

} // namespace

// Guards against calls that carry the service of the settings at the start.
TEST_CASE("calls carry the calling service that the settings name now")
{
    fixture given;
    given.dialect.calling_service = "Caller-Service";
    for (const char* service : {"alpha", "gamma", "gamma"}) {
        given.tested_entry.set_own_service(service);
        const auto classified = given.classify(
            "POST", "/", "kitcheck", {field("caller-service", "forged")});
        const auto& fields = std::get<classified_call>(classified).head.fields;
        CHECK(find_field(fields, "Caller-Service") == service);
    }
}

// Guards against callers that share the address of the upstream and would go
// before other callers: only calls that upstreams make carry no key.
TEST_CASE("calls without a key from the upstream on this VM count as nested")
{
    fixture given;
    given.tested_entry.set_upstream_address("10.1.0.8");
    const auto depth_of_call = [&](const char* peer,
                                   std::vector<support::header_field> fields) {
        const auto classified =
            given.classify("POST", "/", "kitcheck", std::move(fields), peer);
        return std::get<classified_call>(classified).head.depth;
    };
    CHECK(depth_of_call("10.1.0.8", {}) == 1);
    config::configuration with_organisations = two_services();
    config::organisation_policy organisation;
    organisation.name = "alpha";
    organisation.key_digests = {organisations::digest_of("key-a")};
    with_organisations.organisations.push_back(
        std::make_shared<const config::organisation_policy>(organisation));
    with_organisations.organisation_keys =
        organisations::make_key_index(with_organisations.organisations);
    given.in_force.replace(
        std::make_shared<const config::configuration>(with_organisations));
    const support::header_field key{
        "Authorization",
        std::string(given.tested_entry.dialect().key_scheme) + " key-a"};
    CHECK(depth_of_call("10.1.0.8", {}) == 2);
    CHECK(depth_of_call("10.1.0.8", {key}) == 1);
    CHECK(depth_of_call("10.1.0.9", {key}) == 1);
}

TEST_CASE("the Host field, else the first path segment, names the service")
{
    struct row
    {
        std::string host;
        std::string target;
        std::string service;
        std::string sent_target;
        std::string rank;
    };
    const auto& [host, target, service, sent_target, rank] =
        GENERATE(values<row>({
            {"kitcheck.example:7100", "/a?b=1", "kitcheck", "/a?b=1", "normal"},
            {"127.0.0.1:7100", "/bookings/new", "bookings", "/new", "normal"},
            {"127.0.0.1:7100", "/bookings", "bookings", "/", "normal"},
            {"127.0.0.1", "/bookings?x=1", "bookings", "/?x=1", "normal"},
        }));
    CAPTURE(host, target);
    fixture given;
    const auto result = given.classify("POST", target, host);
    REQUIRE(std::holds_alternative<classified_call>(result));
    const auto& accepted = std::get<classified_call>(result);
    CHECK(accepted.head.service == service);
    CHECK(accepted.head.target == sent_target);
    CHECK(accepted.head.rank == rank);
    CHECK(accepted.head.depth == 1);
}

TEST_CASE("a request beyond a limit or without a route is refused as not run")
{
    struct row
    {
        std::string method;
        std::string target;
        std::vector<support::header_field> fields;
        refusal_kind kind;
    };
    const auto& [method, target, fields, kind] = GENERATE(values<row>({
        {"POST", "/nothing", {}, refusal_kind::no_such_service},
        {"GET", "/bookings", {}, refusal_kind::no_such_service},
        {"GET", "/kitcheck/rescue", {}, refusal_kind::body_too_large},
        {"POST",
         "/bookings",
         {field(depth_field, "26")},
         refusal_kind::too_deep},
    }));
    CAPTURE(method, target);
    fixture given;
    const auto result = given.classify(method, target, "x", fields);
    REQUIRE(std::holds_alternative<support::refusal>(result));
    CHECK(std::get<support::refusal>(result).kind == kind);
    CHECK(std::get<support::refusal>(result).outcome ==
          support::run_outcome::not_run);
}

TEST_CASE("before the first configuration a call may be retried elsewhere")
{
    fixture given;
    given.in_force.replace(std::make_unique<const config::configuration>(
        config::default_configuration()));
    const auto result = given.classify("POST", "/bookings", "x");
    REQUIRE(std::holds_alternative<support::refusal>(result));
    const auto& refused = std::get<support::refusal>(result);
    CHECK(refused.kind == refusal_kind::no_upstream);
    CHECK(refused.outcome == support::run_outcome::not_run);
    CHECK_FALSE(refused.retry_exhausted);
    CHECK(refused.retry_after.count() > 0);
}

TEST_CASE("any caller may lower the rank, only the announced upstream raise it")
{
    struct row
    {
        std::string requested;
        std::string peer;
        std::string rank;
    };
    const auto& [requested, peer, rank] = GENERATE(values<row>({
        {"bulk", "10.0.0.9", "bulk"},
        {"urgent", "10.0.0.9", "normal"},
        {"urgent", "", "normal"},
        {"urgent", "10.0.0.1", "urgent"},
        {"bulk", "10.0.0.1", "bulk"},
        {"unheard-of", "10.0.0.1", "normal"},
    }));
    CAPTURE(requested, peer);
    fixture given;
    given.tested_entry.set_upstream_address("10.0.0.1");
    const auto result = given.classify("POST", "/bookings", "x",
                                       {field(rank_field, requested)}, peer);
    CHECK(std::get<classified_call>(result).head.rank == rank);
}

TEST_CASE("a caller can shorten the deadline of the route but not extend it")
{
    struct row
    {
        std::string requested;
        int remaining_ms;
    };
    const auto& [requested, remaining_ms] = GENERATE(values<row>({
        {"200", 200},
        {"9000", 1500},
        {"-5", 1500},
        {"soon", 1500},
        {"0", 0},
    }));
    fixture given;
    const auto result = given.classify("POST", "/bookings", "x",
                                       {field(deadline_field, requested)});
    const auto& accepted = std::get<classified_call>(result);
    CHECK(accepted.head.remaining_time == support::milliseconds(remaining_ms));
    CHECK(accepted.properties.deadline ==
          given.now + support::milliseconds(remaining_ms));
}

TEST_CASE("rank, depth and hop-by-hop fields are removed, the key is forwarded")
{
    fixture given;
    const auto result =
        given.classify("POST", "/bookings", "x",
                       {field(key_field, "k"), field(rank_field, "bulk"),
                        field(depth_field, "3"), field("Connection", "close"),
                        field("X-Own", "kept")});
    const auto& head = std::get<classified_call>(result).head;
    CHECK(head.idempotency_key == "k");
    CHECK(head.depth == 4);
    REQUIRE(head.fields.size() == 2);
    CHECK(head.fields[0].name == key_field);
    CHECK(head.fields[1].value == "kept");
}

} // namespace galenarudder::proxy
