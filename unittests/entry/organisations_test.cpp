// Which calls the entry admits if the configuration has organisations, and what
// an upstream learns of the caller.
#include "galenarudder/proxy/entry.hpp"

#include "../../lib/organisations/key_index.hpp"
#include "dialect.hpp"
#include "galenarudder/proxy/http_fields.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::proxy {

namespace {

using support::refusal_kind;

constexpr const char* upstream = "10.0.0.1";
constexpr const char* other = "10.0.0.9";

void add_route(config::configuration& in_force,
               const char* prefix,
               bool open,
               std::vector<std::string> regions)
{
    config::host_route route;
    route.host = "shop.example";
    route.prefix = prefix;
    route.rank = "normal";
    route.deadline = support::milliseconds(1000);
    route.services = {{"bookings", 1}};
    route.open = open;
    route.regions = std::move(regions);
    in_force.host_routes.push_back(
        std::make_shared<const config::host_route>(route));
}

void add_organisation(config::configuration& in_force,
                      const char* name,
                      const char* rank,
                      const char* key,
                      std::vector<std::string> regions)
{
    config::organisation_policy organisation;
    organisation.name = name;
    organisation.rank = rank;
    organisation.key_digests = {organisations::digest_of(key)};
    organisation.regions = std::move(regions);
    in_force.organisations.push_back(
        std::make_shared<const config::organisation_policy>(organisation));
}

config::configuration two_organisations()
{
    config::configuration in_force = config::default_configuration();
    in_force.services.resize(1);
    in_force.services.front().name = "bookings";
    add_route(in_force, "/north/", false, {"north", "east"});
    add_route(in_force, "/open/", true, {});
    add_route(in_force, "/", false, {});
    add_organisation(in_force, "alpha", "urgent", "key-a", {"north", "south"});
    add_organisation(in_force, "beta", "", "key-b", {"south"});
    in_force.organisation_keys =
        organisations::make_key_index(in_force.organisations);
    return in_force;
}

struct fixture
{
    explicit fixture(config::configuration configuration = two_organisations(),
                     const http_dialect& dialect = platform::dialect())
        : in_force(std::make_unique<const config::configuration>(
              std::move(configuration))),
          tested_entry(
              router,
              in_force,
              metrics,
              [](const routing::choice&) { return nullptr; },
              dialect)
    {
        tested_entry.set_upstream_address(upstream);
    }

    classification classify(const std::string& target,
                            std::vector<support::header_field> fields,
                            const std::string& peer = other)
    {
        support::call_head head;
        head.method = "GET";
        head.target = target;
        head.fields = std::move(fields);
        return tested_entry.classify(std::move(head), "shop.example", now,
                                     peer);
    }

    support::time_point now{std::chrono::hours(1)};
    routing::router router{"bilbao"};
    support::rcu_cell<config::configuration> in_force;
    telemetry::metrics metrics;
    entry tested_entry;
};

using field_list = std::vector<support::header_field>;

field_list authorization(const char* value)
{
    return {{"authorization", value}};
}

} // namespace

TEST_CASE("a key of an organisation admits a call and sets rank and regions")
{
    using regions = std::vector<std::string>;
    const field_list none;
    const field_list alpha = authorization("Token key-a");
    const field_list beta = authorization("tOKEN   key-b ");
    const field_list unknown = authorization("Token key-x");
    const auto& [target, fields, peer, organisation, rank, allowed] =
        GENERATE_COPY(table<const char*, field_list, const char*, std::string,
                            std::string, regions>({
            {"/", alpha, other, "alpha", "urgent", {"north", "south"}},
            {"/", beta, other, "beta", "normal", {"south"}},
            {"/north/", alpha, other, "alpha", "urgent", {"north"}},
            {"/open/", none, other, "", "normal", {}},
            {"/open/", unknown, other, "", "normal", {}},
            {"/open/", beta, other, "beta", "normal", {"south"}},
            {"/", none, upstream, "", "normal", {}},
            {"/north/", none, upstream, "", "normal", {"north", "east"}},
        }));
    CAPTURE(target, fields.empty() ? "" : fields[0].value, peer);
    fixture given;
    field_list sent = fields;
    sent.push_back({"TENANT", "forged"});
    sent.push_back({"X-Own", "kept"});
    const auto result = given.classify(target, sent, peer);
    REQUIRE(std::holds_alternative<classified_call>(result));
    const auto& accepted = std::get<classified_call>(result);
    CHECK(accepted.head.organisation == organisation);
    CHECK(accepted.head.rank == rank);
    CHECK(accepted.properties.regions == allowed);
    CHECK(find_field(accepted.head.fields, "Tenant") == organisation);
    CHECK(find_field(accepted.head.fields, "X-Own") == "kept");
    for (const auto& field : accepted.head.fields) {
        CHECK_FALSE(same_field(field.name, "Authorization"));
        CHECK(field.value != "forged");
    }
}

