// Digests by OpenSSL. The order of the entries depends only on the first eight
// bytes of a digest; the comparison that decides takes constant time.
#include "key_index.hpp"

#include "galenarudder/support/pause_point.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <unordered_set>

namespace galenarudder::organisations {

static_assert(digest_bytes == SHA256_DIGEST_LENGTH);

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

std::uint64_t prefix_of(std::string_view digest)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof prefix);
    return prefix;
}

} // namespace

std::string digest_of(std::string_view key)
{
    std::string digest(digest_bytes, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
           reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

std::string to_hex(std::string_view digest)
{
    std::string text;
    text.reserve(digest.size() * 2);
    for (const char character : digest) {
        const auto byte = static_cast<unsigned char>(character);
        text += hex_digits[byte >> 4];
        text += hex_digits[byte & 15];
    }
    return text;
}

std::string from_hex(std::string_view text)
{
    if (text.size() != digest_bytes * 2 ||
        text.find_first_not_of(hex_digits) != std::string_view::npos)
        return {};
    std::string digest;
    digest.reserve(digest_bytes);
    for (std::size_t index = 0; index < text.size(); index += 2) {
        digest += static_cast<char>(hex_digits.find(text[index]) * 16 +
                                    hex_digits.find(text[index + 1]));
    }
    return digest;
}

key_index::key_index(organisation_list organisations)
{
    for (const auto& organisation : organisations) {
        support::pause_point();
        for (const std::string& digest : organisation->key_digests) {
            // A digest of another size stands for no key.
            if (digest.size() != digest_bytes)
                continue;
            entries_.push_back(
                {prefix_of(digest), &digest, organisation.get()});
        }
    }
    std::sort(entries_.begin(), entries_.end(), precedes);
}

key_index::key_index(const key_index& earlier,
                     organisation_list removed,
                     organisation_list added)
{
    // By name, since the earlier organisations may have been read apart from
    // the rows that the caller compared.
    std::unordered_set<std::string_view> removed_names;
    for (const auto& organisation : removed)
        removed_names.insert(organisation->name);
    std::vector<entry> kept;
    kept.reserve(earlier.size());
    for (const entry& listed : earlier.entries_) {
        if (!removed_names.contains(listed.organisation->name))
            kept.push_back(listed);
    }
    support::pause_point();
    const key_index changed(added);
    entries_.reserve(kept.size() + changed.size());
    std::merge(kept.begin(), kept.end(), changed.entries_.begin(),
               changed.entries_.end(), std::back_inserter(entries_), precedes);
}

bool key_index::precedes(const entry& left, const entry& right)
{
    return left.prefix != right.prefix ? left.prefix < right.prefix
                                       : *left.digest < *right.digest;
}

const config::organisation_policy* key_index::find(std::string_view key) const
{
    const std::string digest = digest_of(key);
    const std::uint64_t prefix = prefix_of(digest);
    auto candidate =
        std::lower_bound(entries_.begin(), entries_.end(), prefix,
                         [](const entry& listed, std::uint64_t searched) {
                             return listed.prefix < searched;
                         });
    for (; candidate != entries_.end() && candidate->prefix == prefix;
         ++candidate) {
        if (CRYPTO_memcmp(candidate->digest->data(), digest.data(),
                          digest_bytes) == 0)
            return candidate->organisation;
    }
    return nullptr;
}

bool key_index::has_duplicates() const
{
    return std::adjacent_find(entries_.begin(), entries_.end(),
                              [](const entry& left, const entry& right) {
                                  return left.prefix == right.prefix &&
                                         *left.digest == *right.digest;
                              }) != entries_.end();
}

std::shared_ptr<const key_index> make_key_index(organisation_list organisations)
{
    return organisations.empty()
               ? nullptr
               : std::make_shared<const key_index>(organisations);
}

} // namespace galenarudder::organisations
