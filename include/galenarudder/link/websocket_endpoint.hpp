/// \file
/// WebSocket connections between daemons. websocketpp stays behind this
/// plain header, since it compiles only as C++17.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace galenarudder::link {

/// Names one connection within an endpoint; never reused.
using connection_id = std::uint64_t;

/// Called on the endpoint's own thread.
struct websocket_handlers
{
    std::function<void(connection_id, bool inbound)> opened;
    std::function<void(connection_id, bool inbound, std::string payload)>
        received;
    /// Also called when an outbound connection could not be opened.
    std::function<void(connection_id, bool inbound)> closed;
};

/// Listens and connects; runs one thread of its own.
class websocket_endpoint
{
public:
    explicit websocket_endpoint(websocket_handlers handlers);
    ~websocket_endpoint();
    websocket_endpoint(const websocket_endpoint&) = delete;
    websocket_endpoint& operator=(const websocket_endpoint&) = delete;

    /// Starts to accept; returns an empty text or why it cannot.
    std::string listen(const std::string& address, std::uint16_t port);

    /// Starts to connect; the result comes as opened or closed.
    connection_id connect(const std::string& address, std::uint16_t port);

    /// Queues one binary message; dropped when the connection is closed.
    void send(connection_id connection, std::string payload);

    void close(connection_id connection);

    /// Closes everything and ends the thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::link
