/// \file
/// Moves work that would keep an event loop too long to another executor.
#pragma once

#include "galenarudder/support/pause_point.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <type_traits>

namespace galenarudder::support {

/// Work on up to this many bytes is done at once on the loop.
inline constexpr std::size_t max_inline_bytes = 16 * 1024;

/// Continues the calling coroutine on \p executor.
inline boost::asio::awaitable<void>
continue_on(boost::asio::any_io_executor executor)
{
    co_await boost::asio::post(
        boost::asio::bind_executor(executor, boost::asio::use_awaitable));
}

/// Returns the result of \p work, in which pause_point() takes effect.
template <typename Work>
std::invoke_result_t<Work> run_in_background(Work& work)
{
    const background_scope scope;
    return work();
}

/// Returns the result of \p work, which handles \p bytes. If these are many, it
/// runs on \p background, and the coroutine continues on \p executor.
template <typename Work>
boost::asio::awaitable<std::invoke_result_t<Work>>
run_by_size(std::size_t bytes,
            boost::asio::any_io_executor background,
            boost::asio::any_io_executor executor,
            Work work)
{
    if (bytes <= max_inline_bytes)
        co_return work();
    co_await continue_on(background);
    auto result = run_in_background(work);
    co_await continue_on(executor);
    co_return result;
}

} // namespace galenarudder::support
