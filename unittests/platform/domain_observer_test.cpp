// The watch of the configuration also reports emptied domains, without calls of
// its own.
#include "metadata_store.hpp"

#include "galenarudder/http/server.hpp"
#include "galenarudder/support/base64.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>

namespace galenarudder::platform {

using nlohmann::json;
using store::change_index;
using store::indexed_value;

namespace {

const config::endpoint store_endpoint{"127.9.2.3", 8309};
constexpr support::milliseconds call_timeout{2000};

/// A store that answers watches at once.
struct fake_store
{
    std::uint64_t era = 1;
    std::uint64_t revision = 10;
    std::uint64_t oldest_event = 0;
    std::map<std::string, json> items;
    std::vector<json> log;
    /// Path and prefix or key of each call.
    std::vector<std::string> calls;

    void put(const std::string& key)
    {
        items[key] = {{"key", key},
                      {"value", support::base64_encode("{}")},
                      {"rev", ++revision},
                      {"lease", 0}};
        log.push_back(items[key]);
    }
    void remove(const std::string& key)
    {
        items.erase(key);
        log.push_back({{"key", key}, {"rev", ++revision}, {"deleted", true}});
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
    http::response respond(const http::request& received)
    {
        const std::string path =
            received.path.substr(std::string_view("/galenarudder/").size());
        if (path == "kv-key") {
            const std::string& key = *received.query_parameter("key");
            calls.push_back(path + " " + key);
            const auto found = items.find(key);
            return found == items.end() ? answer(404, json::object())
                                        : answer(200, found->second);
        }
        const std::string& prefix = *received.query_parameter("prefix");
        calls.push_back(path + " " + prefix);
        if (path == "kv-range") {
            json listed = json::array();
            for (const auto& [key, item] : items) {
                if (key.starts_with(prefix))
                    listed.push_back(item);
            }
            return answer(200, {{"items", listed}, {"hasMore", false}});
        }
        const std::uint64_t after =
            std::stoull(*received.query_parameter("after"));
        if (after < oldest_event || after > revision)
            return answer(410, json::object());
        json events = json::array();
        for (const json& event : log) {
            if (event["rev"] > after &&
                event["key"].get<std::string>().starts_with(prefix))
                events.push_back(event);
        }
        return answer(200, {{"events", events}});
    }
};

class session
{
public:
    explicit session(bool observes)
        : observes_(observes),
          server_(
              io_,
              [this](http::request received)
                  -> boost::asio::awaitable<http::response> {
                  const bool hangs = hanging_lists > 0 &&
                                     received.path == "/galenarudder/kv-range";
                  http::response made = platform.respond(received);
                  if (hangs) {
                      --hanging_lists;
                      boost::asio::steady_timer timer(io_, 10 * call_timeout);
                      co_await timer.async_wait(boost::asio::use_awaitable);
                  }
                  co_return made;
              }),
          client(io_.get_executor(), io_.get_executor(), store_endpoint)
    {
        REQUIRE(server_.listen(store_endpoint));
        if (!observes)
            return;
        store::domain_observer observer;
        observer.on_reading = [this](const auto& emptied, const auto& read_at) {
            std::string text =
                "read at " + std::to_string(read_at.number) + ":";
            for (const store::emptied_domain_key& key : emptied)
                text +=
                    " " + key.domain + "@" + std::to_string(key.index.number);
            seen.push_back(text);
        };
        observer.on_change = [this](const std::string& domain, bool emptied,
                                    const change_index& index) {
            seen.push_back(domain + (emptied ? " emptied " : " restored ") +
                           std::to_string(index.number));
        };
        client.observe_domains(std::move(observer));
    }

