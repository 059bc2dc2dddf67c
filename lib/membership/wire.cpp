// Encodes, signs, verifies and decodes datagrams. Every received value is
// checked for type, range and length.
#include "galenarudder/membership/wire.hpp"

#include "galenarudder/support/hmac.hpp"
#include "galenarudder/support/json.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cassert>

namespace galenarudder::membership {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr char frame_format_version = 1;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_address_bytes = 45;
constexpr std::size_t max_key_id_bytes = 32;
constexpr std::size_t max_updates_per_list = 128;

/// Thrown for a value that is well-formed CBOR but violates the protocol.
struct invalid_value
{
};

const json& element(const json& list, std::size_t position)
{
    if (!list.is_array() || position >= list.size())
        throw invalid_value();
    return list[position];
}

std::uint64_t decode_number(const json& value, std::uint64_t limit)
{
    if (!value.is_number_unsigned())
        throw invalid_value();
    const auto parsed = value.get<std::uint64_t>();
    if (parsed > limit)
        throw invalid_value();
    return parsed;
}

std::uint64_t decode_any_number(const json& value)
{
    return decode_number(value, UINT64_MAX);
}

std::uint64_t decode_incarnation(const json& value)
{
    return decode_number(value, max_incarnation);
}

std::string decode_text(const json& value, std::size_t limit)
{
    if (!value.is_string())
        throw invalid_value();
    const auto& parsed = value.get_ref<const std::string&>();
    if (parsed.size() > limit)
        throw invalid_value();
    return parsed;
}

std::string decode_name(const json& value)
{
    std::string parsed = decode_text(value, max_name_bytes);
    if (parsed.empty())
        throw invalid_value();
    return parsed;
}

member_state decode_state(const json& value)
{
    const auto last = static_cast<std::uint64_t>(member_state::dead);
    return static_cast<member_state>(decode_number(value, last));
}

const json& bounded_list(const json& value, std::size_t limit)
{
    if (!value.is_array() || value.size() > limit)
        throw invalid_value();
    return value;
}

config::endpoint decode_endpoint(const json& fields,
                                 std::size_t position,
                                 const std::string& shared_address)
{
    config::endpoint parsed;
    parsed.address = decode_text(element(fields, position), max_address_bytes);
    if (parsed.address.empty())
        parsed.address = shared_address;
    parsed.port = static_cast<std::uint16_t>(
        decode_number(element(fields, position + 1), UINT16_MAX));
    return parsed;
}

/// Returns an empty string for an address equal to the gossip address, which
/// the receiver fills in.
std::string address_to_send(const config::endpoint& endpoint,
                            const config::endpoint& gossip)
{
    return endpoint.address == gossip.address ? std::string()
                                              : endpoint.address;
}

json encode_record(const member_record& record)
{
    return json::array(
        {record.id, record.incarnation, static_cast<unsigned>(record.state),
         record.gossip.address, record.gossip.port,
         address_to_send(record.link, record.gossip), record.link.port,
         address_to_send(record.operators, record.gossip),
         record.operators.port, record.domain, record.service, record.slots,
         record.configuration_version});
}

member_record decode_record(const json& fields)
{
    member_record record;
    record.id = decode_name(element(fields, 0));
    record.incarnation = decode_incarnation(element(fields, 1));
    record.state = decode_state(element(fields, 2));
    record.gossip = decode_endpoint(fields, 3, "");
    record.link = decode_endpoint(fields, 5, record.gossip.address);
    record.operators = decode_endpoint(fields, 7, record.gossip.address);
    record.domain = decode_name(element(fields, 9));
    record.service = decode_text(element(fields, 10), max_name_bytes);
    record.slots = static_cast<std::uint32_t>(
        decode_number(element(fields, 11), UINT32_MAX));
    record.configuration_version = decode_any_number(element(fields, 12));
    return record;
}

json encode_status(const status_update& update)
{
    return json::array({update.member, update.incarnation,
                        static_cast<unsigned>(update.state),
                        update.content_hash, update.suspected_by});
}

status_update decode_status(const json& fields)
{
    status_update update;
    update.member = decode_any_number(element(fields, 0));
    update.incarnation = decode_incarnation(element(fields, 1));
    update.state = decode_state(element(fields, 2));
    update.content_hash = static_cast<std::uint32_t>(
        decode_number(element(fields, 3), UINT32_MAX));
    update.suspected_by = decode_any_number(element(fields, 4));
    return update;
}

version_update decode_version(const json& fields)
{
    return {decode_any_number(element(fields, 0)),
            decode_any_number(element(fields, 1))};
}

/// Encodes the fields of a body as an array.
struct body_encoder
{
    json operator()(const probe& body) const
    {
        return json::array({body.number});
    }
    json operator()(const ack& body) const
    {
        return json::array({body.number});
    }
    json operator()(const nack& body) const
    {
        return json::array({body.number});
    }
    json operator()(const probe_request& body) const
    {
        return json::array({body.number, body.target});
    }
    json operator()(const gossip&) const { return json::array(); }
    json operator()(const sync&) const { return json::array(); }
    json operator()(const join&) const { return json::array(); }
    json operator()(const digest& body) const
    {
        json domains = json::array();
        for (const domain_digest& entry : body.domains)
            domains.push_back(
                json::array({entry.domain, entry.count, entry.digest}));
        return json::array({body.wants_reply, domains});
    }
    json operator()(const bucket_digests& body) const
    {
        return json::array({body.domain, body.digests});
    }
    json operator()(const pull& body) const
    {
        return json::array({body.domain, body.bucket_mask});
    }
    json operator()(const fetch& body) const
    {
        return json::array({json(body.members)});
    }
    json operator()(const stale_incarnation& body) const
    {
        return json::array({body.highest_start_incarnation});
    }
    json operator()(const extension& body) const
    {
        const std::vector<std::uint8_t> bytes(body.payload.begin(),
                                              body.payload.end());
        return json::array({body.topic, json::binary(bytes)});
    }
};

template <typename Body>
message_body decode_numbered(const json& fields)
{
    return Body{decode_any_number(element(fields, 0))};
}

message_body decode_probe_request(const json& fields)
{
    return probe_request{decode_any_number(element(fields, 0)),
                         decode_any_number(element(fields, 1))};
}

template <typename Body>
message_body decode_empty(const json& fields)
{
    if (!fields.is_array() || !fields.empty())
        throw invalid_value();
    return Body{};
}

message_body decode_digest(const json& fields)
{
    digest body;
    const json& wants_reply = element(fields, 0);
    if (!wants_reply.is_boolean())
        throw invalid_value();
    body.wants_reply = wants_reply.get<bool>();
    for (const json& entry : bounded_list(element(fields, 1), max_domains)) {
        domain_digest parsed;
        parsed.domain = decode_name(element(entry, 0));
        parsed.count = static_cast<std::uint32_t>(
            decode_number(element(entry, 1), UINT32_MAX));
        parsed.digest = decode_any_number(element(entry, 2));
        body.domains.push_back(std::move(parsed));
    }
    return body;
}

message_body decode_bucket_digests(const json& fields)
{
    bucket_digests body;
    body.domain = decode_name(element(fields, 0));
    const json& digests = bounded_list(element(fields, 1), digest_buckets);
    if (digests.size() != digest_buckets)
        throw invalid_value();
    for (const json& digest_value : digests) {
        body.digests.push_back(static_cast<std::uint32_t>(
            decode_number(digest_value, UINT32_MAX)));
    }
    return body;
}

message_body decode_pull(const json& fields)
{
    return pull{decode_name(element(fields, 0)),
                decode_any_number(element(fields, 1))};
}

message_body decode_fetch(const json& fields)
{
    fetch body;
    for (const json& member :
         bounded_list(element(fields, 0), max_fetched_members))
        body.members.push_back(decode_any_number(member));
    return body;
}

message_body decode_stale_incarnation(const json& fields)
{
    return stale_incarnation{decode_incarnation(element(fields, 0))};
}

message_body decode_extension(const json& fields)
{
    extension body;
    body.topic = decode_name(element(fields, 0));
    const json& payload = element(fields, 1);
    if (!payload.is_binary() ||
        payload.get_binary().size() > max_extension_bytes)
        throw invalid_value();
    body.payload.assign(payload.get_binary().begin(),
                        payload.get_binary().end());
    return body;
}

/// Upper bounds of the encoded sizes of bodies.
struct body_size
{
    static constexpr std::size_t number_bytes = 9;
    static constexpr std::size_t list_bytes = 3;

