// The chunks pass through an Asio channel that never blocks its sender. A
// writer first receives a permit from a second channel, because closing a
// channel ends the operations that wait to receive, not those that wait to
// send.
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
    : chunks_(executor, capacity_chunks), permits_(executor, capacity_chunks)
{
    for (std::size_t count = 0; count < capacity_chunks; ++count)
        permits_.try_send(boost::system::error_code());
}

asio::awaitable<bool> body_pipe::write(body_chunk chunk)
{
    const auto [failure] =
        co_await permits_.async_receive(asio::as_tuple(asio::use_awaitable));
    if (failure)
        co_return false;
    co_return chunks_.try_send(boost::system::error_code(), std::move(chunk));
}

bool body_pipe::try_write(body_chunk chunk)
{
    const bool has_room =
        permits_.try_receive([](boost::system::error_code) {});
    return has_room &&
           chunks_.try_send(boost::system::error_code(), std::move(chunk));
}

void body_pipe::on_read(const body_chunk& chunk)
{
    permits_.try_send(boost::system::error_code());
    if (consumed_handler_)
        consumed_handler_(chunk.data.size());
}

asio::awaitable<std::optional<body_chunk>> body_pipe::read()
{
    auto [failure, chunk] =
        co_await chunks_.async_receive(asio::as_tuple(asio::use_awaitable));
    if (failure)
        co_return std::nullopt;
    on_read(chunk);
    co_return std::move(chunk);
}

std::optional<body_chunk> body_pipe::try_read()
{
    std::optional<body_chunk> next;
    chunks_.try_receive(
        [&next](boost::system::error_code failure, body_chunk chunk) {
            if (!failure)
                next = std::move(chunk);
        });
    if (next)
        on_read(*next);
    return next;
}

void body_pipe::abort()
{
    permits_.close();
    chunks_.close();
}

void body_pipe::set_consumed_handler(std::function<void(std::size_t)> handler)
{
    consumed_handler_ = std::move(handler);
}

} // namespace galenarudder::link
