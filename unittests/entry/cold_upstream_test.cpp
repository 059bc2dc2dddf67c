// gate_runtime against an upstream on loopback that becomes cold without saying
// so in its announcements.
#include "galenarudder/http/server.hpp"
#include "galenarudder/proxy/gate_runtime.hpp"
#include "galenarudder/proxy/http_fields.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace galenarudder::proxy {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using support::monotonic_clock;

const config::endpoint upstream_endpoint{"127.2.2.203", 8301};
constexpr double cold_calls_per_s = 10;

std::optional<upstream_load> read_load(const support::response_head& response)
{
    const std::string_view text = find_field(response.fields, "Cold-Ms");
    if (text.empty())
        return std::nullopt;
    long remaining_ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), remaining_ms);
    upstream_load load;
    load.cold = support::milliseconds(remaining_ms);
    return load;
}

http_dialect make_dialect(bool has_instances)
{
    http_dialect dialect = product_dialect();
    dialect.read_load = read_load;
    if (has_instances)
        dialect.instance = "Instance-Id";
    return dialect;
}

/// An upstream and its gate, with 40 calls a second. Without a limit the gate
/// has no configuration.
class fixture
{
public:
    explicit fixture(std::optional<double> limit, bool has_instances = false)
        : dialect_(make_dialect(has_instances)),
          server_(io_,
                  [this](http::request received)
                      -> asio::awaitable<http::response> {
                      http::response made = respond(received);
                      asio::steady_timer timer(io_, call_time);
                      if (received.path != "/healthz")
                          co_await timer.async_wait(asio::use_awaitable);
                      co_return made;
                  }),
          gate(io_,
               limit ? configuration(*limit)
                     : std::make_shared<const config::configuration>(
                           config::default_configuration()),
               dialect_)
    {
        REQUIRE(server_.listen(upstream_endpoint));
        gate.set_upstream(properties());
    }

    upstream_properties properties() const
    {
        upstream_properties upstream;
        upstream.endpoint = upstream_endpoint;
        upstream.service = "alpha";
        upstream.slots = 6;
        upstream.max_connections = 20;
        upstream.probe_path = "/healthz";
        upstream.instance = instance;
        return upstream;
    }

    void run(support::duration span)
    {
        const auto end = monotonic_clock::now() + span;
        auto next_call = monotonic_clock::now();
        while (monotonic_clock::now() < end) {
            for (; next_call <= monotonic_clock::now(); next_call += 25ms)
                submit();
            io_.restart();
            io_.run_one_for(5ms);
        }
    }

    /// Calls that reached the upstream from \p begin on.
    std::size_t calls_since(support::time_point begin) const
    {
        return static_cast<std::size_t>(
            calls.end() - std::lower_bound(calls.begin(), calls.end(), begin));
    }

    static std::shared_ptr<const config::configuration>
    configuration(double limit)
    {
        config::configuration in_force = config::default_configuration();
        config::service_policy service;
        service.name = "alpha";
        service.cold_calls_per_s = limit;
        in_force.services.push_back(service);
        return std::make_shared<const config::configuration>(in_force);
    }

private:
    http::response respond(const http::request& received)
    {
        http::response made;
        const bool is_probe = received.path == "/healthz";
        (is_probe ? probes : calls).push_back(monotonic_clock::now());
        made.close_without_answer = is_probe && closes_probes;
        made.fields = {{"Instance-Id", answering.value_or(instance)}};
        if (!is_probe && !states_cold_in_calls)
            return made;
        const auto remaining =
            std::max(cold_until - monotonic_clock::now(), support::duration(0));
        const auto remaining_ms =
            std::chrono::duration_cast<support::milliseconds>(remaining);
        made.fields.push_back(
            {"Cold-Ms", std::to_string(remaining_ms.count())});
        return made;
    }
    void submit()
    {
        support::call_head head;
        head.id = static_cast<support::attempt_id>(++last_id_);
        head.service = "alpha";
        head.rank = "urgent";
        head.method = "GET";
        head.target = "/";
        head.content_length = 0;
        head.remaining_time = 400ms;
        auto exchange = std::make_shared<link::exchange>(std::move(head),
                                                         io_.get_executor());
        exchange->deliver = [](const link::exchange_event&) {};
        gate.submit_from(1, exchange);
    }

    http_dialect dialect_;
    asio::io_context io_{1};
    http::server server_;
    std::uint64_t last_id_ = 0;

public:
    std::string instance = "first";
    /// The instance that responses name, if it is another.
    std::optional<std::string> answering;
    support::milliseconds call_time{0};
    bool closes_probes = false;
    bool states_cold_in_calls = false;
    std::vector<support::time_point> calls;
    std::vector<support::time_point> probes;
    support::time_point cold_until;
    gate_runtime gate;
};

} // namespace