    std::size_t operator()(const digest& body) const
    {
        std::size_t size = 2 * list_bytes;
        for (const domain_digest& entry : body.domains)
            size += 2 * list_bytes + 2 * number_bytes + entry.domain.size();
        return size;
    }
    std::size_t operator()(const bucket_digests& body) const
    {
        return 3 * list_bytes + body.domain.size() +
               body.digests.size() * sizeof(std::uint64_t);
    }
    std::size_t operator()(const pull& body) const
    {
        return 2 * list_bytes + number_bytes + body.domain.size();
    }
    std::size_t operator()(const fetch& body) const
    {
        return 2 * list_bytes + number_bytes * body.members.size();
    }
    std::size_t operator()(const extension& body) const
    {
        return 3 * list_bytes + body.topic.size() + body.payload.size();
    }
    template <typename Body>
    std::size_t operator()(const Body&) const
    {
        return list_bytes + 2 * number_bytes;
    }
};

using body_decoder = message_body (*)(const json&);

/// Indexed by the alternative of message_body.
constexpr body_decoder body_decoders[] = {
    decode_numbered<probe>, decode_numbered<ack>,
    decode_numbered<nack>,  decode_probe_request,
    decode_empty<gossip>,   decode_empty<sync>,
    decode_empty<join>,     decode_digest,
    decode_bucket_digests,  decode_pull,
    decode_fetch,           decode_stale_incarnation,
    decode_extension,
};
static_assert(std::size(body_decoders) == std::variant_size_v<message_body>);

message decode_message(std::string_view bytes)
{
    const auto parsed = support::parse_cbor(bytes);
    if (!parsed)
        throw invalid_value();
    const json& fields = *parsed;
    message decoded;
    const std::uint64_t kind =
        decode_number(element(fields, 0), std::size(body_decoders) - 1);
    decoded.sender = decode_name(element(fields, 1));
    decoded.start_incarnation = decode_incarnation(element(fields, 2));
    decoded.incarnation = decode_incarnation(element(fields, 3));
    decoded.sequence = decode_any_number(element(fields, 4));
    decoded.target = decode_any_number(element(fields, 5));
    decoded.configuration_version = decode_any_number(element(fields, 6));
    decoded.body = body_decoders[kind](element(fields, 7));
    for (const json& entry :
         bounded_list(element(fields, 8), max_updates_per_list))
        decoded.records.push_back(decode_record(entry));
    for (const json& entry :
         bounded_list(element(fields, 9), max_updates_per_list))
        decoded.status_updates.push_back(decode_status(entry));
    for (const json& entry :
         bounded_list(element(fields, 10), max_updates_per_list))
        decoded.version_updates.push_back(decode_version(entry));
    return decoded;
}

std::string frame_prefix(std::string_view key_id)
{
    std::string prefix(1, frame_format_version);
    prefix += static_cast<char>(key_id.size());
    prefix += key_id;
    return prefix;
}

error malformed(std::string message)
{
    return {error_kind::malformed_message, std::move(message),
            "check that all daemons run compatible versions"};
}

const config::shared_key* find_key(std::span<const config::shared_key> keys,
                                   std::string_view id)
{
    for (const config::shared_key& key : keys) {
        if (key.id == id)
            return &key;
    }
    return nullptr;
}

} // namespace

