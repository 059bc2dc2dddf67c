/// \file
/// Compare-and-swap that determines its outcome even when answers are lost.
#pragma once

#include "galenarudder/store/platform_store.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace galenarudder::store {

/// A compare-and-swap of a value that contains a unique change id.
struct resolvable_swap
{
    std::string key;
    std::string value;
    change_index expected_index;
    /// Empty when the key is not tied to a lease.
    std::string lease;
    /// Returns whether a value that was read back is the written one or a later
    /// one based on it.
    std::function<bool(std::string_view value)> contains_change;
    /// Timeout of each call to the store.
    support::duration timeout = support::milliseconds(1000);
    /// Swaps that are sent before the operation ends with
    /// store_outcome_unknown.
    unsigned max_swaps = 3;
};

/// Performs the swap, and reads the key back when the answer is lost. An
/// unchanged value is swapped again: the expected index makes that idempotent,
/// so that at most one of this write and an earlier swap that is still in
/// flight takes effect. Ends with store_outcome_unknown if the key cannot be
/// read back or is unchanged after \c max_swaps swaps.
void resolve_swap(platform_store& store,
                  resolvable_swap request,
                  callback<swap_outcome> done);

} // namespace galenarudder::store