TEST_CASE("a call without a valid key is refused as not run")
{
    const auto& [value, peer] = GENERATE(table<const char*, const char*>({
        {nullptr, other},
        {nullptr, ""},
        {"Token key-x", other},
        {"Token key-x", upstream},
        {"Bearer key-a", other},
        {"key-a", other},
        {"Tokenkey-a", other},
        {"Token", other},
        {"Token ", upstream},
        {"", upstream},
        {"Token key-a, Token key-b", other},
    }));
    CAPTURE(value == nullptr ? "none" : value, peer);
    fixture given;
    const field_list fields =
        value == nullptr ? field_list() : authorization(value);
    const auto refused =
        std::get<support::refusal>(given.classify("/", fields, peer));
    CHECK(refused.kind == refusal_kind::unknown_key);
    CHECK(refused.outcome == support::run_outcome::not_run);
    CHECK(refused.detail.find("key-") == std::string::npos);
    CHECK(platform::dialect().refusal_status(refused) == 401);
}

TEST_CASE("two keys, or two lists without a common region, are refused")
{
    fixture given;
    const field_list once = authorization("Token key-b");
    const field_list twice = {once[0], once[0]};
    CHECK(std::get<support::refusal>(given.classify("/", twice)).kind ==
          refusal_kind::unknown_key);
    const auto refused =
        std::get<support::refusal>(given.classify("/north/", once));
    CHECK(refused.kind == refusal_kind::no_upstream);
    CHECK(refused.outcome == support::run_outcome::not_run);
}

// Guards against nested calls that fail while a restarted daemon waits for its
// upstream's next check-in.
TEST_CASE("before an announcement, calls from this VM need no key")
{
    fixture given;
    given.tested_entry.set_own_address("10.0.0.3");
    given.tested_entry.set_upstream_address("");
    CHECK(given.classify("/", {}, "10.0.0.3").index() == 0);
    CHECK(given.classify("/", {}, other).index() == 1);
    given.tested_entry.set_upstream_address(upstream);
    CHECK(given.classify("/", {}, "10.0.0.3").index() == 1);
}

TEST_CASE("a withdrawn key is refused as soon as the version is in force")
{
    fixture given;
    const auto replace = [&](const char* key) {
        config::configuration next = two_organisations();
        next.organisations.clear();
        add_organisation(next, "alpha", "urgent", key, {});
        next.organisation_keys =
            organisations::make_key_index(next.organisations);
        given.in_force.replace(
            std::make_unique<const config::configuration>(std::move(next)));
    };
    CHECK(given.classify("/", authorization("Token key-a")).index() == 0);
    replace("key-new");
    CHECK(given.classify("/", authorization("Token key-a")).index() == 1);
    CHECK(given.classify("/", authorization("Token key-new")).index() == 0);
    replace("key-a");
    CHECK(given.classify("/", authorization("Token key-a")).index() == 0);
    CHECK(given.classify("/", authorization("Token key-new")).index() == 1);
}

TEST_CASE("the product's dialect reads Bearer and names the organisation")
{
    fixture given(two_organisations(), product_dialect());
    const auto result = given.classify("/", authorization("bearer key-b"));
    REQUIRE(std::holds_alternative<classified_call>(result));
    CHECK(find_field(std::get<classified_call>(result).head.fields,
                     organisation_field) == "beta");
    CHECK(given.classify("/", authorization("Token key-b")).index() == 1);
}

TEST_CASE("without organisations the caller's fields are forwarded")
{
    config::configuration plain = two_organisations();
    plain.organisations.clear();
    plain.organisation_keys.reset();
    fixture given(plain);
    field_list fields = authorization("Basic abc");
    fields.push_back({"Tenant", "own"});
    const auto result = given.classify("/", fields);
    REQUIRE(std::holds_alternative<classified_call>(result));
    const auto& head = std::get<classified_call>(result).head;
    CHECK(head.organisation.empty());
    CHECK(find_field(head.fields, "Authorization") == "Basic abc");
    CHECK(find_field(head.fields, "Tenant") == "own");
}

} // namespace galenarudder::proxy
