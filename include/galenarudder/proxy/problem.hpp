/// \file
/// Refusals as problem documents (RFC 9457).
#pragma once

#include "galenarudder/support/refusal.hpp"

#include <string>

namespace galenarudder::proxy {

/// Media type of a problem document.
inline constexpr const char* problem_type = "application/problem+json";

/// Writes kind, outcome, remedy, status and detail.
std::string problem_json(const support::refusal& why);

} // namespace galenarudder::proxy
