/// \file
/// The order of members in which they watch and ask the store.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace galenarudder::rollout {

/// Hash of a member's id; the members with the lowest hashes of each failure
/// domain watch the store.
inline std::uint64_t watcher_hash(std::string_view member)
{
    return XXH3_64bits(member.data(), member.size());
}

} // namespace galenarudder::rollout