member_hash hash_of(std::string_view id)
{
    return XXH64(id.data(), id.size(), 0);
}

std::uint32_t content_hash(const member_record& record)
{
    std::string bytes;
    const auto add_text = [&](const std::string& text) {
        bytes += text;
        bytes += '\0';
    };
    const auto add_endpoint = [&](const config::endpoint& endpoint) {
        add_text(endpoint.address);
        add_text(std::to_string(endpoint.port));
    };
    add_text(record.id);
    add_endpoint(record.gossip);
    add_endpoint(record.link);
    add_endpoint(record.operators);
    add_text(record.domain);
    add_text(record.service);
    add_text(std::to_string(record.slots));
    return static_cast<std::uint32_t>(XXH64(bytes.data(), bytes.size(), 0));
}

std::size_t record_bytes(const member_record& record)
{
    // Length prefixes of the texts, incarnation, state, ports, slots, version,
    // array header.
    constexpr std::size_t fixed_bytes = 7 * 2 + 9 + 1 + 3 * 3 + 5 + 9 + 2;
    return fixed_bytes + record.id.size() + record.gossip.address.size() +
           address_to_send(record.link, record.gossip).size() +
           address_to_send(record.operators, record.gossip).size() +
           record.domain.size() + record.service.size();
}

std::size_t base_bytes(const message& outgoing, std::string_view key_id)
{
    constexpr std::size_t frame_bytes = 2 + support::signature_bytes;
    // Six numbers of nine bytes, the message type and the length prefixes of
    // texts and lists.
    constexpr std::size_t head_bytes = 6 * 9 + 1 + 2 + 1 + 3 * 2;
    return frame_bytes + key_id.size() + head_bytes + outgoing.sender.size() +
           std::visit(body_size{}, outgoing.body);
}

