// The only source that includes websocketpp; it is compiled as C++17.
#include "galenarudder/link/websocket_endpoint.hpp"

#if defined(__GNUC__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wextra"
#endif
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>
#if defined(__GNUC__)
#pragma GCC diagnostic pop
#endif

#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace galenarudder::link {

namespace {

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

/// Largest accepted message. Messages of the protocol are smaller: a request
/// head has at most callers.head_bytes, 16 KB by default, and a whole body or a
/// part of one at most small_body_bytes.
constexpr std::size_t max_message_bytes = 128 * 1024;

/// Time limit of the WebSocket handshakes that open and close a connection.
constexpr long handshake_timeout_ms = 1500;

template <typename Endpoint>
void configure(Endpoint& endpoint, boost::asio::io_context& io)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io);
    endpoint.set_max_message_size(max_message_bytes);
    endpoint.set_open_handshake_timeout(handshake_timeout_ms);
    endpoint.set_close_handshake_timeout(handshake_timeout_ms);
    endpoint.set_tcp_post_init_handler([&endpoint](connection_hdl handle) {
        websocketpp::lib::error_code failure;
        auto connection = endpoint.get_con_from_hdl(handle, failure);
        if (failure)
            return;
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(
            boost::asio::ip::tcp::no_delay(true), ignored);
    });
}

} // namespace

struct websocket_endpoint::state
{
    websocket_handlers handlers;
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard{io.get_executor()};
    server acceptor;
    client connector;
    std::atomic<connection_id> next_id{1};
    // Handle and direction (true if inbound) of each connection. Accessed only
    // on the endpoint's thread.
    std::map<connection_id, std::pair<connection_hdl, bool>> connections;
    std::thread thread;

    template <typename Endpoint>
    void install_handlers(Endpoint& endpoint,
                          connection_id id,
                          bool inbound,
                          typename Endpoint::connection_ptr connection);
    void open_outbound(connection_id id, const std::string& uri);
    void send_now(connection_id id, const std::string& payload);
    void close_now(connection_id id);
    void close_all();
    void remove(connection_id id);
};

void websocket_endpoint::state::remove(connection_id id)
{
    const auto found = connections.find(id);
    if (found == connections.end())
        return;
    const bool inbound = found->second.second;
    connections.erase(found);
    handlers.closed(id, inbound);
}

template <typename Endpoint>
void websocket_endpoint::state::install_handlers(
    Endpoint&,
    connection_id id,
    bool inbound,
    typename Endpoint::connection_ptr connection)
{
    connections[id] = {connection->get_handle(), inbound};
    connection->set_open_handler(
        [this, id, inbound](connection_hdl) { handlers.opened(id, inbound); });
    connection->set_close_handler([this, id](connection_hdl) { remove(id); });
    connection->set_fail_handler([this, id](connection_hdl) { remove(id); });
    connection->set_message_handler(
        [this, id, inbound](connection_hdl,
                            typename Endpoint::message_ptr message) {
            handlers.received(id, inbound,
                              std::move(message->get_raw_payload()));
        });
}

void websocket_endpoint::state::open_outbound(connection_id id,
                                              const std::string& uri)
{
    websocketpp::lib::error_code failure;
    client::connection_ptr connection = connector.get_connection(uri, failure);
    if (failure) {
        handlers.closed(id, false);
        return;
    }
    install_handlers(connector, id, false, connection);
    connector.connect(connection);
}

void websocket_endpoint::state::send_now(connection_id id,
                                         const std::string& payload)
{
    const auto found = connections.find(id);
    if (found == connections.end())
        return;
    const auto& [handle, inbound] = found->second;
    constexpr auto binary = websocketpp::frame::opcode::binary;
    websocketpp::lib::error_code failure;
    if (inbound)
        acceptor.send(handle, payload, binary, failure);
    else
        connector.send(handle, payload, binary, failure);
    // The error is ignored: a failed send is followed by the close handler.
}

void websocket_endpoint::state::close_now(connection_id id)
{
    const auto found = connections.find(id);
    if (found == connections.end())
        return;
    const auto& [handle, inbound] = found->second;
    constexpr auto normal = websocketpp::close::status::normal;
    websocketpp::lib::error_code failure;
    if (inbound)
        acceptor.close(handle, normal, "", failure);
    else
        connector.close(handle, normal, "", failure);
}

void websocket_endpoint::state::close_all()
{
    websocketpp::lib::error_code failure;
    if (acceptor.is_listening())
        acceptor.stop_listening(failure);
    const auto open = connections;
    for (const auto& [id, connection] : open)
        close_now(id);
}

websocket_endpoint::websocket_endpoint(websocket_handlers handlers)
    : state_(std::make_unique<state>())
{
    state_->handlers = std::move(handlers);
    configure(state_->acceptor, state_->io);
    configure(state_->connector, state_->io);
    state_->acceptor.set_reuse_addr(true);
    state_->acceptor.set_validate_handler([this](connection_hdl handle) {
        state& endpoint_state = *state_;
        auto connection = endpoint_state.acceptor.get_con_from_hdl(handle);
        endpoint_state.install_handlers(endpoint_state.acceptor,
                                        endpoint_state.next_id++, true,
                                        connection);
        return true;
    });
    state_->thread = std::thread([this] { state_->io.run(); });
}

websocket_endpoint::~websocket_endpoint()
{
    stop();
}

std::string websocket_endpoint::listen(const std::string& address,
                                       std::uint16_t port)
{
    websocketpp::lib::error_code failure;
    state_->acceptor.listen(address, std::to_string(port), failure);
    if (failure)
        return failure.message();
    state_->acceptor.start_accept(failure);
    return failure ? failure.message() : std::string();
}

connection_id websocket_endpoint::connect(const std::string& address,
                                          std::uint16_t port)
{
    const connection_id id = state_->next_id++;
    const bool ipv6 = address.find(':') != std::string::npos;
    const std::string host = ipv6 ? "[" + address + "]" : address;
    const std::string uri = "ws://" + host + ":" + std::to_string(port) + "/";
    boost::asio::post(state_->io,
                      [this, id, uri] { state_->open_outbound(id, uri); });
    return id;
}

void websocket_endpoint::send(connection_id connection, std::string payload)
{
    boost::asio::post(state_->io,
                      [this, connection, payload = std::move(payload)] {
                          state_->send_now(connection, payload);
                      });
}

void websocket_endpoint::close(connection_id connection)
{
    boost::asio::post(state_->io,
                      [this, connection] { state_->close_now(connection); });
}

void websocket_endpoint::stop()
{
    if (!state_->thread.joinable())
        return;
    constexpr auto close_grace = std::chrono::milliseconds(200);
    boost::asio::post(state_->io, [this] { state_->close_all(); });
    boost::asio::steady_timer grace_timer(state_->io, close_grace);
    grace_timer.async_wait(
        [this](boost::system::error_code) { state_->io.stop(); });
    state_->thread.join();
}

} // namespace galenarudder::link
