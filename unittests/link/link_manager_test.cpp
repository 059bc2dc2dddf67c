// Two link managers on loopback: calls that end before their bodies.
#include "galenarudder/link/link_manager.hpp"

#include "galenarudder/link/message.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>

namespace galenarudder::link {

namespace {

namespace asio = boost::asio;

const config::endpoint gate_endpoint{"127.2.2.202", 7899};
const std::vector<config::shared_key> keys{{"k1", "a shared secret"}};
/// More than the windows and pipes of one body hold.
constexpr std::size_t body_chunks = 100;

struct fixture
{
    fixture()
        : gate(io, "gate", keys, gate_handlers()),
          entry(io, "entry", keys, entry_handlers())
    {
        REQUIRE(gate.listen(gate_endpoint));
        remote = entry.gate_of("gate", gate_endpoint);
    }

    link_handlers gate_handlers()
    {
        link_handlers handlers = entry_handlers();
        handlers.call_received = [this](connection_id, exchange_ptr attempt) {
            received = std::move(attempt);
        };
        handlers.call_canceled = [this](connection_id, support::attempt_id) {
            canceled = true;
        };
        return handlers;
    }

    static link_handlers entry_handlers()
    {
        link_handlers handlers;
        handlers.call_received = [](connection_id, const exchange_ptr&) {};
        handlers.call_canceled = [](connection_id, support::attempt_id) {};
        handlers.link_closed = [](connection_id) {};
        handlers.gate_draining = [](const support::member_id&) {};
        return handlers;
    }

    exchange_ptr submit(const std::string& idempotency_key = {})
    {
        support::call_head head;
        head.idempotency_key = idempotency_key;
        head.id = static_cast<support::attempt_id>(1);
        head.method = "GET";
        head.target = "/";
        head.content_length = 0;
        head.remaining_time = support::milliseconds(20'000);
        auto attempt =
            std::make_shared<exchange>(std::move(head), io.get_executor());
        attempt->in_time_until = in_time_until;
        attempt->request_body.try_write(make_chunk(std::string(), true));
        attempt->deliver = [this](const exchange_event&) { answered = true; };
        remote->submit(attempt);
        return attempt;
    }

    /// Writes the response's body, which nobody reads, until that fails.
    void start_response()
    {
        asio::co_spawn(
            io,
            [this]() -> asio::awaitable<void> {
                for (std::size_t count = 0; count < body_chunks; ++count) {
                    const bool accepted =
                        co_await received->response_body.write(make_chunk(
                            std::string(max_body_part_bytes, 'x'), false));
                    if (accepted)
                        continue;
                    write_failed = true;
                    co_return;
                }
            },
            asio::detached);
        support::response_head head;
        head.status = 200;
        received->deliver(link::answered{std::move(head), {}});
    }

    template <typename Condition>
    bool run_until(Condition met,
                   support::duration timeout = std::chrono::seconds(5))
    {
        const auto end = support::monotonic_clock::now() + timeout;
        while (!met() && support::monotonic_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return met();
    }

    asio::io_context io{1};
    support::time_point in_time_until = support::time_point::max();
    exchange_ptr received;
    bool canceled = false;
    bool answered = false;
    bool write_failed = false;
    link_manager gate;
    link_manager entry;
    std::shared_ptr<gate_interface> remote;
};

} // namespace

TEST_CASE("canceling a call ends the response that waits for credit")
{
    fixture given;
    const exchange_ptr attempt = given.submit();
    REQUIRE(given.run_until([&] { return given.received != nullptr; }));
    given.start_response();
    REQUIRE(given.run_until([&] { return given.answered; }));
    given.remote->cancel(attempt);
    attempt->response_body.abort();
    REQUIRE(given.run_until([&] { return given.canceled; }));
    CHECK(given.run_until([&] { return given.write_failed; }));
}

// Guards against keys that stay taken since nobody learns that their canceled
// calls did not run.
TEST_CASE("the outcome of a canceled call is delivered if it has a key")
{
    const auto [key, is_sent, is_delivered] =
        GENERATE(table<const char*, bool, bool>({{"k1", true, true},
                                                 {"k1", false, true},
                                                 {"", true, false},
                                                 {"", false, false}}));
    CAPTURE(key, is_sent);
    fixture given;
    const exchange_ptr attempt = given.submit(key);
    if (is_sent)
        REQUIRE(given.run_until([&] { return given.received != nullptr; }));
    given.remote->cancel(attempt);
    if (is_sent) {
        REQUIRE(given.run_until([&] { return given.canceled; }));
        given.received->deliver(refused{{support::refusal_kind::canceled,
                                         support::run_outcome::not_run, true,
                                         support::milliseconds(0), "canceled"},
                                        {}});
    }
    given.run_until([&] { return given.answered; },
                    std::chrono::milliseconds(is_delivered ? 5000 : 100));
    CHECK(given.answered == is_delivered);
}

// Guards against a time of day on the link, and against a goal that calls
// without one get from the other side.
TEST_CASE("a gate learns in how long a call is late")
{
    fixture given;
    const bool has_goal = GENERATE(false, true);
    if (has_goal)
        given.in_time_until =
            support::monotonic_clock::now() + std::chrono::seconds(10);
    given.submit();
    REQUIRE(given.run_until([&] { return given.received != nullptr; }));
    const support::time_point told = given.received->in_time_until;
    if (!has_goal) {
        CHECK(told == support::time_point::max());
        return;
    }
    // Whole milliseconds are sent; the time on the way may not be known.
    CHECK(told >= given.in_time_until - support::milliseconds(1));
    CHECK(told <= given.in_time_until + std::chrono::seconds(2));
}

TEST_CASE("canceling a call whose response has not begun ends its body")
{
    fixture given;
    const exchange_ptr attempt = given.submit();
    REQUIRE(given.run_until([&] { return given.received != nullptr; }));
    given.remote->cancel(attempt);
    REQUIRE(given.run_until([&] { return given.canceled; }));
    given.start_response();
    CHECK(given.run_until([&] { return given.write_failed; }));
}

} // namespace galenarudder::link
