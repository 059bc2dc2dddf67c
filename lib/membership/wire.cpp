// Encodes, signs, verifies and decodes datagrams. Every value from outside is
// checked for type, range and length.
#include "galenarudder/membership/wire.hpp"

#include "galenarudder/support/hmac.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <cassert>

namespace galenarudder::membership {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr char frame_format = 1;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_address_bytes = 45;
constexpr std::size_t max_key_id_bytes = 32;
constexpr std::size_t max_news = 128;

/// A value that is well-formed CBOR but not what the protocol allows.
struct bad_value
{
};

const json& element(const json& list, std::size_t position)
{
    if (!list.is_array() || position >= list.size())
        throw bad_value();
    return list[position];
}

std::uint64_t number(const json& value, std::uint64_t limit)
{
    if (!value.is_number_unsigned())
        throw bad_value();
    const auto read = value.get<std::uint64_t>();
    if (read > limit)
        throw bad_value();
    return read;
}

std::uint64_t any_number(const json& value)
{
    return number(value, UINT64_MAX);
}

std::uint64_t incarnation(const json& value)
{
    return number(value, max_incarnation);
}

std::string text(const json& value, std::size_t limit)
{
    if (!value.is_string())
        throw bad_value();
    const auto& read = value.get_ref<const std::string&>();
    if (read.size() > limit)
        throw bad_value();
    return read;
}

std::string name(const json& value)
{
    std::string read = text(value, max_name_bytes);
    if (read.empty())
        throw bad_value();
    return read;
}

member_state state_from(const json& value)
{
    const auto last = static_cast<std::uint64_t>(member_state::dead);
    return static_cast<member_state>(number(value, last));
}

const json& bounded_list(const json& value, std::size_t limit)
{
    if (!value.is_array() || value.size() > limit)
        throw bad_value();
    return value;
}

config::endpoint endpoint_from(const json& fields,
                               std::size_t position,
                               const std::string& shared_address)
{
    config::endpoint read;
    read.address = text(element(fields, position), max_address_bytes);
    if (read.address.empty())
        read.address = shared_address;
    read.port = static_cast<std::uint16_t>(
        number(element(fields, position + 1), UINT16_MAX));
    return read;
}

/// An address equal to the gossip address is left out.
std::string address_to_send(const config::endpoint& where,
                            const config::endpoint& gossip)
{
    return where.address == gossip.address ? std::string() : where.address;
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
    record.id = name(element(fields, 0));
    record.incarnation = incarnation(element(fields, 1));
    record.state = state_from(element(fields, 2));
    record.gossip = endpoint_from(fields, 3, "");
    record.link = endpoint_from(fields, 5, record.gossip.address);
    record.operators = endpoint_from(fields, 7, record.gossip.address);
    record.domain = name(element(fields, 9));
    record.service = text(element(fields, 10), max_name_bytes);
    record.slots =
        static_cast<std::uint32_t>(number(element(fields, 11), UINT32_MAX));
    record.configuration_version = any_number(element(fields, 12));
    return record;
}

json encode_status(const status_news& news)
{
    return json::array({news.member, news.incarnation,
                        static_cast<unsigned>(news.state), news.content,
                        news.accuser});
}

status_news decode_status(const json& fields)
{
    status_news news;
    news.member = any_number(element(fields, 0));
    news.incarnation = incarnation(element(fields, 1));
    news.state = state_from(element(fields, 2));
    news.content =
        static_cast<std::uint32_t>(number(element(fields, 3), UINT32_MAX));
    news.accuser = any_number(element(fields, 4));
    return news;
}

version_news decode_version(const json& fields)
{
    return {any_number(element(fields, 0)), any_number(element(fields, 1))};
}

/// Writes the body's fields after its kind.
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
        return json::array({body.number, body.subject});
    }
    json operator()(const gossip&) const { return json::array(); }
    json operator()(const sync&) const { return json::array(); }
    json operator()(const join&) const { return json::array(); }
    json operator()(const digest& body) const
    {
        json domains = json::array();
        for (const domain_digest& one : body.domains)
            domains.push_back(json::array({one.domain, one.count, one.digest}));
        return json::array({body.wants_reply, domains});
    }
    json operator()(const buckets& body) const
    {
        return json::array({body.domain, body.digests});
    }
    json operator()(const pull& body) const
    {
        return json::array({body.domain, body.mask});
    }
    json operator()(const fetch& body) const
    {
        return json::array({json(body.members)});
    }
    json operator()(const stale& body) const
    {
        return json::array({body.life});
    }
};

template <typename Body>
message_body decode_numbered(const json& fields)
{
    return Body{any_number(element(fields, 0))};
}

message_body decode_probe_request(const json& fields)
{
    return probe_request{any_number(element(fields, 0)),
                         any_number(element(fields, 1))};
}

template <typename Body>
message_body decode_empty(const json& fields)
{
    if (!fields.is_array() || !fields.empty())
        throw bad_value();
    return Body{};
}

message_body decode_digest(const json& fields)
{
    digest body;
    const json& flag = element(fields, 0);
    if (!flag.is_boolean())
        throw bad_value();
    body.wants_reply = flag.get<bool>();
    for (const json& one : bounded_list(element(fields, 1), max_domains)) {
        domain_digest read;
        read.domain = name(element(one, 0));
        read.count =
            static_cast<std::uint32_t>(number(element(one, 1), UINT32_MAX));
        read.digest = any_number(element(one, 2));
        body.domains.push_back(std::move(read));
    }
    return body;
}

