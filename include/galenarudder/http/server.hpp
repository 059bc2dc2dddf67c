/// \file
/// HTTP server for documents that fit in memory; used by the operator port, the
/// announcement port and the stand-ins of tests.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::http {

/// A field of a head, or a parameter of a query.
struct field
{
    std::string name;
    std::string value;
};

/// Returns the value of the first field of that name, or an empty string. The
/// case of the name doesn't matter.
std::string_view field_or_empty(const std::vector<field>& fields,
                                std::string_view name);

/// A received request.
struct request
{
    std::string method;
    /// Path without the query, percent-decoded.
    std::string path;
    /// Query parameters in their order, percent-decoded.
    std::vector<field> query;
    std::vector<field> fields;
    std::string body;

    /// Returns the value of the first query parameter of that name, or null.
    const std::string* query_parameter(std::string_view name) const;
};

/// A response to send or a response that was received.
struct response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<field> fields;
    /// Makes the server close the connection without a response; used by
    /// stand-ins.
    bool close_without_answer = false;
};

/// Answers one request.
using handler =
    std::function<boost::asio::awaitable<response>(request received)>;

/// Default for the largest accepted request body, in bytes.
inline constexpr std::uint64_t default_max_body_bytes = 4 << 20;
/// Default for the longest time to wait for a complete request on an open
/// connection.
inline constexpr std::chrono::seconds default_request_timeout{120};
/// Default for the longest time until a client has taken a response.
inline constexpr std::chrono::seconds default_response_timeout{60};

/// Times after which a server closes a connection.
struct server_timeouts
{
    support::duration request = default_request_timeout;
    support::duration response = default_response_timeout;
};

/// An HTTP server. It answers the requests of one connection in order.
class server
{
public:
    server(boost::asio::io_context& io,
           handler handle,
           std::uint64_t max_body_bytes = default_max_body_bytes,
           server_timeouts timeouts = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts to accept connections on \p local.
    support::result<void> listen(const config::endpoint& local);
    /// Stops accepting connections. Open ones are still served until the client
    /// closes them, or sends no request or takes no response in time.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenarudder::http
