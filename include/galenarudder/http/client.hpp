/// \file
/// HTTP client for requests with small responses; used for the store, for other
/// daemons and by operators' tools.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/http/server.hpp"
#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace galenarudder::http {

/// A request to send.
struct client_request
{
    std::string method;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    std::vector<field> fields;
};

/// How long a request and its response may take.
struct exchange_limits
{
    /// Until the first byte of the response.
    support::duration first_byte;
    /// Between two parts of the response.
    support::duration pause;
    support::duration total;
};

/// Sends one request on a new connection and reads the complete response.
/// The error is connection_failed if nothing was sent. It is timeout, or
/// canceled if the connection broke, if the request may have been sent.
boost::asio::awaitable<support::result<response>>
fetch(config::endpoint server, client_request request, exchange_limits limits);

/// Like fetch, with one limit for the whole exchange.
boost::asio::awaitable<support::result<response>> fetch(
    config::endpoint server, client_request request, support::duration timeout);

/// Like fetch, but blocks the calling thread until the response is there.
support::result<response> fetch_blocking(const config::endpoint& server,
                                         const client_request& request,
                                         support::duration timeout);

/// Returns \p text percent-encoded for use as a query value or path segment.
std::string percent_encode(std::string_view text);

} // namespace galenarudder::http
