// JSON patches by nlohmann::json, hashes by xxHash, signatures by HMAC.
#include "galenarudder/rollout/transfer.hpp"

#include "galenarudder/config/schema.hpp"
#include "galenarudder/support/hmac.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace galenarudder::rollout {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr const char* transfer_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["from", "to", "body"],
  "properties": {
    "from": {"$ref": "#/definitions/document"},
    "to": {"$ref": "#/definitions/document"},
    "body": {"type": "string"}
  },
  "definitions": {
    "document": {
      "type": "object",
      "additionalProperties": false,
      "required": ["version", "hash"],
      "properties": {
        "version": {"type": "integer", "minimum": 0},
        "hash": {"type": "string", "maxLength": 64}}}
  }
})";

/// Prefix of the signed text, so that a signature of a datagram under the same
/// key is not valid for a transfer.
constexpr std::string_view signing_context = "galenarudder-configuration\n";

std::string hexadecimal(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string text_to_sign(std::string_view encoded)
{
    return std::string(signing_context) + std::string(encoded);
}

json encode(const document_id& id)
{
    return {{"version", id.version}, {"hash", id.hash}};
}

document_id decode_id(const json& fields)
{
    return {fields.at("version"), fields.at("hash")};
}

error patch_base_mismatch(const transfer& received)
{
    return {error_kind::conflict,
            "the patch is based on another document of version " +
                std::to_string(received.from.version),
            "fetch the full document"};
}

} // namespace

std::string hash_of(std::string_view serialized)
{
    const XXH128_hash_t hash =
        XXH3_128bits(serialized.data(), serialized.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    return hexadecimal(
        {reinterpret_cast<const char*>(canonical.digest), sizeof(canonical)});
}

std::string encode(const transfer& outgoing)
{
    return json{{"from", encode(outgoing.from)},
                {"to", encode(outgoing.to)},
                {"body", outgoing.body}}
        .dump();
}

support::result<transfer> decode_transfer(std::string_view text)
{
    BOOST_OUTCOME_TRY(
        const json fields,
        config::parse_and_check(text, "transfer", transfer_schema));
    transfer received;
    received.from = decode_id(fields.at("from"));
    received.to = decode_id(fields.at("to"));
    received.body = fields.at("body");
    return received;
}

transfer make_transfer(std::string_view from,
                       std::uint64_t from_version,
                       std::string_view to,
                       std::uint64_t to_version)
{
    transfer built;
    built.to = {to_version, hash_of(to)};
    built.body = std::string(to);
    if (from.empty())
        return built;
    const json from_json = json::parse(from, nullptr, false);
    const json to_json = json::parse(to, nullptr, false);
    if (from_json.is_discarded() || to_json.is_discarded())
        return built;
    std::string patch = json::diff(from_json, to_json).dump();
    if (patch.size() >= built.body.size())
        return built;
    built.from = {from_version, hash_of(from)};
    built.body = std::move(patch);
    return built;
}

support::result<std::string> apply_transfer(std::string_view current,
                                            const transfer& received)
{
    std::string rebuilt = received.body;
    if (received.from.version != 0) {
        if (current.empty() || hash_of(current) != received.from.hash)
            return patch_base_mismatch(received);
        try {
            const json patch = json::parse(received.body);
            rebuilt = json::parse(current).patch(patch).dump();
        } catch (const json::exception& patch_error) {
            return error{error_kind::malformed_message,
                         std::string("the patch cannot be applied: ") +
                             patch_error.what(),
                         "fetch the full document"};
        }
    }
    if (hash_of(rebuilt) == received.to.hash)
        return rebuilt;
    return error{error_kind::malformed_message,
                 "the document does not have the hash that the transfer gives "
                 "for version " +
                     std::to_string(received.to.version),
                 "fetch the full document"};
}

std::string sign_transfer(const config::shared_key& key,
                          std::string_view encoded)
{
    return hexadecimal(support::sign(key.secret, text_to_sign(encoded)));
}

support::result<void> verify_transfer(std::span<const config::shared_key> keys,
                                      std::string_view key_id,
                                      std::string_view signature,
                                      std::string_view encoded)
{
    for (const config::shared_key& key : keys) {
        if (key.id != key_id)
            continue;
        // The received and the expected signature are compared through their
        // HMACs, so that the duration of the comparison reveals nothing about
        // them.
        const std::string expected = sign_transfer(key, encoded);
        if (support::verify(key.secret, expected,
                            support::sign(key.secret, signature)))
            return boost::outcome_v2::success();
    }
    return error{
        error_kind::unauthenticated,
        "the signature of the configuration matches none of the shared keys",
        "sign with a key of the daemons' settings: Galenarudder-Key-Id "
        "and Galenarudder-Signature"};
}

} // namespace galenarudder::rollout
