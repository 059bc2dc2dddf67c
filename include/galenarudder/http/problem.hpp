/// \file
/// Errors as problem documents (RFC 9457) of the ports for small documents.
#pragma once

#include "galenarudder/http/service.hpp"
#include "galenarudder/support/error.hpp"

namespace galenarudder::http {

/// Builds an answer with kind, message and remedy of \p failure.
response problem(unsigned status, const support::error& failure);

} // namespace galenarudder::http
