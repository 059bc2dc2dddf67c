// A version that is built from what it changes equals the version that is read
// as a whole, for the store's watchers and for their peers, refused versions
// included.
#include "../../lib/organisations/key_index.hpp"
#include "operator_configuration.hpp"

#include "galenarudder/config/raw_json.hpp"
#include "galenarudder/rollout/build.hpp"
#include "galenarudder/rollout/shared_patch.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <sstream>

namespace galenarudder::platform {

using nlohmann::json;
using rollout::build_input;
using rollout::built_document_ptr;

namespace {

constexpr const char* site = "east";

json route_row(std::size_t number)
{
    const std::string text = std::to_string(number);
    return {"r" + text,
            "h" + std::to_string(number % 3) + ".example",
            "/p" + text + "/",
            number % 2 == 0 ? "idempotent" : "non_idempotent",
            "1500ms",
            "600ms",
            number % 4,
            nullptr,
            2,
            "s" + std::to_string(number % 3)};
}

json first_configuration(std::size_t routes)
{
    json written = {{"version", 1},
                    {"routes",
                     {{"columns",
                       {"name", "authority", "prefix", "type", "timeout",
                        "goal", "priority", "split", "attempts", "service"}},
                      {"rows", json::array()}}},
                    {"services",
                     {{"columns", {"name", "healthPath", "maxConns"}},
                      {"rows",
                       {{"s0", "/healthz", 50},
                        {"s1", "/healthz", 60},
                        {"s2", nullptr, 7}}}}},
                    {"limits",
                     {{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", 1048576},
                      {"header", "3000ms"},
                      {"idle", "15000ms"}}}};
    for (std::size_t number = 0; number < routes; ++number)
        written["routes"]["rows"].push_back(route_row(number));
    return written;
}

std::size_t random_below(std::size_t bound)
{
    return *rc::gen::inRange<std::size_t>(0, bound);
}

/// Returns a row of the table. In place of one that an earlier edit of the same
/// version made no list, returns a row outside of the document.
json& random_row(json& written, const char* table)
{
    static json outside;
    json& rows = written[table]["rows"];
    json& row = rows[random_below(rows.size())];
    if (row.is_array())
        return row;
    outside = route_row(0);
    return outside;
}

/// What operators do to a configuration from one version to the next. Some of
/// these versions are refused.
struct edit
{
    const char* name;
    void (*apply)(json& written);
};

json& tenant_rows(json& written)
{
    if (!written.contains("tenants")) {
        written["tenants"] = {
            {"columns",
             {"name", "apiKeys", "priority", "ratePerS", "burst",
              "allowedRegions"}},
            {"rows",
             {{"t0", {"key-0a", "key-0b"}, 5, 40.5, 10, {"north"}},
              {"t1", {"key-1"}, nullptr, nullptr, nullptr, nullptr}}}};
    }
    return written["tenants"]["rows"];
}

const edit edits[] = {
    {"nothing", [](json&) {}},
    {"another timeout",
     [](json& written) {
         random_row(written, "routes")[4] =
             std::to_string(1 + random_below(9)) + "s";
     }},
    {"a route more",
     [](json& written) {
         json& rows = written["routes"]["rows"];
         rows.insert(rows.begin() + static_cast<std::ptrdiff_t>(
                                        random_below(rows.size() + 1)),
                     route_row(100 + random_below(1000)));
     }},
    {"a route less",
     [](json& written) {
         json& rows = written["routes"]["rows"];
         if (rows.size() > 1)
             rows.erase(random_below(rows.size()));
     }},
    {"two routes change places",
     [](json& written) {
         json& rows = written["routes"]["rows"];
         std::swap(rows[random_below(rows.size())],
                   rows[random_below(rows.size())]);
     }},
    {"all routes the other way round",
     [](json& written) {
         json& rows = written["routes"]["rows"];
         std::reverse(rows.begin(), rows.end());
     }},
    {"a split",
     [](json& written) {
         random_row(written, "routes")[7] = {
             {{"service", "s0"}, {"weight", 1 + random_below(9)}},
             {{"service", "s1"}, {"weight", 10}}};
     }},
    {"another priority",
     [](json& written) { random_row(written, "routes")[6] = random_below(8); }},
    {"another host in capitals",
     [](json& written) { random_row(written, "routes")[1] = "H1.Example"; }},
    {"another number of connections",
     [](json& written) {
         random_row(written, "services")[2] = 1 + random_below(9);
     }},
    {"a service more",
     [](json& written) {
         written["services"]["rows"].push_back(
             {"s" + std::to_string(3 + random_below(9)), nullptr, 5});
     }},
    {"a service that routes lead to goes",
     [](json& written) {
         json& rows = written["services"]["rows"];
         if (rows.size() > 1)
             rows.erase(random_below(rows.size()));
     }},
    {"other limits",
     [](json& written) {
         written["limits"]["idle"] = std::to_string(1 + random_below(9)) + "s";
     }},
    {"a column more",
     [](json& written) { written["routes"]["columns"].push_back("later"); }},
    {"columns change places",
     [](json& written) {
         std::swap(written["routes"]["columns"][4],
                   written["routes"]["columns"][5]);
     }},
    {"a route twice",
     [](json& written) {
         json& rows = written["routes"]["rows"];
         rows.push_back(rows[random_below(rows.size())]);
     }},
    {"a route without a service",
     [](json& written) { random_row(written, "routes")[9] = nullptr; }},
    {"a route to no service",
     [](json& written) { random_row(written, "routes")[9] = "none"; }},
    {"a prefix that is no path",
     [](json& written) { random_row(written, "routes")[2] = "p"; }},
    {"a timeout that is no duration",
     [](json& written) { random_row(written, "routes")[4] = "soon"; }},
    {"a row that is no list",
     [](json& written) { random_row(written, "routes") = 7; }},
    {"a tenant more",
     [](json& written) {
         const std::string number = std::to_string(2 + random_below(30));
         tenant_rows(written).push_back(
             {"t" + number, {"key-" + number}, 1, 5, 0, json::array()});
     }},
    {"a tenant less",
     [](json& written) {
         json& rows = tenant_rows(written);
         if (!rows.empty())
             rows.erase(random_below(rows.size()));
     }},
    {"another key",
     [](json& written) {
         json& rows = tenant_rows(written);
         if (!rows.empty())
             rows[random_below(rows.size())][1] = {
                 "key-" + std::to_string(random_below(1000))};
     }},
    {"a key of two tenants",
     [](json& written) {
         tenant_rows(written).push_back({"t99", {"key-1", "key-1"}, 0});
     }},
    {"a tenant twice",
     [](json& written) {
         tenant_rows(written).push_back({"t1", {"key-x"}});
     }},
    {"a key that is no text",
     [](json& written) {
         tenant_rows(written).push_back({"t98", {7}});
     }},
    {"no tenants", [](json& written) { written.erase("tenants"); }},
    {"no limits", [](json& written) { written.erase("limits"); }},
    {"something unknown",
     [](json& written) {
         written["later"] = {{"routes", {1, 2}}, {"text", "a \"quote\""}};
     }},
};

std::string describe(const config::configuration& effective)
{
    std::ostringstream text;
    text << effective.version << ' ' << effective.site << '\n';
    for (const auto& rank : effective.ranks)
        text << rank.name << ' ' << rank.minimum_share << ' ' << rank.held_slots
             << '\n';
    for (const auto& service : effective.services)
        text << service.name << ' ' << service.probe_path << ' '
             << service.connections << ' ' << service.routes.size() << '\n';
    for (const auto& route : effective.host_routes) {
        text << route->host << route->prefix << ' ' << route->rank << ' '
             << route->repeatable << ' ' << route->deadline.count() << ' '
             << route->goal.count() << ' ' << route->attempts;
        for (const auto& target : route->services)
            text << ' ' << target.service << '=' << target.weight;
        text << '\n';
    }
    for (const auto& organisation : effective.organisations) {
        text << organisation->name << ' ' << organisation->rank << ' '
             << organisation->calls_per_s << ' ' << organisation->burst;
        for (const std::string& digest : organisation->key_digests)
            text << ' ' << organisations::to_hex(digest);
        for (const std::string& region : organisation->regions)
            text << ' ' << region;
        text << '\n';
    }
    if (effective.organisation_keys) {
        const auto& keys = *effective.organisation_keys;
        text << keys.size() << " keys\n";
        for (std::size_t number = 0; number < 40; ++number) {
            const auto* found = keys.find("key-" + std::to_string(number));
            text << number << '=' << (found == nullptr ? "" : found->name)
                 << '\n';
        }
    }
    text << effective.callers.head_bytes << ' ' << effective.callers.body_bytes
         << ' ' << effective.callers.head_time.count() << ' '
         << effective.callers.idle_time.count();
    return text.str();
}

constexpr rollout::document_reader reader = {translate_configuration,
                                             translate_shared};

support::result<built_document_ptr> build_stored(const std::string& text,
                                                 built_document_ptr current)
{
    return rollout::build({{{}, {}, text}, std::move(current), site, reader});
}

support::result<built_document_ptr>
build_at_peer(const built_document_ptr& sent, built_document_ptr current)
{
    rollout::transfer received{{}, sent->id, sent->text};
    if (current && !sent->patch.empty()) {
        received.from = current->id;
        received.body = sent->patch;
    }
    return rollout::build({received, std::move(current), site, reader});
}

/// Checks \p built against the document that is read from \p text as a whole.
void check_equal(const built_document_ptr& built, const std::string& text)
{
    const auto whole = translate_configuration(text);
    RC_ASSERT(whole.has_value());
    RC_ASSERT(built->text == config::serialize(whole.value()));
    const auto effective = config::effective_configuration(whole.value(), site);
    RC_ASSERT(effective.has_value());
    RC_ASSERT(describe(*built->effective) == describe(effective.value()));
    RC_ASSERT(config::serialize(config::to_document(built->content)) ==
              built->text);
}

} // namespace

TEST_CASE("a sequence of versions is built like each version as a whole")
{
    const auto property = [](std::size_t routes) {
        json written = first_configuration(routes);
        built_document_ptr watcher;
        built_document_ptr peer;
        for (std::uint64_t version = 1; version <= 12; ++version) {
            json next = written;
            next["version"] = version;
            std::string edited;
            for (std::size_t count = random_below(3); count > 0; --count) {
                const edit& chosen = edits[random_below(std::size(edits))];
                edited.append(chosen.name).append(", ");
                chosen.apply(next);
            }
            RC_LOG() << version << ": " << edited << '\n';
            const std::string text = next.dump();
            const auto whole = translate_configuration(text);
            const auto built = build_stored(text, watcher);
            RC_ASSERT(built.has_value() == whole.has_value());
            if (!built) {
                RC_ASSERT(built.error().message == whole.error().message);
                continue;
            }
            check_equal(built.value(), text);
            const auto received = build_at_peer(built.value(), peer);
            RC_ASSERT(received.has_value());
            check_equal(received.value(), text);
            RC_ASSERT(received.value()->id == built.value()->id);
            watcher = built.value();
            // Some peers miss the patch and get the store's text later.
            const bool reads_store = random_below(4) == 0;
            peer = reads_store ? build_stored(text, received.value()).value()
                               : received.value();
            RC_ASSERT(peer->id == watcher->id);
            written = std::move(next);
        }
    };
    CHECK(rc::check("few routes", [&] { property(4); }));
    CHECK(rc::check("many routes", [&] { property(40); }));
}

TEST_CASE("a version shares the routes that it does not change")
{
    json written = first_configuration(50);
    const built_document_ptr first =
        build_stored(written.dump(), nullptr).value();
    written["version"] = 2;
    written["routes"]["rows"][30][4] = "7s";
    const built_document_ptr second =
        build_stored(written.dump(), first).value();
    const built_document_ptr received = build_at_peer(second, first).value();
    for (const auto& built : {second, received}) {
        const auto& earlier = first->effective->host_routes;
        const auto& routes = built->effective->host_routes;
        REQUIRE(routes.size() == earlier.size());
        std::size_t shared = 0;
        for (std::size_t index = 0; index < routes.size(); ++index)
            shared += routes[index] == earlier[index] ? 1 : 0;
        CHECK(shared == 49);
    }
    CHECK(second->patch.size() < 700);
}

// Guards against versions that cost all organisations when one key changes.
TEST_CASE("a version that withdraws a key costs one row")
{
    json written = first_configuration(3);
    json& rows = tenant_rows(written);
    for (std::size_t number = 100; number < 150; ++number) {
        const std::string text = std::to_string(number);
        rows.push_back({"t" + text, {"key-" + text}, 1, 5, 0});
    }
    const built_document_ptr first =
        build_stored(written.dump(), nullptr).value();
    REQUIRE(first->effective->organisation_keys->find("key-120") != nullptr);
    written["version"] = 2;
    written["tenants"]["rows"][22][1] = json::array();
    const built_document_ptr second =
        build_stored(written.dump(), first).value();
    const built_document_ptr received = build_at_peer(second, first).value();
    for (const auto& built : {second, received}) {
        const auto& keys = *built->effective->organisation_keys;
        CHECK(keys.find("key-120") == nullptr);
        CHECK(keys.find("key-121")->name == "t121");
        CHECK(built->effective->organisations[23] ==
              first->effective->organisations[23]);
    }
    CHECK(second->patch.size() < 500);
    CHECK(first->text.find("key-1") == std::string::npos);
    // Versions that leave the organisations alone share the index.
    written["version"] = 3;
    written["routes"]["rows"][1][4] = "7s";
    const built_document_ptr third =
        build_stored(written.dump(), second).value();
    CHECK(third->effective->organisation_keys ==
          second->effective->organisation_keys);
}

TEST_CASE("a text that is not plain JSON is left to the parser")
{
    const std::string plain = first_configuration(2).dump();
    const auto replaced = [&](const std::string& part, const std::string& by) {
        std::string text = plain;
        text.replace(text.find(part), part.size(), by);
        return text;
    };
    const std::string texts[] = {
        "",
        "{",
        "[]",
        "null",
        plain + "}",
        plain + ",",
        plain.substr(0, plain.size() - 1),
        replaced("\"limits\"", "\"version\""),
        replaced("\"limits\"", "\"limit\\u0073\""),
        replaced("[[", "[,["),
        replaced("],[", "] ["),
        replaced("]]", "],]"),
        replaced("\"h0.example\"", "\"h0.example"),
        replaced("\"limits\":", "\"limits\""),
    };
    REQUIRE(translate_shared(plain, nullptr));
    for (const std::string& text : texts) {
        INFO(text);
        CHECK_FALSE(translate_shared(text, nullptr));
    }
}

TEST_CASE("bytes from outside do not end the reader")
{
    const std::string plain = first_configuration(3).dump();
    CHECK(rc::check("changed bytes", [&] {
        std::string text = plain;
        for (std::size_t count = 1 + random_below(4); count > 0; --count)
            text[random_below(text.size())] = *rc::gen::arbitrary<char>();
        const auto whole = translate_configuration(text);
        const auto shared = translate_shared(text, nullptr);
        const bool accepted =
            shared && config::conforms(*shared, nullptr) &&
            config::effective_configuration(*shared, site, nullptr, nullptr);
        if (accepted) {
            RC_ASSERT(whole.has_value());
            RC_ASSERT(config::serialize(*shared) ==
                      config::serialize(whole.value()));
        }
    }));
    CHECK(rc::check("any operations", [&](const std::string& operations) {
        const auto built = build_stored(plain, nullptr).value();
        rollout::apply_shared(built->content, operations);
    }));
}

TEST_CASE("no patch of a peer ends the process or is taken if it is invalid")
{
    const json first_written = first_configuration(3);
    const built_document_ptr first =
        build_stored(first_written.dump(), nullptr).value();
    const char* const names[] = {"add",  "remove", "replace", "move",
                                 "copy", "test",   "other"};
    const char* const paths[] = {"",
                                 "/",
                                 "/base",
                                 "/base/hosts",
                                 "/base/hosts/0",
                                 "/base/hosts/1/services",
                                 "/base/hosts/3",
                                 "/base/hosts/4",
                                 "/base/hosts/-",
                                 "/base/hosts/00",
                                 "/base/hostss",
                                 "/base/services",
                                 "/base/services/0",
                                 "/base/services/0/name",
                                 "/base/ranks",
                                 "/base/ranks/0",
                                 "/base/limits",
                                 "/overlays",
                                 "/overlays/east",
                                 "/history/7",
                                 "/version",
                                 "/change_id",
                                 "no path"};
    const json values[] = {
        nullptr,
        -1,
        7,
        1.5,
        "text",
        json::array(),
        json::object(),
        {{"name", "s9"}},
        {{"name", "priority-0"}, {"minimum_share", 2}},
        {{"host", "h"},
         {"prefix", "/"},
         {"rank", "priority-0"},
         {"services", {{{"service", "s0"}}}}},
        json::array({json::object()}),
    };
    const auto random_operation = [&] {
        json operation = {{"op", names[random_below(std::size(names))]},
                          {"path", paths[random_below(std::size(paths))]},
                          {"from", paths[random_below(std::size(paths))]},
                          {"value", values[random_below(std::size(values))]}};
        if (random_below(10) == 0)
            operation.erase(operation.begin());
        return random_below(20) == 0 ? json(7) : operation;
    };
    CHECK(rc::check("random operations", [&] {
        json operations = json::array(
            {{{"op", "replace"}, {"path", "/version"}, {"value", 2}}});
        for (std::size_t count = random_below(4); count > 0; --count)
            operations.push_back(random_operation());
        // What applying the operations to the whole document gives.
        json patched = config::to_json(config::to_document(first->content));
        bool applies = true;
        try {
            patched.patch_inplace(operations);
        } catch (const json::exception&) {
            applies = false;
        }
        const auto whole =
            applies ? config::read_document(patched)
                    : support::result<config::document>(support::error{});
        const rollout::transfer received{first->id,
                                         {2, rollout::hash_of(patched.dump())},
                                         operations.dump()};
        const auto built = rollout::build({received, first, site, reader});
        RC_LOG() << operations.dump() << '\n';
        RC_ASSERT(built.has_value() == whole.has_value());
        if (built)
            RC_ASSERT(built.value()->text == patched.dump());
    }));
}

TEST_CASE("a patch that reaches into a row or over a table is applied whole")
{
    const built_document_ptr first =
        build_stored(first_configuration(4).dump(), nullptr).value();
    const char* const patches[] = {
        R"([{"op":"replace","path":"/base/hosts/1/deadline_ms","value":7}])",
        R"([{"op":"replace","path":"/base/hosts","value":[]}])",
        R"([{"op":"move","from":"/base/hosts/0","path":"/base/hosts/2"}])",
        R"([{"op":"add","path":"/base/hosts/-","value":{"host":"h","prefix":
            "/","rank":"priority-0","services":[{"service":"s0"}]}}])",
        R"([{"op":"test","path":"/version","value":1},
            {"op":"replace","path":"/note","value":"n"}])",
    };
    for (const char* const operations : patches) {
        INFO(operations);
        json expected = config::to_json(config::to_document(first->content));
        expected.patch_inplace(json::parse(operations));
        expected["version"] = 2;
        const std::string text = expected.dump();
        std::string all = operations;
        all.pop_back();
        all += R"(,{"op":"replace","path":"/version","value":2}])";
        const rollout::transfer received{
            first->id, {2, rollout::hash_of(text)}, all};
        const auto built = rollout::build({received, first, site, reader});
        REQUIRE(built);
        CHECK(built.value()->text == text);
    }
}

} // namespace galenarudder::platform
