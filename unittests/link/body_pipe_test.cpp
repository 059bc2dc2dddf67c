// body_pipe: the ends of reads and writes that wait.
#include "galenarudder/link/body_pipe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>

namespace galenarudder::link {

namespace {

namespace asio = boost::asio;

struct fixture
{
    /// Starts a write; its result is stored in \p accepted.
    void start_write(std::optional<bool>& accepted)
    {
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                accepted = co_await pipe.write(make_chunk("part", false));
            },
            asio::detached);
        run();
    }
    void start_read(std::optional<std::optional<body_chunk>>& received)
    {
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                received.emplace(co_await pipe.read());
            },
            asio::detached);
        run();
    }
    void run()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
    }

    asio::io_context io{1};
    body_pipe pipe{io.get_executor(), 1};
};

} // namespace

TEST_CASE("aborting a body pipe ends a write that waits for room")
{
    fixture given;
    REQUIRE(given.pipe.try_write(make_chunk("first", false)));
    std::optional<bool> accepted;
    given.start_write(accepted);
    REQUIRE_FALSE(accepted);
    given.pipe.abort();
    given.run();
    CHECK(accepted == false);
}

TEST_CASE("aborting a body pipe ends a read that waits for a chunk")
{
    fixture given;
    std::optional<std::optional<body_chunk>> received;
    given.start_read(received);
    REQUIRE_FALSE(received);
    given.pipe.abort();
    given.run();
    REQUIRE(received);
    CHECK_FALSE(received->has_value());
}

TEST_CASE("an aborted body pipe takes no chunk and delivers none")
{
    fixture given;
    REQUIRE(given.pipe.try_write(make_chunk("first", false)));
    given.pipe.abort();
    CHECK_FALSE(given.pipe.try_write(make_chunk("second", true)));
    CHECK_FALSE(given.pipe.try_read());
    std::optional<bool> accepted;
    given.start_write(accepted);
    CHECK(accepted == false);
}

TEST_CASE("a write that waits for room goes on when a chunk was read")
{
    fixture given;
    REQUIRE(given.pipe.try_write(make_chunk("first", false)));
    CHECK_FALSE(given.pipe.try_write(make_chunk("second", false)));
    std::optional<bool> accepted;
    given.start_write(accepted);
    REQUIRE_FALSE(accepted);
    const std::optional<body_chunk> first = given.pipe.try_read();
    REQUIRE(first);
    CHECK(first->data == "first");
    given.run();
    CHECK(accepted == true);
    const std::optional<body_chunk> second = given.pipe.try_read();
    REQUIRE(second);
    CHECK(second->data == "part");
    CHECK(given.pipe.try_write(make_chunk("third", true)));
}

} // namespace galenarudder::link
