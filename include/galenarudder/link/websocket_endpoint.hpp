/// \file
/// WebSocket connections between daemons. This header hides websocketpp, which
/// compiles only as C++17.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace galenarudder::link {

/// Identifies a connection of an endpoint; never reused.
using connection_id = std::uint64_t;

/// Functions that the endpoint calls on its own thread. \c inbound tells
/// whether the peer opened the connection.
struct websocket_handlers
{
    std::function<void(connection_id, bool inbound)> opened;
    std::function<void(connection_id, bool inbound, std::string payload)>
        received;
    /// Also called if an outbound connection could not be opened.
    std::function<void(connection_id, bool inbound)> closed;
};

/// Accepts and opens WebSocket connections; runs one thread of its own.
/// connect, send and close are safe from any thread.
class websocket_endpoint
{
public:
    explicit websocket_endpoint(websocket_handlers handlers);
    ~websocket_endpoint();
    websocket_endpoint(const websocket_endpoint&) = delete;
    websocket_endpoint& operator=(const websocket_endpoint&) = delete;

    /// Starts to accept connections. Returns an empty string, or the message of
    /// the error.
    std::string listen(const std::string& address, std::uint16_t port);

    /// Starts to connect; the opened or closed handler receives the result.
    connection_id connect(const std::string& address, std::uint16_t port);

    /// Queues one binary message, which is dropped if the connection is closed.
    void send(connection_id connection, std::string payload);

    /// Starts to close a connection.
    void close(connection_id connection);

    /// Closes all connections and ends the thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::link
