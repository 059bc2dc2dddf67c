// The client of the store while the store comes back from an older copy and
// gives out revisions and lease ids again.
#include "metadata_store.hpp"

#include "galenarudder/http/server.hpp"
#include "galenarudder/support/base64.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace galenarudder::platform {

using nlohmann::json;
using store::indexed_value;
using store::swap_outcome;
using support::error_kind;
using support::result;

namespace {

const config::endpoint store_endpoint{"127.9.2.1", 8309};
constexpr support::milliseconds call_timeout{2000};
/// An item whose reads are answered this much later, with what it was before.
constexpr const char* late_key = "late";
constexpr support::milliseconds late_by{300};

/// A store of one key that can be restored.
struct restorable_store
{
    std::uint64_t era = 1;
    std::uint64_t revision = 10;
    std::string value;
    std::uint64_t value_revision = 0;
    std::uint64_t value_lease = 0;
    std::set<std::uint64_t> leases;
    /// Whether watches are cut.
    bool cuts_watches = false;
    /// Body of every response, if it is not empty.
    std::string body;
    /// Paths of the calls that were received.
    std::vector<std::string> paths;

    void write(std::string text, std::uint64_t lease = 0)
    {
        value = std::move(text);
        value_revision = ++revision;
        value_lease = lease;
    }
    void restore_to(std::uint64_t earlier_revision)
    {
        ++era;
        revision = earlier_revision;
        value_revision = 0;
        leases.clear();
    }
    std::size_t count_of(std::string_view path) const
    {
        return static_cast<std::size_t>(
            std::count_if(paths.begin(), paths.end(), [&](const auto& called) {
                return called.starts_with(path);
            }));
    }
    json item() const
    {
        return {{"key", "key"},
                {"value", support::base64_encode(value)},
                {"rev", value_revision},
                {"lease", value_lease}};
    }
    http::response answer(unsigned status, json body) const
    {
        body["currentRev"] = revision;
        http::response made;
        made.status = status;
        made.body = body.dump();
        made.fields = {{"Store-Era", std::to_string(era)}};
        return made;
    }
    http::response watch(const http::request& received) const
    {
        const std::uint64_t after =
            std::stoull(*received.query_parameter("after"));
        if (cuts_watches) {
            http::response cut;
            cut.close_without_answer = true;
            return cut;
        }
        if (after > revision)
            return answer(410, json::object());
        json events = json::array();
        if (value_revision > after)
            events.push_back(item());
        return answer(200, {{"events", events}});
    }
    http::response transaction(const json& body)
    {
        const json& expected = body["expected"][0];
        const json& written = body["writes"][0];
        if (expected["rev"] != value_revision)
            return answer(412, {{"items", json::array()}});
        if (written["lease"] != 0 && !leases.contains(written["lease"]))
            return answer(404, json::object());
        write(*support::base64_decode(
                  written["value"].get_ref<const std::string&>()),
              written["lease"]);
        return answer(200, {{"rev", revision}});
    }
    http::response respond(const http::request& received)
    {
        paths.push_back(received.path);
        if (!body.empty()) {
            http::response made;
            made.status = 200;
            made.body = body;
            return made;
        }
        if (received.path.ends_with("kv-key"))
            return answer(value_revision == 0 ? 404 : 200,
                          value_revision == 0 ? json::object() : item());
        if (received.path.ends_with("kv-range"))
            return answer(200, {{"items", {item()}}, {"hasMore", false}});
        if (received.path.ends_with("kv-watch"))
            return watch(received);
        if (received.path.ends_with("kv-txn"))
            return transaction(json::parse(received.body));
        if (received.path.ends_with("kv-lease")) {
            leases.insert(++revision);
            return answer(200, {{"lease", revision}, {"ttl_time", "60s"}});
        }
        const std::size_t number_begin = received.path.rfind('/') + 1;
        const std::uint64_t lease =
            std::stoull(received.path.substr(number_begin));
        return answer(leases.contains(lease) ? 200 : 404, json::object());
    }
};

/// A client and its store in one thread.
class session
{
public:
    session()
        : server_(io_,
                  [this](http::request received) {
                      return serve(std::move(received));
                  }),
          client(io_.get_executor(), io_.get_executor(), store_endpoint)
    {
        REQUIRE(server_.listen(store_endpoint));
    }

