// The gate's actions carried out: refusals delivered, drains completed.
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

constexpr const char* own_address = "127.2.2.201";

/// An upstream that takes connections and never answers.
struct silent_upstream
{
    explicit silent_upstream(asio::io_context& io)
        : acceptor(io, tcp::endpoint(asio::ip::make_address(own_address), 0))
    {
    }

    config::endpoint where() const
    {
        return {own_address, acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
};

struct rig
{
    rig() : upstream(io), gate(io, config::default_configuration()) {}

    link::exchange_ptr
    submit(std::uint64_t id, bool repeatable, std::uint64_t link = 0)
    {
        support::call_head head;
        head.id = static_cast<support::call_id>(id);
        head.rank = "urgent";
        head.method = "GET";
        head.target = "/";
        head.content_length = 0;
        head.remaining = support::milliseconds(30'000);
        head.repeatable = repeatable;
        auto exchange = std::make_shared<link::exchange>(std::move(head),
                                                         io.get_executor());
        exchange->deliver = [this, id](link::exchange_event event) {
            events[id] = std::get<link::refused>(event).why;
        };
        gate.submit_from(link, exchange);
        return exchange;
    }

    template <typename Condition>
    bool run_until(Condition met)
    {
        const auto end =
            support::monotonic_clock::now() + std::chrono::seconds(10);
        while (!met() && support::monotonic_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return met();
    }

    asio::io_context io{1};
    silent_upstream upstream;
    std::map<std::uint64_t, support::refusal> events;
    gate_runtime gate;
};

upstream_facts facts_of(const config::endpoint& where)
{
    upstream_facts facts;
    facts.where = where;
    facts.slots = 1;
    facts.connections = 10;
    return facts;
}

} // namespace

TEST_CASE("without an upstream a call is refused as not run")
{
    rig under_test;
    under_test.submit(1, false);
    REQUIRE(under_test.run_until([&] { return !under_test.events.empty(); }));
    CHECK(under_test.events[1].kind == refusal_kind::no_upstream);
    CHECK(under_test.events[1].outcome == support::run_outcome::not_run);
}

TEST_CASE("a drain refuses what waits and ends when the running call ends")
{
    rig under_test;
    under_test.gate.set_upstream(facts_of(under_test.upstream.where()));
    const auto running = under_test.submit(1, true);
    under_test.submit(2, true);
    bool drained = false;
    under_test.gate.drain([&] { drained = true; });
    REQUIRE(under_test.run_until([&] { return under_test.events.count(2); }));
    CHECK(under_test.events[2].kind == refusal_kind::draining);
    CHECK_FALSE(drained);
    under_test.gate.cancel(running);
    REQUIRE(under_test.run_until([&] { return drained; }));
    CHECK(under_test.events[1].kind == refusal_kind::canceled);
}

TEST_CASE("a drain without running work ends at once")
{
    rig under_test;
    bool drained = false;
    under_test.gate.drain([&] { drained = true; });
    CHECK(under_test.run_until([&] { return drained; }));
}

TEST_CASE("a closed link drops its waiting calls and aborts repeatable ones")
{
    rig under_test;
    under_test.gate.set_upstream(facts_of(under_test.upstream.where()));
    under_test.submit(1, true, 7);
    under_test.submit(2, true, 7);
    under_test.submit(3, true, 8);
    under_test.gate.link_closed(7);
    REQUIRE(
        under_test.run_until([&] { return under_test.events.size() == 2; }));
    CHECK(under_test.events[2].outcome == support::run_outcome::not_run);
    CHECK(under_test.events.count(3) == 0);
}

} // namespace galenarudder::proxy
