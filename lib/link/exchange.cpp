// Sizes the pipes of an attempt by the link's window.
#include "galenarudder/link/exchange.hpp"

#include "galenarudder/link/message.hpp"

namespace galenarudder::link {

namespace {

/// Room for a whole window of the smallest chunks.
constexpr std::size_t pipe_chunks = body_window_bytes / min_part_cost_bytes;

} // namespace

exchange::exchange(support::call_head head_of_call,
                   boost::asio::any_io_executor executor)
    : head(std::move(head_of_call)), request(executor, pipe_chunks),
      answer(executor, pipe_chunks)
{
}

} // namespace galenarudder::link
