/// \file
/// Problem documents (RFC 9457) for the errors of http::server's handlers.
#pragma once

#include "galenarudder/http/server.hpp"
#include "galenarudder/support/error.hpp"

namespace galenarudder::http {

/// Returns a response with kind, message and remedy of \p failure.
response problem_response(unsigned status, const support::error& failure);

} // namespace galenarudder::http
