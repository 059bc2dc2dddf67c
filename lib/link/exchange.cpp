// The pipes of an attempt are as large as the window of a body on a link.
#include "galenarudder/link/exchange.hpp"

#include "galenarudder/link/message.hpp"

namespace galenarudder::link {

namespace {

/// The largest number of chunks that fit in a body's window.
constexpr std::size_t pipe_capacity_chunks =
    body_window_bytes / min_part_cost_bytes;

} // namespace

exchange::exchange(support::call_head request_head,
                   boost::asio::any_io_executor executor)
    : head(std::move(request_head)),
      request_body(executor, pipe_capacity_chunks),
      response_body(executor, pipe_capacity_chunks)
{
}

} // namespace galenarudder::link