message_body decode_buckets(const json& fields)
{
    buckets body;
    body.domain = name(element(fields, 0));
    const json& digests = bounded_list(element(fields, 1), digest_buckets);
    if (digests.size() != digest_buckets)
        throw bad_value();
    for (const json& one : digests) {
        body.digests.push_back(
            static_cast<std::uint32_t>(number(one, UINT32_MAX)));
    }
    return body;
}

message_body decode_pull(const json& fields)
{
    return pull{name(element(fields, 0)), any_number(element(fields, 1))};
}

message_body decode_fetch(const json& fields)
{
    fetch body;
    for (const json& one : bounded_list(element(fields, 0), max_fetched))
        body.members.push_back(any_number(one));
    return body;
}

message_body decode_stale(const json& fields)
{
    return stale{incarnation(element(fields, 0))};
}

/// Upper bounds of encoded bodies.
struct body_size
{
    static constexpr std::size_t number_bytes = 9;
    static constexpr std::size_t list_bytes = 3;

    std::size_t operator()(const digest& body) const
    {
        std::size_t size = 2 * list_bytes;
        for (const domain_digest& one : body.domains)
            size += 2 * list_bytes + 2 * number_bytes + one.domain.size();
        return size;
    }
    std::size_t operator()(const buckets& body) const
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
    template <typename Body>
    std::size_t operator()(const Body&) const
    {
        return list_bytes + 2 * number_bytes;
    }
};

using body_decoder = message_body (*)(const json&);

/// In the order of message_body's alternatives.
constexpr body_decoder body_decoders[] = {
    decode_numbered<probe>, decode_numbered<ack>,
    decode_numbered<nack>,  decode_probe_request,
    decode_empty<gossip>,   decode_empty<sync>,
    decode_empty<join>,     decode_digest,
    decode_buckets,         decode_pull,
    decode_fetch,           decode_stale,
};
static_assert(std::size(body_decoders) == std::variant_size_v<message_body>);

message decode_message(std::string_view bytes)
{
    const json fields = json::from_cbor(bytes);
    message read;
    const std::uint64_t kind =
        number(element(fields, 0), std::size(body_decoders) - 1);
    read.sender = name(element(fields, 1));
    read.life = incarnation(element(fields, 2));
    read.incarnation = incarnation(element(fields, 3));
    read.sequence = any_number(element(fields, 4));
    read.target = any_number(element(fields, 5));
    read.configuration_version = any_number(element(fields, 6));
    read.body = body_decoders[kind](element(fields, 7));
    for (const json& one : bounded_list(element(fields, 8), max_news))
        read.records.push_back(decode_record(one));
    for (const json& one : bounded_list(element(fields, 9), max_news))
        read.statuses.push_back(decode_status(one));
    for (const json& one : bounded_list(element(fields, 10), max_news))
        read.versions.push_back(decode_version(one));
    return read;
}

std::string frame_prefix(std::string_view key_id)
{
    std::string prefix(1, frame_format);
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
    const auto add_endpoint = [&](const config::endpoint& where) {
        add_text(where.address);
        add_text(std::to_string(where.port));
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
    // Text heads, incarnation, state, ports, slots and version.
    constexpr std::size_t fixed_bytes = 7 * 2 + 9 + 1 + 3 * 3 + 5 + 9 + 2;
    return fixed_bytes + record.id.size() + record.gossip.address.size() +
           address_to_send(record.link, record.gossip).size() +
           address_to_send(record.operators, record.gossip).size() +
           record.domain.size() + record.service.size();
}

std::size_t base_bytes(const message& sent, std::string_view key_id)
{
    constexpr std::size_t frame_bytes = 2 + support::signature_bytes;
    // Six numbers of nine bytes, the kind and the heads of texts and lists.
    constexpr std::size_t head_bytes = 6 * 9 + 1 + 2 + 1 + 3 * 2;
    return frame_bytes + key_id.size() + head_bytes + sent.sender.size() +
           std::visit(body_size{}, sent.body);
}

std::string encode(const message& sent, const config::shared_key& key)
{
    assert(key.id.size() <= max_key_id_bytes && "settings bound the key id");
    json records = json::array();
    for (const member_record& record : sent.records)
        records.push_back(encode_record(record));
    json statuses = json::array();
    for (const status_news& news : sent.statuses)
        statuses.push_back(encode_status(news));
    json versions = json::array();
    for (const version_news& news : sent.versions)
        versions.push_back(json::array({news.member, news.version}));
    const json fields = json::array(
        {sent.body.index(), sent.sender, sent.life, sent.incarnation,
         sent.sequence, sent.target, sent.configuration_version,
         std::visit(body_encoder{}, sent.body), std::move(records),
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
        return error{error_kind::too_large, "the datagram is oversized",
                     "check that all daemons run compatible versions"};
    }
    if (datagram.size() < 2 || datagram[0] != frame_format)
        return malformed("the datagram is not of this protocol");
    const auto id_size = static_cast<unsigned char>(datagram[1]);
    const std::size_t prefix_size = 2 + std::size_t{id_size};
    if (id_size > max_key_id_bytes ||
        datagram.size() < prefix_size + support::signature_bytes)
        return malformed("the datagram is cut short");
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
        return error{error_kind::unauthenticated,
                     "the datagram's signature does not match",
                     "check that all daemons share the keys"};
    }
    try {
        return decode_message(body);
    } catch (const json::exception&) {
        return malformed("the datagram is not valid CBOR");
    } catch (const bad_value&) {
        return malformed("the datagram holds a value out of range");
    }
}

} // namespace galenarudder::membership
