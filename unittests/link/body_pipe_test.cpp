// Aborting a pipe ends reads and writes that wait, so that nobody waits for an
// end of the body that is gone.
#include "galenarudder/link/body_pipe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

namespace galenarudder::link {

namespace asio = boost::asio;

namespace {

/// Lets \p operation run until it waits, aborts the pipe and returns whether it
/// then ended without success.
template <typename Operation>
bool fails_after_abort(asio::io_context& io,
                       body_pipe& pipe,
                       Operation operation)
{
    std::optional<bool> succeeded;
    asio::co_spawn(
        io,
        [&succeeded, operation]() -> asio::awaitable<void> {
            succeeded = co_await operation();
        },
        asio::detached);
    io.poll();
    const bool waited = !succeeded;
    pipe.abort();
    io.restart();
    io.poll();
    return waited && succeeded && !*succeeded;
}

} // namespace

TEST_CASE("aborting a pipe ends a write that waits for room", "[link]")
{
    asio::io_context io;
    body_pipe pipe(io.get_executor(), 2);
    while (pipe.try_write(make_chunk("full", false)))
        continue;
    CHECK(fails_after_abort(io, pipe, [&pipe] {
        return pipe.write(make_chunk("more", false));
    }));
    CHECK_FALSE(pipe.try_read());
    CHECK_FALSE(pipe.try_write(make_chunk("late", true)));
}

TEST_CASE("aborting a pipe ends a read that waits for a chunk", "[link]")
{
    asio::io_context io;
    body_pipe pipe(io.get_executor(), 2);
    CHECK(fails_after_abort(io, pipe, [&pipe]() -> asio::awaitable<bool> {
        const auto chunk = co_await pipe.read();
        co_return chunk.has_value();
    }));
}

TEST_CASE("a pipe can be aborted twice", "[link]")
{
    asio::io_context io;
    body_pipe pipe(io.get_executor(), 2);
    pipe.abort();
    pipe.abort();
    CHECK_FALSE(pipe.try_read());
}

} // namespace galenarudder::link
