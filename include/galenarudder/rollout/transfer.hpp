/// \file
/// Transfer of a configuration document between daemons: a JSON patch of a
/// document that the receiver has, the full document, or only the offer of it.
/// Authenticated with the shared keys of the fleet.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace galenarudder::rollout {

/// Identifies one document.
struct document_id
{
    std::uint64_t version = 0;
    /// Hash of the serialized form, in hexadecimal.
    std::string hash;

    friend bool operator==(const document_id&, const document_id&) = default;
};

/// Returns the hash of a serialized document. With it a receiver recognizes a
/// patch that is based on another document.
std::string hash_of(std::string_view serialized);

struct transfer
{
    /// The document that the patch is based on; version 0 for a full document.
    document_id from;
    document_id to;
    /// The JSON patch; the full serialized document if \c from has version 0.
    /// Empty for an offer: the receiver may fetch the document from the sender.
    std::string body;
    /// The sender asks the receiver to watch the store in its place.
    bool asks_to_watch = false;

    bool is_patch() const { return from.version != 0; }
    bool is_offer() const { return body.empty(); }
};

/// Encodes a transfer as one line of JSON with both ids, then the body, so that
/// a receiver that has the document need not parse the body.
std::string encode(const transfer& outgoing);
support::result<transfer> decode_transfer(std::string_view text);

/// Returns the JSON patch (RFC 6902) that turns \p from into \p to, with paths
/// below \p path. An element that is added to an array or removed from it does
/// not change the operations for the elements behind it.
nlohmann::json make_patch(const nlohmann::json& from,
                          const nlohmann::json& to,
                          const nlohmann::json::json_pointer& path);

/// Builds the transfer that turns \p from into \p to: a patch if that is
/// smaller than \p to, otherwise the full document. \p from may be empty.
transfer make_transfer(std::string_view from,
                       std::uint64_t from_version,
                       std::string_view to,
                       std::uint64_t to_version);

/// Applies \p received, a patch, to \p current in its stored form, whose id is
/// \p current_id, and returns the result with its serialized form.
/// Errors: conflict if the patch is based on another document,
/// malformed_message.
support::result<std::pair<nlohmann::json, std::string>>
apply_patch(nlohmann::json current,
            const document_id& current_id,
            const transfer& received);

/// Returns an error unless \p serialized has the hash that \p received states
/// for its result.
support::result<void> check_hash(std::string_view serialized,
                                 const transfer& received);

/// HTTP field of a request: names the encoding that the response may have.
inline constexpr const char* accepted_encoding_field =
    "Galenarudder-Accept-Encoding";
/// HTTP fields of a response: the encoding of its body and the size of the
/// plain body, which is what is signed.
inline constexpr const char* encoding_field = "Galenarudder-Encoding";
inline constexpr const char* plain_size_field = "Galenarudder-Plain-Size";
/// The only encoding: support::compress().
inline constexpr const char* deflate_encoding = "deflate";
/// A larger plain body is refused.
inline constexpr std::size_t max_plain_bytes = 8 * 1024 * 1024;

/// HTTP fields with the key id and the signature.
inline constexpr const char* key_id_field = "Galenarudder-Key-Id";
inline constexpr const char* signature_field = "Galenarudder-Signature";

/// Returns the signature of a transfer in hexadecimal.
std::string sign_transfer(const config::shared_key& key,
                          std::string_view encoded);

/// Verifies that a signature was made with the key \p key_id of \p keys.
support::result<void> verify_transfer(std::span<const config::shared_key> keys,
                                      std::string_view key_id,
                                      std::string_view signature,
                                      std::string_view encoded);

} // namespace galenarudder::rollout
