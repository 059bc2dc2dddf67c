/// \file
/// A bounded pipe for a body on its way between two parts of a daemon that
/// run on different executors.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace galenarudder::link {

/// A part of a body.
struct body_chunk
{
    std::string data;
    bool last = false;
};

/// Builds a chunk. Coroutines call this instead of writing an aggregate,
/// whose temporaries g++ 12 destroys twice.
body_chunk make_chunk(std::string data, bool last);

class body_pipe
{
public:
    body_pipe(boost::asio::any_io_executor executor,
              std::size_t capacity_chunks);

    /// Waits for room and writes; false once the pipe is cut.
    boost::asio::awaitable<bool> write(body_chunk chunk);
    /// Writes without waiting; false when the pipe is full or cut.
    bool try_write(body_chunk chunk);
    /// Waits for the next chunk; nothing once the pipe is cut.
    boost::asio::awaitable<std::optional<body_chunk>> read();
    /// Returns a chunk that is there already, or nothing.
    std::optional<body_chunk> try_read();
    /// Ends both sides before the last chunk.
    void cut();

    /// Called with the size of each chunk that was read; set it before use.
    void on_consumed(std::function<void(std::size_t)> notify);

private:
    using channel = boost::asio::experimental::concurrent_channel<void(
        boost::system::error_code, body_chunk)>;
    channel channel_;
    std::function<void(std::size_t)> consumed_;
};

} // namespace galenarudder::link