    /// Starts a call and runs it to its end.
    template <typename T, typename Start>
    result<T> call(Start start)
    {
        std::optional<result<T>> outcome;
        start(
            [&](result<T> reported) { outcome.emplace(std::move(reported)); });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }
    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto end = support::monotonic_clock::now() + 2 * call_timeout;
        while (!condition()) {
            REQUIRE(support::monotonic_clock::now() < end);
            io_.run_one_for(support::milliseconds(10));
        }
    }
    result<indexed_value> get(const std::string& key = "key")
    {
        return call<indexed_value>([&](auto done) {
            client.get(key, store::read_freshness::newest, call_timeout, done);
        });
    }
    template <typename Index>
    result<indexed_value> watch(Index known_index)
    {
        return call<indexed_value>([&](auto done) {
            client.watch("key", known_index, call_timeout, done);
        });
    }
    template <typename Index>
    result<swap_outcome>
    swap(std::string text, Index expected_index, const std::string& lease = "")
    {
        return call<swap_outcome>([&](auto done) {
            client.compare_and_swap("key", std::move(text), expected_index,
                                    lease, call_timeout, done);
        });
    }
    std::string grant()
    {
        return call<std::string>([&](auto done) {
                   client.grant_lease(support::milliseconds(60'000),
                                      call_timeout, done);
               })
            .value();
    }
    result<void> renew(const std::string& lease)
    {
        return call<void>(
            [&](auto done) { client.renew_lease(lease, call_timeout, done); });
    }

private:
    boost::asio::awaitable<http::response> serve(http::request received)
    {
        const std::string* const key = received.query_parameter("key");
        const bool late = key != nullptr && *key == late_key;
        http::response made = platform.respond(received);
        if (late) {
            boost::asio::steady_timer timer(io_, late_by);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_return made;
    }

    boost::asio::io_context io_;
    http::server server_;

public:
    restorable_store platform;
    metadata_store client;
};

} // namespace

TEST_CASE("a watch reports a change under any revision of a restored store",
          "[platform]")
{
    struct row
    {
        const char* name;
        std::uint64_t copy_revision;
        std::uint64_t writes_before;
        std::uint64_t writes_after;
    };
    // The known item has revision 21; the store was followed up to 25.
    const row rows[] = {
        {"below the known one, which exists again", 12, 2, 20},
        {"equal to the known one, which exists again", 12, 8, 20},
        {"equal to the known one, the one followed is gone", 12, 8, 0},
        {"below the known one, which is gone", 12, 2, 0},
        {"above the known one, below the one followed", 12, 10, 20},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        session setup;
        setup.platform.revision = 20;
        setup.platform.write("known");
        setup.platform.revision += 4;
        const auto known = setup.watch(decltype(indexed_value::index){});
        REQUIRE(known);
        REQUIRE(known.value().value == "known");
        setup.platform.restore_to(test_case.copy_revision);
        setup.platform.revision += test_case.writes_before;
        setup.platform.write("changed");
        setup.platform.revision += test_case.writes_after;
        const auto changed = setup.watch(known.value().index);
        REQUIRE(changed);
        CHECK(changed.value().index != known.value().index);
        CHECK(changed.value().value == "changed");
        const auto unchanged = setup.watch(changed.value().index);
        REQUIRE(unchanged);
        CHECK(unchanged.value().index == changed.value().index);
    }
}

TEST_CASE(
    "after a watch without an answer the key is read before it is watched",
    "[platform]")
{
    session setup;
    setup.platform.write("known");
    const auto known = setup.watch(decltype(indexed_value::index){});
    setup.platform.cuts_watches = true;
    REQUIRE_FALSE(setup.watch(known.value().index));
    setup.platform.restore_to(8);
    setup.platform.write("changed");
    setup.platform.revision += 20;
    const auto changed = setup.watch(known.value().index);
    REQUIRE(changed);
    CHECK(changed.value().value == "changed");
    CHECK(setup.platform.count_of("/galenarudder/kv-watch") == 1);
}

TEST_CASE("a watch reports a key that a restored store lost", "[platform]")
{
    session setup;
    setup.platform.write("known");
    const auto known = setup.watch(decltype(indexed_value::index){});
    setup.platform.restore_to(8);
    setup.platform.revision += 20;
    const auto lost = setup.watch(known.value().index);
    REQUIRE(lost);
    CHECK(lost.value().index == decltype(indexed_value::index){});
}

TEST_CASE("a swap expecting a revision of before a restore takes no effect",
          "[platform]")
{
    session setup;
    setup.platform.write("own");
    const auto read = setup.get();
    setup.platform.restore_to(10);
    setup.platform.write("of another writer");
    REQUIRE(setup.get().value().value == "of another writer");
    const auto outcome = setup.swap("own, changed", read.value().index);
    REQUIRE(outcome);
    CHECK(outcome.value() == swap_outcome::index_mismatch);
    CHECK(setup.platform.value == "of another writer");
    CHECK(setup.platform.count_of("/galenarudder/kv-txn") == 0);
}

TEST_CASE("a swap that a restored store answered is not reported as swapped",
          "[platform]")
{
    session setup;
    setup.platform.write("own");
    const auto read = setup.get();
    setup.platform.restore_to(10);
    setup.platform.write("of another writer");
    const auto outcome = setup.swap("own, changed", read.value().index);
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().kind == error_kind::store_outcome_unknown);
}

