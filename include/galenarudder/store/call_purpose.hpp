/// \file
/// What calls of the store are made for, so that operators can see which part
/// of the system causes them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace galenarudder::store {

enum class call_operation
{
    read,
    write,
    watch,
    lease
};

enum class call_purpose
{
    /// Find other members.
    introducers,
    /// Become an introducer: the write of the slot.
    introducer_slot,
    configuration_read,
    configuration_watch,
    /// Write a newer configuration back to a store that was set back.
    configuration_restore,
    /// Grant, renew or revoke the lease of a slot.
    lease,
    /// Claims of idempotency keys.
    claims,
    /// Read which failure domains operators have emptied.
    emptied_domains
};

inline constexpr std::size_t call_purpose_count = 8;

std::string_view to_string(call_purpose purpose);

/// Returns the purpose of a call that concerns \p key, or of one without a key.
call_purpose purpose_of(call_operation operation, std::string_view key = {});

/// Calls since the start of the process.
struct purpose_counts
{
    std::uint64_t sent = 0;
    /// Those of \c sent that allowed an answer that is some seconds old.
    std::uint64_t may_be_stale = 0;
    /// Those of \c sent that got no answer or were turned away.
    std::uint64_t failed = 0;
};

using call_counts = std::array<purpose_counts, call_purpose_count>;

} // namespace galenarudder::store
