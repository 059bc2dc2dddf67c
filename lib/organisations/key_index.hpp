/// \file
/// Finds the organisation of a key that a caller presents. Keys are known only
/// by their SHA-256 digests.
#pragma once

#include "galenarudder/config/configuration.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::organisations {

/// Size of the digest of a key in bytes.
inline constexpr std::size_t digest_bytes = 32;

using organisation_list =
    std::span<const std::shared_ptr<const config::organisation_policy>>;

/// Returns the SHA-256 digest of \p key, in bytes.
std::string digest_of(std::string_view key);

/// Convert between a digest and its lower-case hexadecimal text. from_hex
/// expects a text of that form and returns an empty digest for any other.
std::string to_hex(std::string_view digest);
std::string from_hex(std::string_view text);

/// The keys of one version's organisations. It is immutable, so any number of
/// threads may read it. It refers to the organisations, which must outlive it.
///
/// Building it from N keys takes O(N log N) and 24 bytes a key; from an earlier
/// one and M changed keys, O(N + M log M). A lookup takes one SHA-256 of the
/// presented key, a binary search and, mostly, one comparison of digests.
class key_index
{
public:
    explicit key_index(organisation_list organisations);
    /// Makes the index of the organisations of \p earlier without those that
    /// have the name of one of \p removed, and of \p added.
    key_index(const key_index& earlier,
              organisation_list removed,
              organisation_list added);

    /// Returns the organisation with \p key, or null. What the time of a lookup
    /// tells about a digest does not help to find a key with that digest.
    const config::organisation_policy* find(std::string_view key) const;

    /// Returns whether two organisations have the same key, or one has a key
    /// twice.
    bool has_duplicates() const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        /// The first bytes of the digest, by which the entries are sorted.
        std::uint64_t prefix = 0;
        const std::string* digest = nullptr;
        const config::organisation_policy* organisation = nullptr;
    };

    static bool precedes(const entry& left, const entry& right);

    std::vector<entry> entries_;
};

/// Returns the index of \p organisations; null if there are none.
std::shared_ptr<const key_index>
make_key_index(organisation_list organisations);

} // namespace galenarudder::organisations
