/// \file
/// The HTTP/1.1 server that accepts the callers' connections.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/proxy/entry.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace galenarudder::proxy {

struct caller_server_state;

/// Accepts connections and serves each by a session of its own.
class caller_server
{
public:
    caller_server(boost::asio::io_context& io, entry& shared_entry);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    support::result<void> listen(const config::endpoint& listen_endpoint);

    /// Closes each connection after its next response; new connections are
    /// still accepted. Open and new calls end by \p latest_deadline.
    void begin_drain(support::time_point latest_deadline);

    /// Stops accepting connections and closes each one after its current
    /// response. \p on_drained is called once no connection is left.
    void drain(std::function<void()> on_drained);

    /// Returns the number of calls whose request's head was read and whose
    /// response has not ended.
    std::size_t open_calls() const;

private:
    std::shared_ptr<caller_server_state> state_;
};

} // namespace galenarudder::proxy
