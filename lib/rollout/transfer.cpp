// JSON patches by nlohmann::json, hashes by xxHash, signatures by HMAC.
#include "galenarudder/rollout/transfer.hpp"

#include "galenarudder/config/json_text.hpp"
#include "galenarudder/config/schema.hpp"
#include "galenarudder/rollout/array_edit.hpp"
#include "galenarudder/support/hmac.hpp"
#include "galenarudder/support/json.hpp"
#include "galenarudder/support/pause_point.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <vector>

namespace galenarudder::rollout {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr const char* transfer_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["from", "to"],
  "properties": {
    "from": {"$ref": "#/definitions/document"},
    "to": {"$ref": "#/definitions/document"},
    "watch": {"type": "boolean"}
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

/// Ends the ids of an encoded transfer. JSON text without indentation does not
/// contain it.
constexpr char ids_end = '\n';

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

void add_operations(const json& from,
                    const json& to,
                    const json::json_pointer& path,
                    json& operations);

void add_object_operations(const json& from,
                           const json& to,
                           const json::json_pointer& path,
                           json& operations)
{
    for (const auto& [key, value] : from.items()) {
        const auto kept = to.find(key);
        if (kept != to.end())
            add_operations(value, *kept, path / key, operations);
        else
            operations.push_back(
                {{"op", "remove"}, {"path", (path / key).to_string()}});
    }
    for (const auto& [key, value] : to.items()) {
        if (from.contains(key))
            continue;
        operations.push_back({{"op", "add"},
                              {"path", (path / key).to_string()},
                              {"value", value}});
    }
}

void add_array_operations(const json& from,
                          const json& to,
                          const json::json_pointer& path,
                          json& operations)
{
    const auto first_difference =
        std::mismatch(from.begin(), from.end(), to.begin(), to.end());
    const auto begin = static_cast<std::size_t>(
        std::distance(from.begin(), first_difference.first));
    std::unordered_map<json, std::size_t> numbers;
    const auto number_elements = [&](const json& array) {
        std::vector<std::size_t> elements;
        for (std::size_t position = begin; position < array.size();
             ++position) {
            support::pause_point();
            elements.push_back(
                numbers.emplace(array[position], numbers.size()).first->second);
        }
        return elements;
    };
    const array_edit edit =
        edit_between(number_elements(from), number_elements(to));
    for (const std::size_t position : edit.removed)
        operations.push_back(
            {{"op", "remove"},
             {"path", (path / (begin + position)).to_string()}});
    for (const std::size_t position : edit.added) {
        support::pause_point();
        operations.push_back({{"op", "add"},
                              {"path", (path / (begin + position)).to_string()},
                              {"value", to[begin + position]}});
    }
}

void add_operations(const json& from,
                    const json& to,
                    const json::json_pointer& path,
                    json& operations)
{
    if (from.is_object() && to.is_object())
        return add_object_operations(from, to, path, operations);
    if (from.is_array() && to.is_array())
        return add_array_operations(from, to, path, operations);
    if (from == to)
        return;
    operations.push_back(
        {{"op", "replace"}, {"path", path.to_string()}, {"value", to}});
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
    json ids = {{"from", encode(outgoing.from)}, {"to", encode(outgoing.to)}};
    if (outgoing.asks_to_watch)
        ids["watch"] = true;
    std::string encoded = ids.dump();
    encoded += ids_end;
    encoded += outgoing.body;
    return encoded;
}

support::result<transfer> decode_transfer(std::string_view text)
{
    const std::size_t end = std::min(text.find(ids_end), text.size());
    BOOST_OUTCOME_TRY(const json ids,
                      config::parse_and_check(text.substr(0, end), "transfer",
                                              transfer_schema));
    transfer received;
    received.from = decode_id(ids.at("from"));
    received.to = decode_id(ids.at("to"));
    received.asks_to_watch = ids.value("watch", false);
    if (end < text.size())
        received.body = std::string(text.substr(end + 1));
    return received;
}

json make_patch(const json& from,
                const json& to,
                const json::json_pointer& path)
{
    json operations = json::array();
    add_operations(from, to, path, operations);
    return operations;
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
    const auto from_json = support::parse_json(from);
    const auto to_json = support::parse_json(to);
    if (!from_json || !to_json)
        return built;
    std::string patch =
        make_patch(from_json.value(), to_json.value(), json::json_pointer())
            .dump();
    if (patch.size() >= built.body.size())
        return built;
    built.from = {from_version, hash_of(from)};
    built.body = std::move(patch);
    return built;
}

support::result<std::pair<json, std::string>> apply_patch(
    json current, const document_id& current_id, const transfer& received)
{
    if (current_id.hash != received.from.hash)
        return patch_base_mismatch(received);
    const auto operations = support::parse_json(received.body);
    if (!operations) {
        return error{error_kind::malformed_message,
                     "the patch cannot be applied: " +
                         describe(operations.error()),
                     "fetch the full document"};
    }
    try {
        support::pause_point();
        current.patch_inplace(operations.value());
        support::pause_point();
    } catch (const json::exception& patch_error) {
        return error{error_kind::malformed_message,
                     std::string("the patch cannot be applied: ") +
                         patch_error.what(),
                     "fetch the full document"};
    }
    std::string serialized;
    config::append_json(current, serialized);
    BOOST_OUTCOME_TRYV(check_hash(serialized, received));
    return std::pair(std::move(current), std::move(serialized));
}

support::result<void> check_hash(std::string_view serialized,
                                 const transfer& received)
{
    if (hash_of(serialized) == received.to.hash)
        return boost::outcome_v2::success();
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
