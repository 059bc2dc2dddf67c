// The end of the coroutine cancels a timer on which join() waits.
#include "galenarudder/support/child_task.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cassert>

namespace galenarudder::support {

namespace asio = boost::asio;

struct child_task::state
{
    explicit state(const asio::any_io_executor& executor) : ended(executor)
    {
        ended.expires_at(asio::steady_timer::time_point::max());
    }

    /// Never expires; it is canceled when the coroutine has ended.
    asio::steady_timer ended;
    bool running = false;
};

child_task::child_task(asio::any_io_executor executor)
    : state_(std::make_shared<state>(executor))
{
}

void child_task::start(std::function<asio::awaitable<void>()> coroutine)
{
    assert(!state_->running && "the previous coroutine must have ended");
    state_->running = true;
    asio::co_spawn(state_->ended.get_executor(), std::move(coroutine),
                   [shared_state = state_](const std::exception_ptr&) {
                       shared_state->running = false;
                       shared_state->ended.cancel();
                   });
}

bool child_task::running() const
{
    return state_->running;
}

asio::awaitable<void> child_task::join()
{
    const auto shared_state = state_;
    while (shared_state->running)
        co_await shared_state->ended.async_wait(
            asio::as_tuple(asio::use_awaitable));
}

} // namespace galenarudder::support