    template <typename Start>
    support::result<indexed_value> call(Start start)
    {
        std::optional<support::result<indexed_value>> outcome;
        start([&](support::result<indexed_value> reported) {
            outcome.emplace(std::move(reported));
        });
        const auto end = support::monotonic_clock::now() + 2 * call_timeout;
        while (!outcome) {
            REQUIRE(support::monotonic_clock::now() < end);
            io_.run_one_for(support::milliseconds(10));
        }
        return *outcome;
    }
    /// Returns the configuration's index, and waits until the domains were
    /// reported, too, which the configuration must not wait for.
    change_index
    get(store::read_freshness freshness = store::read_freshness::newest)
    {
        const std::size_t seen_before = seen.size();
        const change_index known = get_only(freshness);
        const auto end = support::monotonic_clock::now() + call_timeout;
        while (observes_ && seen.size() == seen_before) {
            REQUIRE(support::monotonic_clock::now() < end);
            io_.run_one_for(support::milliseconds(10));
        }
        return known;
    }
    change_index
    get_only(store::read_freshness freshness = store::read_freshness::newest)
    {
        return call([&](auto done) {
                   client.get(store::configuration_key, freshness, call_timeout,
                              done);
               })
            .value()
            .index;
    }
    change_index watch(const change_index& known)
    {
        return call([&](auto done) {
                   client.watch(store::configuration_key, known, call_timeout,
                                done);
               })
            .value()
            .index;
    }

private:
    bool observes_;
    boost::asio::io_context io_;
    http::server server_;

public:
    fake_store platform;
    metadata_store client;
    std::vector<std::string> seen;
    /// Lists of the domains that get no answer.
    unsigned hanging_lists = 0;
};

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("without an observer the same calls are made as before", "[platform]")
{
    session setup(false);
    setup.platform.put("op/config");
    const change_index known = setup.get();
    setup.watch(known);
    CHECK(setup.platform.calls ==
          texts{"kv-key op/config", "kv-watch op/config"});
}

TEST_CASE("one watch serves the configuration and the domains", "[platform]")
{
    session setup(true);
    setup.platform.put("op/config");
    setup.platform.put("op/evacuate/north");
    const change_index known = setup.get();
    CHECK(setup.seen == texts{"read at 12: north@12"});
    setup.platform.put("op/evacuate/south");
    setup.platform.remove("op/evacuate/north");
    CHECK(setup.watch(known) == known);
    CHECK(setup.seen == texts{"read at 12: north@12", "south emptied 13",
                              "north restored 14"});
    setup.platform.put("op/config");
    CHECK(setup.watch(known).number == 15);
    CHECK(setup.platform.calls == texts{"kv-key op/config",
                                        "kv-range op/evacuate/", "kv-watch op/",
                                        "kv-watch op/"});
}

// Guards against a configuration that waits for a list of the domains which the
// store does not answer.
TEST_CASE("a hanging list of domains delays neither the configuration nor its "
          "watch",
          "[platform]")
{
    session setup(true);
    setup.hanging_lists = 1;
    setup.platform.put("op/config");
    setup.platform.put("op/evacuate/north");
    const auto begin = support::monotonic_clock::now();
    const change_index known = setup.get_only();
    setup.platform.put("op/config");
    CHECK(setup.watch(known).number == 13);
    CHECK(support::monotonic_clock::now() - begin < support::milliseconds(500));
    CHECK(setup.seen.empty());
    CHECK(setup.platform.calls ==
          texts{"kv-key op/config", "kv-range op/evacuate/", "kv-watch op/"});
    // The list times out; the next watch reads it again.
    change_index next = known;
    while (setup.seen.empty() &&
           support::monotonic_clock::now() - begin < 3 * call_timeout)
        next = setup.watch(next);
    CHECK(setup.seen.front() == "read at 13: north@12");
}

TEST_CASE("domains that changed in a lost part of the history are read again",
          "[platform]")
{
    const bool restored = GENERATE(false, true);
    session setup(true);
    setup.platform.put("op/config");
    setup.platform.put("op/evacuate/north");
    const change_index known = setup.get();
    setup.platform.remove("op/evacuate/north");
    if (restored) {
        ++setup.platform.era;
        setup.platform.revision = 11;
        setup.platform.log.clear();
    } else {
        setup.platform.oldest_event = setup.platform.revision;
    }
    setup.watch(setup.watch(known));
    CHECK(setup.seen.back() ==
          "read at " + std::to_string(setup.platform.revision) + ":");
}

TEST_CASE("a read that may be stale reports the domains of that read",
          "[platform]")
{
    session setup(true);
    setup.platform.put("op/config");
    setup.get(store::read_freshness::may_be_stale);
    CHECK(setup.seen == texts{"read at 11:"});
}

} // namespace galenarudder::platform
