// The pipe is a bounded Asio channel. Aborting the pipe closes the channel.
// Closing (Boost 1.81) does not end a send that waits for room, and canceling
// must not come after closing, so a send must not begin between the two.
#include "galenarudder/link/body_pipe.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenarudder::link {

namespace asio = boost::asio;

body_chunk make_chunk(std::string data, bool last)
{
    return {std::move(data), last};
}

body_pipe::body_pipe(asio::any_io_executor executor,
                     std::size_t capacity_chunks)
    : channel_(executor, capacity_chunks)
{
}

asio::awaitable<bool> body_pipe::write(body_chunk chunk)
{
    auto begin_send = [this](auto handler, body_chunk sent) {
        const std::lock_guard lock(abort_mutex_);
        channel_.async_send(boost::system::error_code(), std::move(sent),
                            std::move(handler));
    };
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    const auto [failure] =
        co_await asio::async_initiate<decltype(token),
                                      void(boost::system::error_code)>(
            std::move(begin_send), token, std::move(chunk));
    co_return !failure;
}

bool body_pipe::try_write(body_chunk chunk)
{
    return channel_.try_send(boost::system::error_code(), std::move(chunk));
}

asio::awaitable<std::optional<body_chunk>> body_pipe::read()
{
    auto [failure, chunk] =
        co_await channel_.async_receive(asio::as_tuple(asio::use_awaitable));
    if (failure)
        co_return std::nullopt;
    if (consumed_handler_)
        consumed_handler_(chunk.data.size());
    co_return std::move(chunk);
}

std::optional<body_chunk> body_pipe::try_read()
{
    std::optional<body_chunk> next;
    channel_.try_receive(
        [&next](boost::system::error_code failure, body_chunk chunk) {
            if (!failure)
                next = std::move(chunk);
        });
    if (next && consumed_handler_)
        consumed_handler_(next->data.size());
    return next;
}

void body_pipe::abort()
{
    const std::lock_guard lock(abort_mutex_);
    channel_.cancel();
    channel_.close();
}

void body_pipe::set_consumed_handler(std::function<void(std::size_t)> handler)
{
    consumed_handler_ = std::move(handler);
}

} // namespace galenarudder::link
