/// \file
/// Names and meanings of the HTTP fields that callers and upstreams use. The
/// product has a dialect of its own; a deployment may bring another.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"

#include <optional>
#include <string_view>

namespace galenarudder::proxy {

/// What an upstream states of itself with an answer.
struct upstream_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// How long work takes there now, relative to its usual time.
    double slowdown = 1;
};

/// Names refer to static storage; an empty name stands for a field that the
/// dialect does not have.
struct http_dialect
{
    /// In requests: milliseconds that the caller still waits.
    std::string_view deadline;
    std::string_view rank;
    std::string_view depth;
    std::string_view key;
    /// In requests and repeated in answers: names one call of a caller.
    std::string_view call_id;
    /// In requests to an upstream: the life of it that is meant.
    std::string_view expected_instance;
    /// In answers: the life of the upstream that answers.
    std::string_view instance;
    /// In requests to an upstream: the service that the call comes from.
    std::string_view calling_service;
    /// In answers: proves that an upstream made them.
    std::string_view signature;
    /// In refusals: callers above must not retry.
    std::string_view no_retry;
    /// Whether Retry-After may hold fractions of a second.
    bool fractional_retry_after = false;
    /// Whether an upstream states that it did not run the request.
    bool (*states_not_run)(const support::answer_head& answer) = nullptr;
    /// Whether the status tells callers that the request did not run.
    bool (*promises_not_run)(unsigned status) = nullptr;
    std::optional<upstream_load> (*read_load)(
        const support::answer_head& answer) = nullptr;
    unsigned (*refusal_status)(const support::refusal& why) = nullptr;
};

/// What the log calls a call: the caller's name of it, or empty.
std::string_view name_of_call(const support::call_head& head,
                              const http_dialect& dialect);

/// The product's own dialect.
const http_dialect& product_dialect();

} // namespace galenarudder::proxy
