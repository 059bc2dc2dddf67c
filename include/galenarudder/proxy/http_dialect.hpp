/// \file
/// Names and meanings of the HTTP fields that callers and upstreams use. There
/// is a default dialect; a deployment may define another.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"

#include <optional>
#include <string_view>

namespace galenarudder::proxy {

/// Load that an upstream states about itself in a response.
struct upstream_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// Present duration of the upstream's work divided by the usual duration.
    double slowdown = 1;
    /// How long the upstream is still cold, if it states that.
    std::optional<support::milliseconds> cold;
};

/// What an upstream states in a response about the calls that it takes.
struct upstream_demand
{
    /// Calls per second that it takes from all callers together; empty for no
    /// limit.
    std::optional<double> calls_per_s;
    /// Whether it is leaving and takes no new calls.
    bool leaving = false;
};

/// Field names and status rules of one deployment. Names refer to static
/// storage; an empty name means that the dialect does not have the field.
struct http_dialect
{
    /// In requests: milliseconds that the caller continues to wait.
    std::string_view deadline;
    /// In requests: name of the call's rank.
    std::string_view rank;
    /// In requests: number of calls in which the call is nested.
    std::string_view depth;
    /// In requests: the idempotency key.
    std::string_view idempotency_key;
    /// In requests, repeated in responses: the caller's id of the request.
    std::string_view request_id;
    /// In requests to an upstream: the id of the instance that is to run them.
    std::string_view expected_instance;
    /// In responses: the id of the upstream's instance that answers.
    std::string_view instance;
    /// In requests to an upstream: the service that the call comes from.
    std::string_view calling_service;
    /// In requests: the scheme of the Authorization field that carries the key
    /// of the caller's organisation.
    std::string_view key_scheme;
    /// In requests to an upstream: the name of the caller's organisation.
    std::string_view organisation;
    /// In responses: proves that an upstream generated them.
    std::string_view signature;
    /// In refusals: all callers up the call chain must not retry the call.
    std::string_view no_retry;
    /// Whether Retry-After may hold fractions of a second.
    bool fractional_retry_after = false;
    /// Returns whether an upstream states that it did not run the request.
    bool (*states_not_run)(const support::response_head& response) = nullptr;
    /// Returns whether callers take the status as a promise that the request
    /// did not run.
    bool (*promises_not_run)(unsigned status) = nullptr;
    /// Returns the load that a response states, if any.
    std::optional<upstream_load> (*read_load)(
        const support::response_head& response) = nullptr;
    /// Returns what a response states about further calls.
    upstream_demand (*read_demand)(const support::response_head& response) =
        nullptr;
    /// Returns the HTTP status of a refusal.
    unsigned (*refusal_status)(const support::refusal& reason) = nullptr;
};

/// Reads a number of calls per second; returns nullopt if \p text is none.
std::optional<double> parse_calls_per_s(std::string_view text);

/// Returns the caller's id of the request, by which the log identifies the
/// call; empty if there is none.
std::string_view request_id_of(const support::call_head& head,
                               const http_dialect& dialect);

/// Returns the default dialect.
const http_dialect& product_dialect();

} // namespace galenarudder::proxy
