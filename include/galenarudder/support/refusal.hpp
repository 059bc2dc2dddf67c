/// \file
/// Refusals: why a call was not answered, and whether it can have run.
#pragma once

#include "galenarudder/support/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::support {

/// Whether a refused call can have run. `not_run` guarantees that it did not:
/// either no byte of it reached an upstream, or the upstream itself reported
/// that it shed the call.
enum class run_outcome
{
    not_run,
    unknown
};

/// The reason of a refusal.
enum class refusal_kind
{
    no_such_service,
    no_upstream,
    overloaded,
    deadline_exceeded,
    draining,
    upstream_failed,
    upstream_shed,
    link_broken,
    already_running,
    store_unavailable,
    malformed_request,
    body_too_large,
    too_deep,
    canceled,
    /// An earlier call with the same idempotency key was answered, but its
    /// response was too large to be stored for replay.
    answer_not_kept,
    head_too_large,
    request_timeout,
    /// The upstream is in a slowdown; another upstream may be faster.
    slow_spell,
    /// The limit that the upstream states leaves no room for the call.
    rate_limited,
    /// The call has no key of an organisation.
    unknown_key,
    /// The limit of the caller's organisation leaves no room for the call.
    organisation_limit,
};

/// A refusal, as sent between daemons and to the caller.
struct refusal
{
    refusal_kind kind = refusal_kind::upstream_failed;
    run_outcome outcome = run_outcome::not_run;
    /// Whether retries of the call are used up or not allowed. Services further
    /// up the call chain then don't retry either, so that retries don't
    /// multiply.
    bool retry_exhausted = false;
    /// Time after which the caller may retry; 0 if none is stated.
    milliseconds retry_after{0};
    /// Description for operators.
    std::string detail;
};

/// Returns the name that is used between daemons, in the log and in metrics.
std::string_view to_string(run_outcome outcome);
std::string_view to_string(refusal_kind kind);

/// Return the value of that name, or std::nullopt if the name is unknown.
std::optional<refusal_kind> parse_refusal_kind(std::string_view name);
std::optional<run_outcome> parse_run_outcome(std::string_view name);

/// Returns what the caller can do about a refusal of this kind.
std::string_view remedy(refusal_kind kind);

/// Returns the HTTP status code of a refusal of this kind.
unsigned http_status(refusal_kind kind);

} // namespace galenarudder::support
