// Each link message is encoded as a CBOR array: its type number, then its
// fields in a fixed order.
#include "galenarudder/link/message.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <limits>

namespace galenarudder::link {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

/// HTTP status codes have three digits.
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 999;

/// Thrown for a value that is not an unsigned integer in its range, and caught
/// in decode, like the exceptions of the JSON library.
struct invalid_number
{
};

/// First element of each encoded message. The order is that of the variant.
enum class message_type : unsigned
{
    hello,
    gate_proof,
    entry_proof,
    welcome,
    call_begin,
    body_part,
    body_credit,
    call_cancel,
    response_begin,
    call_refused,
    drain_notice,
    link_credit,
    outcome_query,
    outcome_reply,
    ping,
    pong,
};

/// Decodes an unsigned integer that fits in \c T.
template <typename T>
T decode_number(const json& value)
{
    // The library stores every CBOR integer as unsigned unless it is negative.
    const auto* integer = value.get_ptr<const json::number_unsigned_t*>();
    if (integer == nullptr || *integer > std::numeric_limits<T>::max())
        throw invalid_number();
    return static_cast<T>(*integer);
}

/// Times are encoded as unsigned milliseconds; a negative time becomes zero.
json encode_milliseconds(support::milliseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

support::milliseconds decode_milliseconds(const json& value)
{
    return support::milliseconds(decode_number<std::uint32_t>(value));
}

support::milliseconds decode_boot_time(const json& value)
{
    // Over a century; it must not overflow in nanoseconds.
    constexpr std::uint64_t max_ms = std::uint64_t{1} << 42;
    const auto ms = decode_number<std::uint64_t>(value);
    if (ms > max_ms)
        throw invalid_number();
    return support::milliseconds(ms);
}

json encode_bytes(const std::string& bytes)
{
    return json::binary(
        json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string decode_bytes(const json& value)
{
    const json::binary_t& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

json encode_fields(const std::vector<support::header_field>& fields)
{
    json list = json::array();
    for (const support::header_field& field : fields)
        list.push_back(json::array({field.name, field.value}));
    return list;
}

std::vector<support::header_field> decode_fields(const json& list)
{
    std::vector<support::header_field> fields;
    for (const json& field : list)
        fields.push_back({field.at(0), field.at(1)});
    return fields;
}

json encode_length(const std::optional<std::uint64_t>& length)
{
    return length ? json(*length) : json(nullptr);
}

std::optional<std::uint64_t> decode_length(const json& length)
{
    if (length.is_null())
        return std::nullopt;
    return decode_number<std::uint64_t>(length);
}

json encode_load(const support::load_report& load)
{
    json list = json::array({load.running, load.waiting, load.limit,
                             load.service_ms, load.waiting_by_rank, load.age_ms,
                             load.time_at_gate_ms, load.start_delay_ms});
    if (load.cold_ms > 0)
        list.push_back(load.cold_ms);
    return list;
}

support::load_report decode_load(const json& list)
{
    constexpr std::size_t cold_ms = 8;
    support::load_report load;
    load.running = decode_number<std::uint32_t>(list.at(0));
    load.waiting = decode_number<std::uint32_t>(list.at(1));
    load.limit = decode_number<std::uint32_t>(list.at(2));
    load.service_ms = list.at(3);
    for (const json& waiting : list.at(4))
        load.waiting_by_rank.push_back(decode_number<std::uint32_t>(waiting));
    load.age_ms = list.at(5);
    load.time_at_gate_ms = list.at(6);
    load.start_delay_ms = list.at(7);
    // Sent only while the upstream is cold, and not by earlier versions.
    if (list.size() > cold_ms)
        load.cold_ms = list.at(cold_ms);
    return load;
}

json encode_refusal(const support::refusal& refusal)
{
    return json::array({to_string(refusal.kind), to_string(refusal.outcome),
                        refusal.retry_exhausted,
                        encode_milliseconds(refusal.retry_after),
                        refusal.detail});
}

/// Decodes a refusal. An unknown kind, as sent by a newer version, becomes
/// upstream_failed with the outcome unknown.
support::refusal decode_refusal(const json& list)
{
    support::refusal refusal;
    refusal.kind = support::refusal_kind::upstream_failed;
    refusal.outcome = support::run_outcome::unknown;
    const auto kind =
        support::parse_refusal_kind(list.at(0).get<std::string>());
    const auto outcome =
        support::parse_run_outcome(list.at(1).get<std::string>());
    if (kind && outcome) {
        refusal.kind = *kind;
        refusal.outcome = *outcome;
    }
    refusal.retry_exhausted = list.at(2);
    refusal.retry_after = decode_milliseconds(list.at(3));
    refusal.detail = list.at(4);
    return refusal;
}

json encode_id(support::attempt_id id)
{
    return static_cast<std::uint64_t>(id);
}

support::attempt_id decode_id(const json& value)
{
    return static_cast<support::attempt_id>(
        decode_number<std::uint64_t>(value));
}

json encode_message(message_type type, json::array_t fields)
{
    fields.insert(fields.begin(), static_cast<unsigned>(type));
    return fields;
}

struct encoder
{
    json operator()(const hello& msg) const
    {
        return encode_message(
            message_type::hello,
            {msg.version, msg.member, msg.epoch, encode_bytes(msg.challenge)});
    }
    json operator()(const gate_proof& msg) const
    {
        return encode_message(message_type::gate_proof,
                              {msg.version, msg.member,
                               encode_bytes(msg.challenge), msg.key_id,
                               encode_bytes(msg.signature)});
    }
    json operator()(const entry_proof& msg) const
    {
        return encode_message(message_type::entry_proof,
                              {msg.key_id, encode_bytes(msg.signature)});
    }
    json operator()(const welcome& msg) const
    {
        return encode_message(message_type::welcome, {msg.draining});
    }
    json operator()(const call_begin& msg) const
    {
        const support::call_head& head = msg.head;
        json::array_t fields{encode_id(head.id),
                             head.service,
                             head.rank,
                             encode_milliseconds(head.remaining_time),
                             head.repeatable,
                             head.idempotency_key,
                             head.depth,
                             head.method,
                             head.target,
                             encode_fields(head.fields),
                             encode_length(head.content_length),
                             msg.sequence_number,
                             encode_bytes(msg.body),
                             msg.body_complete,
                             head.may_hand_back,
                             encode_milliseconds(msg.sent_at),
                             head.organisation};
        if (head.time_until_late)
            fields.push_back(encode_milliseconds(*head.time_until_late));
        return encode_message(message_type::call_begin, std::move(fields));
    }
    json operator()(const body_part& msg) const
    {
        return encode_message(message_type::body_part,
                              {encode_id(msg.id), encode_bytes(msg.data),
                               msg.last, msg.counts_against_link});
    }
    json operator()(const body_credit& msg) const
    {
        return encode_message(message_type::body_credit,
                              {encode_id(msg.id), msg.cost_bytes});
    }
    json operator()(const call_cancel& msg) const
    {
        return encode_message(message_type::call_cancel, {encode_id(msg.id)});
    }
    json operator()(const response_begin& msg) const
    {
        return encode_message(message_type::response_begin,
                              {encode_id(msg.id), msg.head.status,
                               msg.head.reason, encode_fields(msg.head.fields),
                               encode_length(msg.head.content_length),
                               encode_load(msg.load), encode_bytes(msg.body),
                               msg.body_complete});
    }
    json operator()(const call_refused& msg) const
    {
        return encode_message(message_type::call_refused,
                              {encode_id(msg.id), encode_refusal(msg.refusal),
                               encode_load(msg.load)});
    }
    json operator()(const drain_notice&) const
    {
        return encode_message(message_type::drain_notice, {});
    }
    json operator()(const link_credit& msg) const
    {
        return encode_message(message_type::link_credit, {msg.bytes});
    }
    json operator()(const outcome_query& msg) const
    {
        return encode_message(message_type::outcome_query,
                              {msg.epoch, msg.numbers});
    }
    json operator()(const outcome_reply& msg) const
    {
        return encode_message(message_type::outcome_reply,
                              {msg.epoch, msg.not_run});
    }
    json operator()(const ping&) const
    {
        return encode_message(message_type::ping, {});
    }
    json operator()(const pong&) const
    {
        return encode_message(message_type::pong, {});
    }
};

message decode_hello(const json& list)
{
    return hello{decode_number<unsigned>(list.at(1)), list.at(2),
                 decode_number<std::uint64_t>(list.at(3)),
                 decode_bytes(list.at(4))};
}

message decode_gate_proof(const json& list)
{
    return gate_proof{decode_number<unsigned>(list.at(1)), list.at(2),
                      decode_bytes(list.at(3)), list.at(4),
                      decode_bytes(list.at(5))};
}

message decode_entry_proof(const json& list)
{
    return entry_proof{list.at(1), decode_bytes(list.at(2))};
}

message decode_welcome(const json& list)
{
    return welcome{list.at(1)};
}

message decode_call_begin(const json& list)
{
    constexpr std::size_t organisation = 17;
    constexpr std::size_t time_until_late = 18;
    support::call_head head;
    head.id = decode_id(list.at(1));
    head.service = list.at(2);
    head.rank = list.at(3);
    head.remaining_time = decode_milliseconds(list.at(4));
    head.repeatable = list.at(5);
    head.idempotency_key = list.at(6);
    head.depth = decode_number<unsigned>(list.at(7));
    head.method = list.at(8);
    head.target = list.at(9);
    head.fields = decode_fields(list.at(10));
    head.content_length = decode_length(list.at(11));
    head.may_hand_back = list.at(15);
    // Peers of earlier versions do not send it.
    if (list.size() > organisation)
        head.organisation = list.at(organisation);
    if (list.size() > time_until_late)
        head.time_until_late = decode_milliseconds(list.at(time_until_late));
    return call_begin{
        std::move(head), decode_number<std::uint64_t>(list.at(12)),
        decode_bytes(list.at(13)), list.at(14), decode_boot_time(list.at(16))};
}

message decode_body_part(const json& list)
{
    return body_part{decode_id(list.at(1)), decode_bytes(list.at(2)),
                     list.at(3), list.at(4)};
}

message decode_body_credit(const json& list)
{
    return body_credit{decode_id(list.at(1)),
                       decode_number<std::uint64_t>(list.at(2))};
}

message decode_call_cancel(const json& list)
{
    return call_cancel{decode_id(list.at(1))};
}

message decode_response_begin(const json& list)
{
    response_begin begin;
    begin.id = decode_id(list.at(1));
    begin.head.status = decode_number<unsigned>(list.at(2));
    if (begin.head.status < min_status || begin.head.status > max_status)
        throw invalid_number();
    begin.head.reason = list.at(3);
    begin.head.fields = decode_fields(list.at(4));
    begin.head.content_length = decode_length(list.at(5));
    begin.load = decode_load(list.at(6));
    begin.body = decode_bytes(list.at(7));
    begin.body_complete = list.at(8);
    return begin;
}

message decode_call_refused(const json& list)
{
    return call_refused{decode_id(list.at(1)), decode_refusal(list.at(2)),
                        decode_load(list.at(3))};
}

message decode_drain_notice(const json&)
{
    return drain_notice{};
}

message decode_link_credit(const json& list)
{
    return link_credit{decode_number<std::uint64_t>(list.at(1))};
}

std::vector<std::uint64_t> decode_numbers(const json& list)
{
    std::vector<std::uint64_t> numbers;
    for (const json& value : list)
        numbers.push_back(decode_number<std::uint64_t>(value));
    return numbers;
}

message decode_outcome_query(const json& list)
{
    return outcome_query{decode_number<std::uint64_t>(list.at(1)),
                         decode_numbers(list.at(2))};
}

message decode_outcome_reply(const json& list)
{
    return outcome_reply{decode_number<std::uint64_t>(list.at(1)),
                         decode_numbers(list.at(2))};
}

message decode_ping(const json&)
{
    return ping{};
}

message decode_pong(const json&)
{
    return pong{};
}

using decoder = message (*)(const json&);

/// The decoder of each message type, in the order of message_type.
constexpr decoder decoders[] = {
    decode_hello,         decode_gate_proof,    decode_entry_proof,
    decode_welcome,       decode_call_begin,    decode_body_part,
    decode_body_credit,   decode_call_cancel,   decode_response_begin,
    decode_call_refused,  decode_drain_notice,  decode_link_credit,
    decode_outcome_query, decode_outcome_reply, decode_ping,
    decode_pong,
};
static_assert(std::size(decoders) == std::variant_size_v<message>);

/// Builds the JSON document but stops at a nesting depth that no message has.
/// The library's parser is recursive, so a peer could otherwise exhaust the
/// stack.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    explicit bounded_builder(json& document)
        : nlohmann::detail::json_sax_dom_parser<json>(document, false)
    {
    }

    bool start_array(std::size_t size)
    {
        ++depth_;
        return depth_ <= max_nesting && json_sax_dom_parser::start_array(size);
    }

    bool end_array()
    {
        --depth_;
        return json_sax_dom_parser::end_array();
    }

    /// No message contains a map.
    bool start_object(std::size_t) { return false; }

private:
    static constexpr std::size_t max_nesting = 4;
    std::size_t depth_ = 0;
};

} // namespace

std::string encode(const message& outgoing)
{
    std::string bytes;
    json::to_cbor(std::visit(encoder{}, outgoing), bytes);
    return bytes;
}

support::result<message> decode(std::string_view bytes)
{
    const error malformed{error_kind::malformed_message,
                          "link message is not of this protocol",
                          "check that both daemons run the same version"};
    try {
        json list;
        bounded_builder builder(list);
        if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor))
            return malformed;
        const auto type = list.at(0).get<std::size_t>();
        if (type >= std::size(decoders))
            return malformed;
        return decoders[type](list);
    } catch (const json::exception&) {
        return malformed;
    } catch (const invalid_number&) {
        return malformed;
    }
}

} // namespace galenarudder::link
