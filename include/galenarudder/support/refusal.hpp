/// \file
/// Truthful refusals: why a call was not answered and whether it ran.
#pragma once

#include "galenarudder/support/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace galenarudder::support {

/// Whether a refused call can have run. `not_run` is stated only when no byte
/// reached an upstream or the upstream itself said that it shed the call.
enum class run_outcome
{
    not_run,
    unknown
};

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
    /// An earlier call with the same idempotency key was answered; the answer
    /// is too large to be given again.
    answer_not_kept,
    head_too_large,
    request_timeout,
    /// The upstream works slowly for a moment and another one may not.
    slow_spell,
};

/// A refusal as sent to the caller and between daemons.
struct refusal
{
    refusal_kind kind = refusal_kind::upstream_failed;
    run_outcome outcome = run_outcome::not_run;
    /// Set once a refusal for overload was retried, or must not be, so that
    /// callers above do not multiply retries.
    bool retry_exhausted = false;
    milliseconds retry_after{0};
    /// What happened, for people.
    std::string detail;
};

std::string_view to_string(run_outcome outcome);
std::string_view to_string(refusal_kind kind);
std::optional<refusal_kind> refusal_kind_from(std::string_view name);
std::optional<run_outcome> run_outcome_from(std::string_view name);

/// What the caller can do about it.
std::string_view remedy(refusal_kind kind);

/// The HTTP status that carries a refusal of this kind.
unsigned http_status(refusal_kind kind);

} // namespace galenarudder::support
