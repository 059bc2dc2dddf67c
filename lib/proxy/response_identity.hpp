/// \file
/// Which responses of an upstream belong to a request, and which connections
/// may carry a further request.
///
/// An upstream may send a response twice, the copy arbitrarily late. A copy is
/// recognized by the id of the request that it repeats. A response without an
/// id that states that the request did not run is accepted all the same, so
/// that the call can be sent to another upstream. Nothing would tell its copy
/// from the rejection of a later request, so no later request may follow.
#pragma once

#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/support/call.hpp"

#include <string_view>

namespace galenarudder::proxy {

/// A request as far as its responses depend on it.
struct sent_request
{
    /// Id of the request; empty if it was sent without one.
    std::string_view id;
    /// Whether running the request twice is harmless.
    bool repeatable = false;
};

/// What a response means for the request that was sent last on its connection.
struct response_verdict
{
    /// Whether it belongs to the request. Others are skipped.
    bool belongs = false;
    /// Whether the connection may carry a further request.
    bool may_reuse = false;
};

/// Returns what the response \p head means for \p request. In dialects without
/// request ids every response belongs to the request.
response_verdict judge_response(const support::response_head& head,
                                const sent_request& request,
                                const http_dialect& dialect);

} // namespace galenarudder::proxy
