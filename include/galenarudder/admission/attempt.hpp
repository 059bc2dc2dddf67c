/// \file
/// One attempt of a call, as a gate receives it.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace galenarudder::admission {

/// Identifies an attempt at the gate by the link on which it arrived (0 for
/// the entry in the same process) and its attempt id on that link.
struct attempt_key
{
    std::uint64_t link = 0;
    support::attempt_id id{};

    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding of clang-tidy 14.
    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

/// An attempt and the properties on which its admission depends.
struct attempt
{
    attempt_key key;
    std::string rank;
    support::time_point deadline;
    /// Whether the call may run more than once. Only then is a running attempt
    /// aborted.
    bool repeatable = false;
    /// Whether the gate may hand it back, because its entry can send it to
    /// another upstream.
    bool may_hand_back = false;
    /// Name of the caller's organisation; empty if it has none.
    std::string organisation;
    /// Whether it goes before the calls of its rank that are not nested, since
    /// its parent holds a slot until it ends.
    bool nested = false;
    /// When the call is late; max() if that is not known.
    support::time_point in_time_until = support::time_point::max();
};

} // namespace galenarudder::admission