std::string encode(const message& outgoing, const config::shared_key& key)
{
    assert(key.id.size() <= max_key_id_bytes &&
           "the settings limit the length of a key id");
    json records = json::array();
    for (const member_record& record : outgoing.records)
        records.push_back(encode_record(record));
    json statuses = json::array();
    for (const status_update& update : outgoing.status_updates)
        statuses.push_back(encode_status(update));
    json versions = json::array();
    for (const version_update& update : outgoing.version_updates)
        versions.push_back(json::array({update.member, update.version}));
    const json fields = json::array(
        {outgoing.body.index(), outgoing.sender, outgoing.start_incarnation,
         outgoing.incarnation, outgoing.sequence, outgoing.target,
         outgoing.configuration_version,
         std::visit(body_encoder{}, outgoing.body), std::move(records),
         std::move(statuses), std::move(versions)});
    std::string body;
    json::to_cbor(fields, body);
    const std::string prefix = frame_prefix(key.id);
    return prefix + support::sign(key.secret, prefix + body) + body;
}

support::result<message> decode(std::string_view datagram,
                                std::span<const config::shared_key> keys)
{
    if (datagram.size() > max_datagram_bytes) {
        return error{error_kind::too_large,
                     "the datagram is larger than 1200 bytes",
                     "check that all daemons run compatible versions"};
    }
    if (datagram.size() < 2 || datagram[0] != frame_format_version)
        return malformed(
            "the datagram does not start with the format byte of this version");
    const auto id_size = static_cast<unsigned char>(datagram[1]);
    const std::size_t prefix_size = 2 + std::size_t{id_size};
    if (id_size > max_key_id_bytes ||
        datagram.size() < prefix_size + support::signature_bytes)
        return malformed("the datagram is truncated");
    const std::string_view prefix = datagram.substr(0, prefix_size);
    const std::string_view signature =
        datagram.substr(prefix_size, support::signature_bytes);
    const std::string_view body =
        datagram.substr(prefix_size + support::signature_bytes);
    const config::shared_key* key = find_key(keys, prefix.substr(2));
    const bool authentic =
        key != nullptr &&
        support::verify(key->secret, std::string(prefix) + std::string(body),
                        signature);
    if (!authentic) {
        return error{
            error_kind::unauthenticated,
            "the datagram's key id is unknown or its signature does not match",
            "check that all daemons have the same shared keys"};
    }
    try {
        return decode_message(body);
    } catch (const json::exception&) {
        return malformed("the datagram is not valid CBOR");
    } catch (const invalid_value&) {
        return malformed(
            "the datagram contains a value of the wrong type or out of range");
    }
}

} // namespace galenarudder::membership
