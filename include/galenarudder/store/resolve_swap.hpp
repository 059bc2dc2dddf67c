/// \file
/// Compare-and-swap whose outcome is found out even when answers are lost.
#pragma once

#include "galenarudder/store/platform_store.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace galenarudder::store {

/// A swap whose value carries a unique change id.
struct resolvable_swap
{
    std::string key;
    std::string value;
    std::uint64_t expected_index = 0;
    /// Empty when the key is not tied to a lease.
    std::string lease;
    /// Whether a value read back is the written one or built upon it.
    std::function<bool(std::string_view value)> contains_change;
    /// Of each single call to the store.
    support::duration timeout = support::milliseconds(1000);
    /// Swaps sent before the outcome is given up as unknown.
    unsigned attempts = 3;
};

/// Swaps, and reads back whenever the answer is lost. A value found unchanged
/// is swapped again: the expected index makes that idempotent, and decides
/// between this write and a former attempt that is still on its way. Ends with
/// store_outcome_unknown only while the store cannot be read.
void resolve_swap(platform_store& platform,
                  resolvable_swap wanted,
                  callback<swap_outcome> done);

} // namespace galenarudder::store
