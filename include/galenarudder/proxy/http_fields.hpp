/// \file
/// Names of the HTTP fields of the default dialect, and rules for forwarding
/// fields.
#pragma once

#include "galenarudder/support/call.hpp"

#include <string_view>
#include <vector>

namespace galenarudder::proxy {

inline constexpr std::string_view rank_field = "Galenarudder-Rank";
inline constexpr std::string_view deadline_field = "Galenarudder-Deadline-Ms";
inline constexpr std::string_view depth_field = "Galenarudder-Depth";
inline constexpr std::string_view key_field = "Idempotency-Key";
/// On a request to an upstream: the name of the caller's organisation.
inline constexpr std::string_view organisation_field =
    "Galenarudder-Organisation";
/// On a refusal: all callers up the call chain must not retry the call.
inline constexpr std::string_view no_retry_field = "Galenarudder-No-Retry";
/// On a 503 response of an upstream: `not-run` states that the upstream shed
/// the call without running it.
inline constexpr std::string_view outcome_field = "Galenarudder-Outcome";

/// On a response of an upstream: the calls per second that it takes from all
/// callers together, for as long as its responses state it.
inline constexpr std::string_view limit_field = "Galenarudder-Limit";
/// On a response of an upstream: `1` states that it leaves and takes no new
/// calls.
inline constexpr std::string_view leaving_field = "Galenarudder-Leaving";

/// On a response that was recorded for an earlier call with the same key.
inline constexpr std::string_view replayed_field = "Galenarudder-Replayed";

/// Returns whether two field names are equal, ignoring case.
bool same_field(std::string_view left, std::string_view right);

/// Returns whether a field is not forwarded: a hop-by-hop field (RFC 9110,
/// section 7.6.1), or Content-Length or Expect, which this daemon sets or
/// handles itself.
bool is_hop_by_hop(std::string_view name);

/// Returns the value of the first field with that name, or an empty view.
std::string_view find_field(const std::vector<support::header_field>& fields,
                            std::string_view name);

} // namespace galenarudder::proxy
