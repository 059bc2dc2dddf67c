/// \file
/// The HTTP/1.1 server for callers.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/proxy/entry.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace galenarudder::proxy {

struct caller_server_state;

class caller_server
{
public:
    caller_server(boost::asio::io_context& io, entry& shared);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    support::result<void> listen(const config::endpoint& where);

    /// Each connection closes after its next answer; new ones are still taken.
    void begin_drain();

    /// Stops accepting; each connection closes after its current answer.
    /// \p drained is called once no call is open.
    void drain(std::function<void()> drained);

    /// Calls that have been read and not yet answered.
    std::size_t open_calls() const;

private:
    std::shared_ptr<caller_server_state> state_;
};

} // namespace galenarudder::proxy
