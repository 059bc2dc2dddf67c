/// \file
/// The elements to remove from one array and to add, so that it becomes another
/// one. An element that is added or removed does not touch those behind it.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace galenarudder::rollout {

struct array_edit
{
    /// Positions in the first array, the last one first.
    std::vector<std::size_t> removed;
    /// Positions in the second array, the first one first.
    std::vector<std::size_t> added;
};

/// Returns an edit that leaves a longest common subsequence in place, if no
/// element occurs twice. Elements are given by numbers; equal elements have
/// equal numbers.
array_edit edit_between(std::span<const std::size_t> from,
                        std::span<const std::size_t> to);

} // namespace galenarudder::rollout
