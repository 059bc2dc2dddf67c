/// \file
/// A configuration handed from daemon to daemon: a JSON patch against a
/// version that the receiver holds, or the whole document. Authenticated with
/// the fleet's shared keys.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace galenarudder::rollout {

/// Names one stored document.
struct document_id
{
    std::uint64_t version = 0;
    /// Hash of the stored form in hexadecimal.
    std::string hash;

    friend bool operator==(const document_id&, const document_id&) = default;
};

/// Returns the hash of a stored form; it detects a wrong base of a patch.
std::string hash_of(std::string_view stored);

struct transfer
{
    /// The document that the patch starts from; version 0 for none.
    document_id from;
    document_id to;
    /// Patch as JSON text, or the whole stored form when \c from is none.
    std::string body;
};

std::string encode(const transfer& sent);
support::result<transfer> decode_transfer(std::string_view text);

/// Builds the transfer from \p from to \p to, as a patch where that is
/// smaller. \p from may be empty.
transfer make_transfer(std::string_view from,
                       std::uint64_t from_version,
                       std::string_view to,
                       std::uint64_t to_version);

/// Applies \p received to the stored form held; conflict when the patch
/// starts from another document.
support::result<std::string> apply_transfer(std::string_view held,
                                            const transfer& received);

/// HTTP fields that carry the key's id and the signature.
inline constexpr const char* key_id_field = "Galenarudder-Key-Id";
inline constexpr const char* signature_field = "Galenarudder-Signature";

/// Returns the signature of a transfer in hexadecimal.
std::string sign_transfer(const config::shared_key& key,
                          std::string_view encoded);

/// Checks a signature made with any of \p keys.
support::result<void> verify_transfer(std::span<const config::shared_key> keys,
                                      std::string_view key_id,
                                      std::string_view signature,
                                      std::string_view encoded);

} // namespace galenarudder::rollout
