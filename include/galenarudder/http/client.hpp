/// \file
/// One HTTP request with a small answer, for the store and operators' tools.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/http/service.hpp"
#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace galenarudder::http {

/// What to ask; \c target holds path and query as sent.
struct client_request
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<field> fields;
};

/// Sends one request on a connection of its own and reads the whole answer.
/// Errors: connection_failed when nothing was sent, timeout or
/// store_outcome_unknown never; a request that was sent and not answered ends
/// with timeout or canceled.
boost::asio::awaitable<support::result<response>> fetch(
    config::endpoint where, client_request request, support::duration timeout);

/// The same, waiting for the answer on the calling thread.
support::result<response> fetch_blocking(const config::endpoint& where,
                                         const client_request& request,
                                         support::duration timeout);

/// Percent-encodes a query value or path segment.
std::string percent_encode(std::string_view text);

} // namespace galenarudder::http
