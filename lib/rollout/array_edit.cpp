// Equal elements are paired in order; a longest increasing subsequence of the
// pairs stays.
#include "galenarudder/rollout/array_edit.hpp"

#include "galenarudder/support/pause_point.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <unordered_map>

namespace galenarudder::rollout {

namespace {

/// A pair of equal elements, by their positions in two arrays.
struct equal_pair
{
    std::size_t from = 0;
    std::size_t to = 0;
};

/// Pairs each element of \p from, in order, with the first equal element of
/// \p to that is not paired yet.
std::vector<equal_pair> pair_equal_elements(std::span<const std::size_t> from,
                                            std::span<const std::size_t> to)
{
    // The last position comes first.
    std::unordered_map<std::size_t, std::vector<std::size_t>> positions;
    for (std::size_t position = to.size(); position-- > 0;) {
        support::pause_point();
        positions[to[position]].push_back(position);
    }
    std::vector<equal_pair> pairs;
    for (std::size_t position = 0; position < from.size(); ++position) {
        support::pause_point();
        const auto found = positions.find(from[position]);
        if (found == positions.end() || found->second.empty())
            continue;
        pairs.push_back({position, found->second.back()});
        found->second.pop_back();
    }
    return pairs;
}

/// Returns a longest subsequence of \p pairs whose positions increase in both
/// arrays. These elements can stay while the others are removed or added.
std::vector<equal_pair> longest_increasing(const std::vector<equal_pair>& pairs)
{
    constexpr std::size_t none = std::numeric_limits<std::size_t>::max();
    // The end of the best subsequence of each length, and what precedes it.
    std::vector<std::size_t> ends;
    std::vector<std::size_t> previous(pairs.size(), none);
    for (std::size_t index = 0; index < pairs.size(); ++index) {
        const auto length =
            std::lower_bound(ends.begin(), ends.end(), pairs[index].to,
                             [&](std::size_t end, std::size_t to) {
                                 return pairs[end].to < to;
                             });
        if (length != ends.begin())
            previous[index] = *std::prev(length);
        if (length == ends.end())
            ends.push_back(index);
        else
            *length = index;
    }
    std::vector<equal_pair> longest;
    for (std::size_t index = ends.empty() ? none : ends.back(); index != none;
         index = previous[index])
        longest.push_back(pairs[index]);
    std::reverse(longest.begin(), longest.end());
    return longest;
}

} // namespace

array_edit edit_between(std::span<const std::size_t> from,
                        std::span<const std::size_t> to)
{
    std::vector<bool> kept_in_from(from.size(), false);
    std::vector<bool> kept_in_to(to.size(), false);
    for (const equal_pair& kept :
         longest_increasing(pair_equal_elements(from, to))) {
        kept_in_from[kept.from] = true;
        kept_in_to[kept.to] = true;
    }
    array_edit edit;
    for (std::size_t position = from.size(); position-- > 0;) {
        if (!kept_in_from[position])
            edit.removed.push_back(position);
    }
    for (std::size_t position = 0; position < to.size(); ++position) {
        if (!kept_in_to[position])
            edit.added.push_back(position);
    }
    return edit;
}

} // namespace galenarudder::rollout
