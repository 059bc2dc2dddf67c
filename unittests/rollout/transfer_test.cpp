// Transfers survive encoding; tampered transfers and arbitrary bytes
// give errors.
#include "galenarudder/rollout/transfer.hpp"

#include "galenarudder/config/document.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>
#include <map>

using namespace galenarudder;
using nlohmann::json;

namespace {

const std::string old_document =
    R"({"a":1,"long":"0123456789012345678901234567890"})";
const std::string new_document =
    R"({"a":2,"long":"0123456789012345678901234567890"})";

const std::vector<config::shared_key> keys = {{"new", "secret-of-the-new-key"},
                                              {"old", "secret-of-the-old-key"}};

support::result<std::pair<json, std::string>>
apply_to(const std::string& current, const rollout::transfer& received)
{
    return rollout::apply_patch(json::parse(current),
                                {1, rollout::hash_of(current)}, received);
}

} // namespace

TEST_CASE("a transfer rebuilds the document", "[rollout]")
{
    const bool has_base = GENERATE(true, false);
    const std::string from = has_base ? old_document : "";
    const auto built =
        rollout::make_transfer(from, has_base ? 1 : 0, new_document, 2);
    const auto received = rollout::decode_transfer(rollout::encode(built));
    REQUIRE(received);
    REQUIRE(received.value().is_patch() == has_base);
    if (!has_base) {
        CHECK(rollout::check_hash(received.value().body, received.value()));
        CHECK(received.value().body == new_document);
        return;
    }
    const auto rebuilt = rollout::apply_patch(
        json::parse(from), {1, rollout::hash_of(from)}, received.value());
    REQUIRE(rebuilt);
    CHECK(rebuilt.value().second == new_document);
}

TEST_CASE("a transfer whose result does not have the given hash is refused",
          "[rollout]")
{
    auto built = rollout::make_transfer("", 0, new_document, 2);
    built.body = old_document;
    CHECK(rollout::check_hash(built.body, built).error().kind ==
          support::error_kind::malformed_message);
    const auto patch =
        rollout::transfer{{1, rollout::hash_of(old_document)},
                          {2, rollout::hash_of(new_document)},
                          GENERATE(as<std::string>(), "[]", "{", "7",
                                   R"([{"op":"remove","path":"/no"}])")};
    CHECK(apply_to(old_document, patch).error().kind ==
          support::error_kind::malformed_message);
    CHECK(apply_to(new_document, patch).error().kind ==
          support::error_kind::conflict);
}

TEST_CASE("an element dropped from an array does not put the rest in the patch",
          "[rollout]")
{
    const json route = {{"host", "a.example"}, {"services", {"s1", "s2"}}};
    json from = {{"hosts", json::array()}, {"other", {1, 2, 3}}};
    for (int number = 0; number < 1400; ++number) {
        from["hosts"].push_back(route);
        from["hosts"].back()["prefix"] = "/p" + std::to_string(number) + "/";
    }
    struct row
    {
        const char* name;
        std::function<void(json&)> change;
    };
    const row rows[] = {
        {"the fourth is dropped", [](json& hosts) { hosts.erase(3); }},
        {"one is added in front",
         [&](json& hosts) { hosts.insert(hosts.begin(), route); }},
        {"one is changed",
         [](json& hosts) { hosts[700]["services"] = {"s3"}; }},
        {"the first moves to the end",
         [](json& hosts) {
             hosts.push_back(hosts[0]);
             hosts.erase(0);
         }},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        json to = from;
        test_case.change(to["hosts"]);
        const json patch = rollout::make_patch(from, to, json::json_pointer());
        CHECK(patch.size() <= 2);
        CHECK(from.patch(patch) == to);
    }
}

TEST_CASE("a patch turns any document into any other", "[rollout]")
{
    setenv("RC_PARAMS", "seed=4", 0);
    const auto to_json =
        [](const std::map<std::string, std::vector<int>>& table) {
            json document = json::object();
            for (const auto& [name, numbers] : table) {
                document["~/" + name] = json::array();
                for (const int number : numbers)
                    document["~/" + name].push_back({{"n", number % 4}});
            }
            return document;
        };
    rc::check(
        "arrays below objects",
        [&](const std::map<std::string, std::vector<int>>& from_table,
            std::map<std::string, std::vector<int>> to_table) {
            // Common keys with arrays that resemble each other.
            for (const auto& [name, numbers] : from_table) {
                auto& changed = to_table[name];
                changed.insert(changed.end(), numbers.rbegin(), numbers.rend());
                changed.insert(changed.end(), numbers.begin(), numbers.end());
            }
            const json from = to_json(from_table);
            const json to = to_json(to_table);
            const json patch =
                rollout::make_patch(from, to, json::json_pointer());
            RC_ASSERT(from.patch(patch) == to);
            const json back =
                rollout::make_patch(to, from, json::json_pointer());
            RC_ASSERT(to.patch(back) == from);
        });
}

TEST_CASE("only signatures with a shared key are accepted", "[rollout]")
{
    struct signature_case
    {
        const char* key_id;
        config::shared_key signing_key;
        const char* text;
        bool authentic;
    };
    const auto row = GENERATE(values<signature_case>(
        {{"new", {"new", "secret-of-the-new-key"}, "text", true},
         {"old", {"old", "secret-of-the-old-key"}, "text", true},
         {"old", {"new", "secret-of-the-new-key"}, "text", false},
         {"none", {"new", "secret-of-the-new-key"}, "text", false},
         {"new", {"new", "secret-of-another-fleet"}, "text", false},
         {"new", {"new", "secret-of-the-new-key"}, "other", false}}));
    const std::string signature =
        rollout::sign_transfer(row.signing_key, "text");
    const auto verified =
        rollout::verify_transfer(keys, row.key_id, signature, row.text);
    CHECK(verified.has_value() == row.authentic);
    CHECK_FALSE(rollout::verify_transfer(keys, "new", "", "text"));
}

TEST_CASE("arbitrary bytes never crash the decoders", "[rollout]")
{
    // Use the same bytes in every run.
    setenv("RC_PARAMS", "seed=4", 0);
    rc::check("random bytes", [](const std::string& bytes) {
        (void)rollout::decode_transfer(bytes);
        (void)config::parse_document(bytes);
    });
    const std::string valid = rollout::encode(
        rollout::make_transfer(old_document, 1, new_document, 2));
    rc::check("a byte changed", [&](std::size_t position, char replacement) {
        std::string bytes = valid;
        bytes[position % bytes.size()] = replacement;
        const auto decoded = rollout::decode_transfer(bytes);
        if (decoded)
            (void)apply_to(old_document, decoded.value());
    });
}
