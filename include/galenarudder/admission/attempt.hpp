/// \file
/// An attempt of a call as the gate sees it.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace galenarudder::admission {

/// Names one attempt at the gate: the link it came by (0 for the gate's own
/// entry) and its call id on that link.
struct attempt_key
{
    std::uint64_t link = 0;
    support::call_id id{};

    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding of clang-tidy 14.
    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

struct attempt
{
    attempt_key key;
    std::string rank;
    support::time_point deadline;
    bool repeatable = false;
    /// Whether its entry sends it elsewhere when it is handed back.
    bool movable = false;
};

} // namespace galenarudder::admission
