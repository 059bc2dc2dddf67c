/// \file
/// A bounded pipe that passes a body between two parts of a daemon that run on
/// different executors.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace galenarudder::link {

/// A piece of a body.
struct body_chunk
{
    std::string data;
    /// Whether the body ends with this chunk.
    bool last = false;
};

/// Returns a chunk. Coroutines must use this function instead of aggregate
/// initialization, because g++ 12 destroys the temporaries of an aggregate
/// twice in a coroutine.
body_chunk make_chunk(std::string data, bool last);

/// A queue of chunks with a limited capacity. Safe from any thread.
class body_pipe
{
public:
    body_pipe(boost::asio::any_io_executor executor,
              std::size_t capacity_chunks);

    /// Waits until the pipe has room, then writes. Returns false if the pipe
    /// was aborted.
    boost::asio::awaitable<bool> write(body_chunk chunk);
    /// Writes without waiting. Returns false if the pipe is full or aborted.
    bool try_write(body_chunk chunk);
    /// Waits for the next chunk. Returns std::nullopt if the pipe was aborted.
    boost::asio::awaitable<std::optional<body_chunk>> read();
    /// Returns the next chunk if one is in the pipe, or std::nullopt.
    std::optional<body_chunk> try_read();
    /// Closes the pipe, also before the last chunk, and ends the read and the
    /// write that wait.
    void abort();

    /// Sets the function that is called with the size in bytes of each chunk
    /// that is read. Must be called before the first read.
    void set_consumed_handler(std::function<void(std::size_t)> handler);

private:
    using chunk_channel = boost::asio::experimental::concurrent_channel<void(
        boost::system::error_code, body_chunk)>;
    using permit_channel = boost::asio::experimental::concurrent_channel<void(
        boost::system::error_code)>;

    /// Returns the permit of a chunk that was read.
    void on_read(const body_chunk& chunk);

    chunk_channel chunks_;
    /// One permit for each further chunk that the pipe has room for.
    permit_channel permits_;
    std::function<void(std::size_t)> consumed_handler_;
};

} // namespace galenarudder::link