TEST_CASE("an upstream that becomes cold between check-ins is not overrun")
{
    fixture given(cold_calls_per_s);
    given.run(1500ms);
    CHECK(given.calls.size() > 40);
    const auto cold_since = monotonic_clock::now();
    given.cold_until = cold_since + 10s;
    // A check-in that was sent before says that it is not cold.
    given.gate.set_upstream(given.properties());
    given.run(3s);
    // The tolerance of the users' rules, for the first second of it.
    CHECK(given.calls_since(cold_since) - given.calls_since(cold_since + 1s) <=
          1.5 * cold_calls_per_s + 8);
    CHECK(given.calls_since(monotonic_clock::now() - 1s) <=
          cold_calls_per_s + 1);
    CHECK(given.calls_since(monotonic_clock::now() - 1s) >=
          cold_calls_per_s - 3);
    CHECK(given.probes.size() <= 9);
}

// Guards against a late response of the process before, which limited the
// present one, and against one that another process at the address sent.
TEST_CASE("a cold time counts only for the instance that stated it")
{
    // So low that a cold gate starts nothing within the time of the check, and
    // asks nothing, which would end the cold time.
    fixture given(1, true);
    given.run(100ms);
    given.states_cold_in_calls = true;
    const auto cold_until = monotonic_clock::now() + 10s;
    SECTION("a response that arrives after another instance has checked in")
    {
        given.cold_until = cold_until;
        given.call_time = 300ms;
        given.run(150ms);
        given.states_cold_in_calls = false;
        given.cold_until = {};
        given.call_time = 0ms;
        given.instance = "second";
        given.gate.set_upstream(given.properties());
    }
    SECTION("a response of the process before to a call for the present one")
    {
        given.answering = "earlier";
        given.cold_until = cold_until;
        given.run(150ms);
        given.answering.reset();
        given.states_cold_in_calls = false;
        given.cold_until = {};
    }
    given.run(350ms);
    const auto begin = monotonic_clock::now();
    given.run(400ms);
    CHECK(given.calls_since(begin) > 8);
}

// Guards against the full rate for an upstream that has just started and does
// not answer the query whether it is cold.
TEST_CASE("after a failed query an upstream that has just started gets its "
          "cold rate until it states its state")
{
    fixture given(cold_calls_per_s);
    given.run(100ms);
    given.closes_probes = true;
    given.run(2500ms);
    CHECK(given.calls_since(monotonic_clock::now() - 1s) <=
          cold_calls_per_s + 1);
    given.closes_probes = false;
    given.run(1500ms);
    CHECK(given.calls_since(monotonic_clock::now() - 1s) > 30);
}

// Guards against the full rate of other daemons' entries at a cold upstream
// whose daemon was restarted and does not know the cold rate yet.
TEST_CASE("a gate without a configuration opens once it has one, or after 5 s")
{
    fixture given(std::nullopt, true);
    const auto begin = monotonic_clock::now();
    given.cold_until = begin + 10s;
    const auto announce = [&](unsigned count) {
        for (unsigned sent = 0; sent < count; ++sent) {
            given.run(250ms);
            given.gate.set_upstream(given.properties());
        }
    };
    announce(6);
    CHECK(given.calls.empty());
    SECTION("a configuration comes into force")
    {
        given.gate.configure(fixture::configuration(cold_calls_per_s));
        given.run(2s);
        CHECK(given.calls.size() > cold_calls_per_s);
        CHECK(given.calls_since(monotonic_clock::now() - 1s) <=
              cold_calls_per_s + 1);
        CHECK(given.calls.size() <= 2 * cold_calls_per_s + 3);
    }
    SECTION("none comes")
    {
        announce(18);
        REQUIRE(!given.calls.empty());
        CHECK(given.calls.front() - begin > 5s);
    }
}

TEST_CASE("without a cold limit the health path is not queried for it")
{
    fixture given(0);
    given.run(1s);
    CHECK(given.probes.empty());
}

TEST_CASE("the gate of an emptied domain sends neither calls nor probes")
{
    fixture given(cold_calls_per_s);
    given.gate.set_emptied(true);
    given.run(1s);
    CHECK(given.calls.empty());
    CHECK(given.probes.empty());
    given.gate.set_emptied(false);
    given.run(500ms);
    CHECK(given.calls.size() > 10);
}

} // namespace galenarudder::proxy
