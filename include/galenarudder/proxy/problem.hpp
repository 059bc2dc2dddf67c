/// \file
/// Refusals as problem documents (RFC 9457).
#pragma once

#include "galenarudder/support/refusal.hpp"

#include <string>

namespace galenarudder::proxy {

/// Media type of problem documents.
inline constexpr const char* problem_media_type = "application/problem+json";

/// Returns a problem document with kind, outcome, remedy, status and detail of
/// a refusal.
std::string problem_json(const support::refusal& reason);

} // namespace galenarudder::proxy
