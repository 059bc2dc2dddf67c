// The table of refusal kinds with name, HTTP status and remedy. Its order is
// that of refusal_kind.
#include "galenarudder/support/refusal.hpp"

#include <array>

namespace galenarudder::support {

namespace {

struct refusal_properties
{
    refusal_kind kind;
    std::string_view name;
    unsigned status;
    std::string_view remedy;
};

constexpr std::array<refusal_properties, 21> refusal_table = {{
    {refusal_kind::no_such_service, "no-such-service", 404,
     "name a service of the configuration in Host or the first path segment"},
    {refusal_kind::no_upstream, "no-upstream", 503,
     "retry after Retry-After; an operator checks galenarudderctl members"},
    {refusal_kind::overloaded, "overloaded", 503,
     "retry after Retry-After with jitter; do not retry at once"},
    {refusal_kind::deadline_exceeded, "deadline-exceeded", 504,
     "allow more time in Galenarudder-Deadline-Ms or retry later"},
    {refusal_kind::draining, "draining", 503,
     "retry; another upstream takes the call"},
    {refusal_kind::upstream_failed, "upstream-failed", 502,
     "check whether the call ran before repeating it"},
    {refusal_kind::upstream_shed, "upstream-shed", 503,
     "retry after Retry-After"},
    {refusal_kind::link_broken, "link-broken", 502,
     "check whether the call ran before repeating it"},
    {refusal_kind::already_running, "already-running", 409,
     "wait for the first call with this Idempotency-Key and ask again"},
    {refusal_kind::store_unavailable, "store-unavailable", 503,
     "retry after Retry-After; keyed calls need the platform's store"},
    {refusal_kind::malformed_request, "malformed-request", 400,
     "correct the request"},
    {refusal_kind::body_too_large, "body-too-large", 413,
     "send a body within the limit of the route"},
    {refusal_kind::too_deep, "too-deep", 508,
     "check for a loop of calls between services"},
    {refusal_kind::canceled, "canceled", 499, "none; the caller went away"},
    {refusal_kind::answer_not_kept, "answer-not-kept", 409,
     "the call ran once; read its result from the service"},
    {refusal_kind::head_too_large, "head-too-large", 431,
     "send fewer or shorter fields"},
    {refusal_kind::request_timeout, "request-timeout", 408,
     "send the whole request without pauses"},
    {refusal_kind::slow_spell, "slow-spell", 503,
     "retry; another upstream takes the call"},
    {refusal_kind::rate_limited, "rate-limited", 503,
     "retry after Retry-After; the upstream states how many calls it takes"},
    {refusal_kind::unknown_key, "unknown-key", 401,
     "send a key of an organisation in the Authorization field"},
    {refusal_kind::organisation_limit, "organisation-limit", 429,
     "retry after Retry-After; an operator may raise the organisation's limit"},
}};

const refusal_properties& properties_of(refusal_kind kind)
{
    return refusal_table.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view to_string(run_outcome outcome)
{
    return outcome == run_outcome::not_run ? "not-run" : "unknown";
}

std::string_view to_string(refusal_kind kind)
{
    return properties_of(kind).name;
}

std::optional<refusal_kind> parse_refusal_kind(std::string_view name)
{
    for (const refusal_properties& properties : refusal_table) {
        if (properties.name == name)
            return properties.kind;
    }
    return std::nullopt;
}

std::optional<run_outcome> parse_run_outcome(std::string_view name)
{
    if (name == to_string(run_outcome::not_run))
        return run_outcome::not_run;
    if (name == to_string(run_outcome::unknown))
        return run_outcome::unknown;
    return std::nullopt;
}

std::string_view remedy(refusal_kind kind)
{
    return properties_of(kind).remedy;
}

unsigned http_status(refusal_kind kind)
{
    return properties_of(kind).status;
}

} // namespace galenarudder::support
