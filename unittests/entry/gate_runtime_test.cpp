// gate_runtime delivers refusals and completes drains.
#include "galenarudder/proxy/gate_runtime.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <optional>

namespace galenarudder::proxy {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using support::refusal_kind;

constexpr const char* upstream_address = "127.2.2.201";

/// An upstream that accepts connections and never responds.
struct silent_upstream
{
    explicit silent_upstream(asio::io_context& io)
        : acceptor(io,
                   tcp::endpoint(asio::ip::make_address(upstream_address), 0))
    {
    }

    config::endpoint endpoint() const
    {
        return {upstream_address, acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
};

struct fixture
{
    fixture()
        : upstream(io), gate(io,
                             std::make_shared<const config::configuration>(
                                 config::default_configuration()))
    {
    }

    link::exchange_ptr submit(std::uint64_t id,
                              bool repeatable,
                              std::uint64_t link = 0,
                              std::string service = {},
                              unsigned depth = 1)
    {
        support::call_head head;
        head.depth = depth;
        head.service = std::move(service);
        head.id = static_cast<support::attempt_id>(id);
        head.rank = "urgent";
        head.method = "GET";
        head.target = "/";
        head.content_length = 0;
        head.remaining_time = support::milliseconds(30'000);
        head.repeatable = repeatable;
        auto exchange = std::make_shared<link::exchange>(std::move(head),
                                                         io.get_executor());
        exchange->deliver = [this, id](link::exchange_event event) {
            refusals[id] = std::get<link::refused>(event).refusal;
            reported_limits[id] = std::get<link::refused>(event).load.limit;
        };
        gate.submit_from(link, exchange);
        return exchange;
    }

    template <typename Condition>
    bool run_until(Condition condition,
                   support::duration timeout = std::chrono::seconds(10))
    {
        const auto end = support::monotonic_clock::now() + timeout;
        while (!condition() && support::monotonic_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    asio::io_context io{1};
    silent_upstream upstream;
    std::map<std::uint64_t, support::refusal> refusals;
    std::map<std::uint64_t, std::uint32_t> reported_limits;
    gate_runtime gate;
};

upstream_properties properties_of(const config::endpoint& endpoint,
                                  std::string service = {})
{
    upstream_properties properties;
    properties.service = std::move(service);
    properties.endpoint = endpoint;
    properties.slots = 1;
    properties.max_connections = 10;
    return properties;
}

} // namespace

// Guards against a call that may not run twice and is sent although its caller
// left while it waited for a connection.
TEST_CASE("a canceled call that waits for a connection is not sent")
{
    fixture given;
    upstream_properties properties = properties_of(given.upstream.endpoint());
    properties.slots = 2;
    properties.max_connections = 1;
    given.gate.set_upstream(properties);
    given.submit(1, false);
    constexpr std::uint64_t link_number = 7;
    const bool link_closes = GENERATE(false, true);
    CAPTURE(link_closes);
    const link::exchange_ptr waiting = given.submit(2, false, link_number);
    REQUIRE(given.run_until([&] { return given.gate.running() == 2; }));
    if (link_closes)
        given.gate.link_closed(link_number);
    else
        given.gate.cancel_from(link_number, waiting->head.id);
    REQUIRE(given.run_until([&] { return !given.refusals.empty(); }));
    CHECK(given.refusals[2].kind == refusal_kind::canceled);
    CHECK(given.refusals[2].outcome == support::run_outcome::not_run);
    CHECK(given.run_until([&] { return given.gate.running() == 1; }));
}

TEST_CASE("without an upstream a call is refused as not run")
{
    fixture given;
    given.submit(1, false);
    REQUIRE(given.run_until([&] { return !given.refusals.empty(); }));
    CHECK(given.refusals[1].kind == refusal_kind::no_upstream);
    CHECK(given.refusals[1].outcome == support::run_outcome::not_run);
}

// Guards against calls that an upstream of another service runs: entries learn
// late that an address was given to it.
TEST_CASE("a call for another service than the upstream's is refused as not "
          "run, without a load report")
{
    fixture given;
    given.gate.set_upstream(properties_of(given.upstream.endpoint(), "alpha"));
    given.submit(1, true, 0, "alpha");
    given.submit(2, true, 0, "alpha");
    given.gate.set_upstream(properties_of(given.upstream.endpoint(), "gamma"));
    for (const std::uint64_t link : {0, 7}) {
        const std::uint64_t id = 3 + link;
        given.submit(id, false, link, "alpha");
        REQUIRE(given.run_until([&] { return given.refusals.count(id) != 0; }));
        CHECK(given.refusals[id].kind == refusal_kind::no_upstream);
        CHECK(given.refusals[id].outcome == support::run_outcome::not_run);
        CHECK(given.reported_limits[id] == 0);
    }
    // The call that waited for the earlier upstream does not start either.
    CHECK(given.refusals[2].kind == refusal_kind::no_upstream);
    CHECK(given.refusals.count(1) == 0);
    given.submit(20, true, 0, "gamma");
    CHECK_FALSE(given.run_until([&] { return given.refusals.count(20) != 0; },
                                std::chrono::milliseconds(50)));
}

// Guards against connections, each of which is billed, to an upstream that gets
// no calls.
TEST_CASE("no connections are opened in advance in an emptied domain")
{
    fixture given;
    given.upstream.acceptor.non_blocking(true);
    std::size_t accepted_count = 0;
    const auto accepts = [&] {
        boost::system::error_code failure;
        tcp::socket accepted(given.io);
        given.upstream.acceptor.accept(accepted, failure);
        accepted_count += failure ? 0 : 1;
        return accepted_count != 0;
    };
    given.gate.set_emptied(true);
    given.gate.set_upstream(properties_of(given.upstream.endpoint(), "alpha"));
    CHECK_FALSE(given.run_until(accepts, std::chrono::milliseconds(200)));
    given.gate.set_emptied(false);
    CHECK(given.run_until(accepts));
}

// Guards against parents that hold slots while their nested calls wait behind
// new ones, and against another order where there are no organisations.
TEST_CASE("a nested call starts before an earlier new one if there are "
          "organisations")
{
    const bool has_organisations = GENERATE(true, false);
    config::configuration in_force = config::default_configuration();
    if (has_organisations) {
        in_force.organisations.push_back(
            std::make_shared<const config::organisation_policy>());
    }
    fixture given;
    given.gate.configure(
        std::make_shared<const config::configuration>(in_force));
    given.gate.set_upstream(properties_of(given.upstream.endpoint()));
    const auto first = given.submit(1, true);
    const auto fresh = given.submit(2, true);
    const auto nested = given.submit(3, true, 0, {}, 2);
    given.gate.cancel(first);
    REQUIRE(given.run_until([&] { return given.refusals.count(1) != 0; }));
    given.gate.cancel(fresh);
    given.gate.cancel(nested);
    REQUIRE(given.run_until([&] { return given.refusals.size() == 3; }));
    const bool nested_started =
        given.refusals[3].outcome == support::run_outcome::unknown;
    const bool fresh_started =
        given.refusals[2].outcome == support::run_outcome::unknown;
    CHECK(nested_started == has_organisations);
    CHECK(fresh_started == !has_organisations);
}

TEST_CASE("a drain refuses waiting calls and ends when the running call ends")
{
    fixture given;
    given.gate.set_upstream(properties_of(given.upstream.endpoint()));
    const auto running = given.submit(1, true);
    given.submit(2, true);
    bool drained = false;
    given.gate.drain([&] { drained = true; });
    REQUIRE(given.run_until([&] { return given.refusals.count(2); }));
    CHECK(given.refusals[2].kind == refusal_kind::draining);
    CHECK_FALSE(drained);
    given.gate.cancel(running);
    REQUIRE(given.run_until([&] { return drained; }));
    CHECK(given.refusals[1].kind == refusal_kind::canceled);
}

TEST_CASE("a drain ends at once if no call is running")
{
    fixture given;
    bool drained = false;
    given.gate.drain([&] { drained = true; });
    CHECK(given.run_until([&] { return drained; }));
}

TEST_CASE("when a link closes, its waiting calls are refused and its running "
          "repeatable calls aborted")
{
    fixture given;
    given.gate.set_upstream(properties_of(given.upstream.endpoint()));
    given.submit(1, true, 7);
    given.submit(2, true, 7);
    given.submit(3, true, 8);
    given.gate.link_closed(7);
    REQUIRE(given.run_until([&] { return given.refusals.size() == 2; }));
    CHECK(given.refusals[2].outcome == support::run_outcome::not_run);
    CHECK(given.refusals.count(3) == 0);
}

} // namespace galenarudder::proxy
