/// \file
/// Names of the product's own HTTP fields and rules for passing fields on.
#pragma once

#include "galenarudder/support/call.hpp"

#include <string_view>
#include <vector>

namespace galenarudder::proxy {

inline constexpr std::string_view rank_field = "Galenarudder-Rank";
inline constexpr std::string_view deadline_field = "Galenarudder-Deadline-Ms";
inline constexpr std::string_view depth_field = "Galenarudder-Depth";
inline constexpr std::string_view key_field = "Idempotency-Key";
/// On a refusal: the callers above must not retry it.
inline constexpr std::string_view no_retry_field = "Galenarudder-No-Retry";
/// On an upstream's 503: `not-run` states that the upstream shed the call.
inline constexpr std::string_view outcome_field = "Galenarudder-Outcome";

/// On an answer that was recorded for an earlier call with the same key.
inline constexpr std::string_view replayed_field = "Galenarudder-Replayed";

/// Whether two field names are the same, ignoring case.
bool same_field(std::string_view left, std::string_view right);

/// Whether a field belongs to one connection and is not passed on.
bool is_hop_by_hop(std::string_view name);

/// Returns the value of the first field of that name, or an empty view.
std::string_view find_field(const std::vector<support::header_field>& fields,
                            std::string_view name);

} // namespace galenarudder::proxy
