// Every reader of JSON reports texts that are no JSON, numbers out of range,
// deep nesting and values of the wrong type. Before, a number out of range or
// deep nesting could end the process. The readers of galenarudder-replay are
// tested in unit_replay.
#include "invalid_json.hpp"

#include "../../platform/check_in_port.hpp"
#include "../../platform/metadata_store.hpp"
#include "../../platform/operator_configuration.hpp"

#include "galenarudder/config/check.hpp"
#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/config/shared_document.hpp"
#include "galenarudder/daemon/announcement_port.hpp"
#include "galenarudder/http/problem.hpp"
#include "galenarudder/http/server.hpp"
#include "galenarudder/membership/introducer_directory.hpp"
#include "galenarudder/once/claim_shard.hpp"
#include "galenarudder/operators/commands.hpp"
#include "galenarudder/rollout/shared_patch.hpp"
#include "galenarudder/rollout/transfer.hpp"
#include "galenarudder/store/consul_store.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <sstream>
#include <thread>

using namespace galenarudder;

namespace {

constexpr const char* base_text =
    R"({"format": "galenarudder-base-1", "ranks": [{"name": "@"}],)"
    R"( "services": []})";

constexpr const char* stored_text =
    R"({"format": "galenarudder-configuration-1", "version": 1,)"
    R"( "change_id": "c", "author": "a", "note": "@", "overlays": {},)"
    R"( "base": {"format": "galenarudder-base-1", "services": []}})";

constexpr const char* operators_text =
    R"({"version": 7, "routes": {"columns": [], "rows": []},)"
    R"( "services": {"columns": ["name"], "rows": [["@"]]}})";

/// Returns the error, or nothing if the text was accepted.
using reader = std::optional<std::string> (*)(const std::string& text);

template <typename Result>
std::optional<std::string> error_of(const Result& read)
{
    return read ? std::nullopt : std::optional(describe(read.error()));
}

/// For readers that only tell whether they could read the text.
template <typename Value>
std::optional<std::string> no_value(const std::optional<Value>& read)
{
    return read ? std::nullopt : std::optional<std::string>("");
}

struct text_reader
{
    const char* name;
    reader read;
    std::string valid;
    /// Whether errors name the line. Readers that only tell whether they could
    /// read the text are followed by one that does.
    bool locates = true;
    std::string wrong_type = "7";
};

std::vector<text_reader> text_readers()
{
    return {
        {"stored configuration",
         [](const std::string& text) {
             return error_of(config::parse_document(text));
         },
         stored_text},
        {"shared document",
         [](const std::string& text) {
             return no_value(config::read_shared(text, nullptr));
         },
         stored_text, false},
        {"base document",
         [](const std::string& text) {
             return error_of(config::parse_base(text, "base.json"));
         },
         base_text},
        {"overlay",
         [](const std::string& text) {
             return error_of(config::parse_overlay(text, "east.json"));
         },
         R"({"format": "galenarudder-overlay-1", "site": "@"})"},
        {"settings",
         [](const std::string& text) {
             return error_of(config::parse_settings(text, "settings.json"));
         },
         R"({"member": "@", "domain": "sofia-a"})"},
        {"announcement",
         [](const std::string& text) {
             return error_of(daemon::parse_announcement(text));
         },
         R"({"service": "@", "address": "127.0.0.1:8080", "slots": 9,)"
         R"( "connections": 260})"},
        {"check-in",
         [](const std::string& text) {
             return error_of(platform::parse_check_in("i-1", text));
         },
         R"({"service": "@", "address": "10.1.0.8:8301"})"},
        {"departure",
         [](const std::string& text) {
             // An empty body is a valid departure.
             return error_of(
                 platform::parse_departure(text.empty() ? "-" : text));
         },
         R"({"born": "@"})", true, "\"7\""},
        {"operators' configuration",
         [](const std::string& text) {
             return error_of(platform::translate_configuration(text));
         },
         operators_text},
        {"operators' configuration, shared",
         [](const std::string& text) {
             return no_value(platform::translate_shared(text, nullptr));
         },
         operators_text, false},
        {"transfer",
         [](const std::string& text) {
             return error_of(rollout::decode_transfer(text));
         },
         R"({"from": {"version": 1, "hash": "@"},)"
         R"( "to": {"version": 2, "hash": "b"}})"},
        {"patch",
         [](const std::string& text) {
             return error_of(
                 rollout::apply_patch(nlohmann::json::object(), {},
                                      rollout::transfer{{}, {}, text}));
         },
         R"([{"op": "@", "path": "/a", "value": 1}])"},
        {"patch of a shared document",
         [](const std::string& text) {
             return no_value(rollout::apply_shared({}, text));
         },
         R"([{"op": "@", "path": "/note", "value": ""}])", false},
        {"introducer",
         [](const std::string& text) {
             return error_of(membership::parse_introducer(text));
         },
         R"({"member": "@", "gossip": "127.0.0.1:7103"})"},
    };
}

/// Answers every request with one body.
class canned_server
{
public:
    canned_server()
        : server_(io,
                  [this](const http::request&)
                      -> boost::asio::awaitable<http::response> {
                      http::response made;
                      made.body = body;
                      co_return made;
                  })
    {
        REQUIRE(server_.listen(address));
    }

