// Encodes a shard in CBOR: the id of the change and an array for each claim.
#include "galenarudder/once/claim_shard.hpp"

#include "galenarudder/support/json.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <cstdio>

namespace galenarudder::once {

using nlohmann::json;

namespace {

constexpr std::string_view format_name = "galenarudder-claims-1";
constexpr std::size_t digest_bytes = 32;

json::binary_t to_binary(std::string_view bytes)
{
    return json::binary_t(
        std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string from_binary(const json& value)
{
    const json::binary_t& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

json write_record(const std::string& digest, const claim_record& record)
{
    json fields =
        json::array({to_binary(digest), record.token,
                     static_cast<int>(record.state), record.expires_ms});
    if (record.state == claim_state::answered) {
        fields.push_back(record.outcome.status);
        fields.push_back(record.outcome.body_kept);
    }
    if (record.outcome.body_kept) {
        fields.push_back(to_binary(record.outcome.content_type));
        fields.push_back(to_binary(record.outcome.body));
    }
    return fields;
}

claim_record read_record(const json& fields)
{
    claim_record record;
    record.token = fields.at(1);
    const int state = fields.at(2);
    if (state < 0 || state > static_cast<int>(claim_state::unknown))
        throw json::other_error::create(501, "unknown claim state", nullptr);
    record.state = static_cast<claim_state>(state);
    record.expires_ms = fields.at(3);
    if (record.state != claim_state::answered)
        return record;
    record.outcome.status = fields.at(4);
    record.outcome.body_kept = fields.at(5);
    if (!record.outcome.body_kept)
        return record;
    record.outcome.content_type = from_binary(fields.at(6));
    record.outcome.body = from_binary(fields.at(7));
    return record;
}

support::error malformed(const std::string& detail)
{
    return {support::error_kind::invalid_document,
            "a stored shard of idempotency claims is malformed: " + detail,
            "find out which other program writes below galenarudder/claims"};
}

} // namespace

std::string claim_digest(std::string_view service, std::string_view key)
{
    std::string text(service);
    text += '\0';
    text += key;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return {digest.begin(), digest.begin() + digest_bytes};
}

shard_id shard_of(std::string_view digest)
{
    static_assert(shard_count == 256, "one byte of the digest is used");
    return static_cast<shard_id>(static_cast<unsigned char>(digest.front()));
}

std::string shard_key(shard_id shard)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "galenarudder/claims/%03u",
                  static_cast<unsigned>(shard));
    return text.data();
}

support::result<claim_shard> claim_shard::decode(std::string_view text)
{
    claim_shard shard;
    if (text.empty())
        return shard;
    try {
        const auto document = support::parse_cbor(text);
        if (!document)
            return malformed("it is not CBOR");
        if (document->at("format") != format_name)
            return malformed("its format is not galenarudder-claims-1");
        for (const json& fields : document->at("claims"))
            shard.put(from_binary(fields.at(0)), read_record(fields));
        return shard;
    } catch (const json::exception& failure) {
        return malformed(failure.what());
    }
}

std::string claim_shard::encode(std::string_view change_id) const
{
    json claims = json::array();
    for (const auto& [digest, record] : claims_)
        claims.push_back(write_record(digest, record));
    const json document = {{"format", format_name},
                           {"change", change_id},
                           {"claims", std::move(claims)}};
    std::string text;
    json::to_cbor(document, text);
    return text;
}

const claim_record* claim_shard::find(std::string_view digest) const
{
    const auto found = claims_.find(digest);
    return found == claims_.end() ? nullptr : &found->second;
}

void claim_shard::put(const std::string& digest, claim_record record)
{
    claims_[digest] = std::move(record);
}

void claim_shard::erase(const std::string& digest)
{
    claims_.erase(digest);
}

std::size_t claim_shard::drop_expired(std::uint64_t wall_ms)
{
    return std::erase_if(claims_, [&](const auto& claim) {
        return claim.second.expires_ms + max_clock_skew_ms <= wall_ms;
    });
}

} // namespace galenarudder::once
