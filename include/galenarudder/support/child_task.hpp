/// \file
/// A coroutine that runs beside its owner and whose end the owner awaits.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace galenarudder::support {

/// Runs one coroutine at a time. The owner must await join() before it uses
/// what the coroutine uses, such as a stream, or closes it. All members must
/// be called on the executor.
class child_task
{
public:
    /// \p executor must serialize its work.
    explicit child_task(boost::asio::any_io_executor executor);
    child_task(const child_task&) = delete;
    child_task& operator=(const child_task&) = delete;

    /// Starts \p coroutine; the previous one must have ended.
    void start(std::function<boost::asio::awaitable<void>()> coroutine);
    bool running() const;
    /// Waits until the coroutine has ended. Does not stop it: the owner first
    /// cancels what the coroutine waits for.
    boost::asio::awaitable<void> join();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenarudder::support