    const config::endpoint address{"127.44.18.1", 7718};
    boost::asio::io_context io;
    std::string body;

private:
    http::server server_;
};

constexpr support::milliseconds call_timeout{2000};

/// Starts a call of a store and returns its error.
template <typename T, typename Store, typename Start>
std::optional<std::string> error_of_call(canned_server& server, Start start)
{
    Store store(server.io.get_executor(), server.io.get_executor(),
                server.address);
    std::optional<support::result<T>> outcome;
    start(store, [&](support::result<T> reported) {
        outcome.emplace(std::move(reported));
    });
    const auto end = support::monotonic_clock::now() + 2 * call_timeout;
    while (!outcome) {
        REQUIRE(support::monotonic_clock::now() < end);
        server.io.run_one_for(support::milliseconds(10));
    }
    return error_of(*outcome);
}

template <typename Store>
std::optional<std::string> error_of_get(canned_server& server)
{
    return error_of_call<store::indexed_value, Store>(server, [](Store& client,
                                                                 auto done) {
        client.get("key", store::read_freshness::newest, call_timeout, done);
    });
}

template <typename Store>
std::optional<std::string> error_of_list(canned_server& server)
{
    return error_of_call<std::vector<store::listed_value>, Store>(
        server, [](Store& client, auto done) {
            client.list("prefix", store::read_freshness::newest, call_timeout,
                        done);
        });
}

template <typename Store>
std::optional<std::string> error_of_grant(canned_server& server)
{
    return error_of_call<std::string, Store>(
        server, [](Store& client, auto done) {
            client.grant_lease(call_timeout, call_timeout, done);
        });
}

/// Runs a command of galenarudderctl and returns what it reports.
template <const char* const& Command>
std::optional<std::string> error_of_command(canned_server& server)
{
    operators::options flags;
    flags.daemon = to_string(server.address);
    flags.daemon_given = true;
    flags.timeout = call_timeout;
    std::ostringstream out;
    std::ostringstream err;
    std::thread daemon(
        [&] { server.io.run_for(support::milliseconds(60'000)); });
    const auto code = operators::run_command(Command, flags, {out, err});
    server.io.stop();
    daemon.join();
    server.io.restart();
    return code == operators::exit_code::done ? std::nullopt
                                              : std::optional(err.str());
}

constexpr const char* status_command = "status";
constexpr const char* members_command = "members";
constexpr const char* decisions_command = "decisions";

struct response_reader
{
    const char* name;
    std::optional<std::string> (*read)(canned_server& server);
    std::string valid;
    std::string wrong_type = "7";
    /// Name of the form that is refused without being parsed as JSON, so that
    /// its error names no line.
    std::string not_parsed;
};

std::vector<response_reader> response_readers()
{
    using consul = store::consul_store;
    using metadata = platform::metadata_store;
    return {
        {"consul value", error_of_get<consul>,
         R"([{"Key": "key", "Value": "@", "ModifyIndex": 3}])"},
        {"consul list", error_of_list<consul>,
         R"([{"Key": "@", "Value": null, "ModifyIndex": 3}])"},
        {"consul lease", error_of_grant<consul>, R"({"ID": "@"})"},
        {"platform's item", error_of_get<metadata>,
         R"({"key": "key", "value": "@", "rev": 3})", "7", "invalid UTF-8"},
        {"platform's page", error_of_list<metadata>,
         R"({"items": [{"key": "@", "value": "YQ==", "rev": 3}],)"
         R"( "hasMore": false})"},
        {"platform's lease", error_of_grant<metadata>, R"({"lease": "@"})",
         "\"7\""},
        {"status", error_of_command<status_command>, R"([{"state": "@"}])"},
        {"members", error_of_command<members_command>, R"([{"id": "@"}])"},
        {"decisions", error_of_command<decisions_command>,
         R"({"counts": [{"automation": "@"}]})"},
    };
}

void check_error(const std::optional<std::string>& failure,
                 const test::invalid_json& invalid,
                 bool locates)
{
    REQUIRE(failure);
    if (locates && invalid.is_syntax)
        CHECK_THAT(*failure, Catch::Contains("line 1, column "));
}

} // namespace

TEST_CASE("readers of texts report invalid JSON")
{
    for (const text_reader& row : text_readers()) {
        for (const auto& invalid :
             test::invalid_forms(row.valid, row.wrong_type)) {
            CAPTURE(row.name, invalid.name);
            check_error(row.read(invalid.text), invalid, row.locates);
        }
    }
}

TEST_CASE("readers of responses report invalid JSON")
{
    canned_server server;
    for (const response_reader& row : response_readers()) {
        for (const auto& invalid :
             test::invalid_forms(row.valid, row.wrong_type)) {
            CAPTURE(row.name, invalid.name);
            server.body = invalid.text;
            check_error(row.read(server), invalid,
                        invalid.name != row.not_parsed);
        }
    }
}

// The library's parser of CBOR is recursive and exhausted the stack.
TEST_CASE("a shard of claims that is invalid CBOR is an error")
{
    constexpr std::size_t levels = 200'000;
    const char* const array_of_2_to_the_60 = "\x9b\x10\0\0\0\0\0\0\0";
    const std::string texts[] = {std::string(levels, '\x81'),
                                 std::string(array_of_2_to_the_60, 9), "\xa1",
                                 "\x07"};
    for (const std::string& text : texts)
        CHECK_FALSE(once::claim_shard::decode(text));
}

// The detail quotes the path of a request, which may be any bytes.
TEST_CASE("problem documents are written for texts that are not UTF-8")
{
    const auto response = http::problem_response(
        404, {support::error_kind::not_found, "GET /\xff", "none"});
    CHECK(nlohmann::json::accept(response.body));
}

// Time spans overflowed the clock's range.
TEST_CASE("time spans that are no finite number of years are errors")
{
    for (const char* text : {"infs", "nans", "1e999s", "1e17ms", "-1s"})
        CHECK_FALSE(config::parse_duration(text));
    CHECK(config::parse_duration("2.5s").value() ==
          support::milliseconds(2500));
}