TEST_CASE("a swap that expects an absent key is sent after a restore",
          "[platform]")
{
    session setup;
    const auto absent = setup.get();
    setup.platform.restore_to(10);
    REQUIRE(setup.get());
    const auto outcome = setup.swap("first", absent.value().index);
    REQUIRE(outcome);
    CHECK(outcome.value() == swap_outcome::swapped);
}

TEST_CASE("a lease of before a restore has lapsed", "[platform]")
{
    const bool restore_known = GENERATE(true, false);
    CAPTURE(restore_known);
    session setup;
    const std::string lease = setup.grant();
    setup.platform.restore_to(10);
    setup.platform.leases.insert(++setup.platform.revision);
    setup.platform.write("of another member", setup.platform.revision);
    if (restore_known)
        REQUIRE(setup.get());
    const auto renewed = setup.renew(lease);
    REQUIRE_FALSE(renewed);
    CHECK(renewed.error().kind == error_kind::not_found);
    CHECK(setup.platform.count_of("/galenarudder/kv-keep/") ==
          (restore_known ? 0 : 1));

    const auto listed =
        setup.call<std::vector<store::listed_value>>([&](auto done) {
            setup.client.list("k", store::read_freshness::newest, call_timeout,
                              done);
        });
    REQUIRE(listed.value().size() == 1);
    CHECK(listed.value().front().item.lease != lease);

    const auto claimed =
        setup.swap("own", listed.value().front().item.index, lease);
    REQUIRE_FALSE(claimed);
    CHECK(claimed.error().kind == error_kind::not_found);
    CHECK(setup.platform.value == "of another member");

    const std::string next = setup.grant();
    CHECK(setup.renew(next));
}

TEST_CASE("a late answer of before a restore does not undo it", "[platform]")
{
    session setup;
    setup.platform.write("before");
    std::optional<result<indexed_value>> late;
    setup.client.get(late_key, store::read_freshness::newest, call_timeout,
                     [&](auto reported) { late.emplace(std::move(reported)); });
    setup.run_until([&] { return !setup.platform.paths.empty(); });
    setup.platform.restore_to(10);
    setup.platform.write("after");
    const auto read = setup.get();
    setup.run_until([&] { return late.has_value(); });
    REQUIRE(late->value().value == "before");
    CHECK(setup.swap("stale", late->value().index).value() ==
          swap_outcome::index_mismatch);
    CHECK(setup.swap("changed", read.value().index).value() ==
          swap_outcome::swapped);
    CHECK(setup.platform.value == "changed");
}

TEST_CASE("a malformed answer of the store is an error", "[platform]")
{
    constexpr std::size_t depth = 200'000;
    std::string nested_items;
    std::string nested_arrays;
    for (std::size_t level = 0; level < depth; ++level) {
        nested_items += R"({"items":[)";
        nested_arrays += '[';
    }
    const std::string item =
        R"("key":"k","rev":7,"lease":0,"currentRev":9,"value":"aGVsbG8=")";
    const std::string bodies[] = {
        "{",
        "[]",
        "null",
        "{" + item,
        "{" + item + ",}",
        R"({"key":"k","rev":7,"value":7})",
        R"({"key":"k","rev":7,"value":"not base64"})",
        R"({"key":"k","rev":7,"value":"aGVsbG8=)",
        R"({"key":"k","rev":"7","value":"aGVsbG8="})",
        R"({"items":7,"hasMore":false})",
        R"({"items":[7],"hasMore":false})",
        R"({"items":[{"rev":1}],"hasMore":false})",
        R"({"events":[{],"currentRev":9})",
        nested_items,
        nested_arrays,
        "{\"events\":" + nested_arrays,
    };
    for (const std::string& body : bodies) {
        INFO(body.substr(0, 60));
        session setup;
        setup.platform.body = body;
        CHECK_FALSE(setup.get());
        CHECK_FALSE(
            setup.call<std::vector<store::listed_value>>([&](auto done) {
                setup.client.list("k", store::read_freshness::newest,
                                  call_timeout, done);
            }));
        CHECK_FALSE(setup.watch(store::change_index{3}));
    }
    session setup;
    setup.platform.body = "{" + item + "}";
    CHECK(setup.get().value().value == "hello");
    setup.platform.body =
        R"({"key":"k","rev":7,"currentRev":9,"value":"\u0061GVsbG8="})";
    CHECK(setup.get().value().value == "hello");
}

} // namespace galenarudder::platform
