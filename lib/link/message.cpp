// CBOR form of link messages: an array of a type number and its fields.
#include "galenarudder/link/message.hpp"

#include <nlohmann/json.hpp>

namespace galenarudder::link {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

/// First element of each encoded message; the order of the variant.
enum class message_type : unsigned
{
    hello,
    call_begin,
    body_part,
    body_credit,
    call_cancel,
    answer_begin,
    call_refused,
    drain_notice,
};

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
    return length.get<std::uint64_t>();
}

json encode_load(const support::load_report& load)
{
    return json::array({load.running, load.waiting, load.limit, load.service_ms,
                        load.waiting_by_rank, load.age_ms});
}

support::load_report decode_load(const json& list)
{
    support::load_report load;
    load.running = list.at(0);
    load.waiting = list.at(1);
    load.limit = list.at(2);
    load.service_ms = list.at(3);
    load.waiting_by_rank = list.at(4).get<std::vector<std::uint32_t>>();
    load.age_ms = list.at(5);
    return load;
}

json encode_refusal(const support::refusal& why)
{
    return json::array({to_string(why.kind), to_string(why.outcome),
                        why.retry_exhausted, why.retry_after.count(),
                        why.detail});
}

/// A refusal kind of a newer version reads as an unknown outcome.
support::refusal decode_refusal(const json& list)
{
    support::refusal why;
    why.kind = support::refusal_kind::upstream_failed;
    why.outcome = support::run_outcome::unknown;
    const auto kind = support::refusal_kind_from(list.at(0).get<std::string>());
    const auto outcome =
        support::run_outcome_from(list.at(1).get<std::string>());
    if (kind && outcome) {
        why.kind = *kind;
        why.outcome = *outcome;
    }
    why.retry_exhausted = list.at(2);
    why.retry_after = support::milliseconds(list.at(3).get<std::int64_t>());
    why.detail = list.at(4);
    return why;
}

json number(support::call_id id)
{
    return static_cast<std::uint64_t>(id);
}

support::call_id read_id(const json& value)
{
    return static_cast<support::call_id>(value.get<std::uint64_t>());
}

json tagged(message_type type, json::array_t fields)
{
    fields.insert(fields.begin(), static_cast<unsigned>(type));
    return fields;
}

struct encoder
{
    json operator()(const hello& sent) const
    {
        return tagged(message_type::hello,
                      {sent.version, sent.member, sent.epoch});
    }
    json operator()(const call_begin& sent) const
    {
        const support::call_head& head = sent.head;
        return tagged(
            message_type::call_begin,
            {number(head.id), head.service, head.rank, head.remaining.count(),
             head.repeatable, head.key, head.depth, head.method, head.target,
             encode_fields(head.fields), encode_length(head.content_length)});
    }
    json operator()(const body_part& sent) const
    {
        json::binary_t data(
            std::vector<std::uint8_t>(sent.data.begin(), sent.data.end()));
        return tagged(message_type::body_part,
                      {number(sent.id), std::move(data), sent.last});
    }
    json operator()(const body_credit& sent) const
    {
        return tagged(message_type::body_credit, {number(sent.id), sent.bytes});
    }
    json operator()(const call_cancel& sent) const
    {
        return tagged(message_type::call_cancel, {number(sent.id)});
    }
    json operator()(const answer_begin& sent) const
    {
        return tagged(message_type::answer_begin,
                      {number(sent.id), sent.head.status, sent.head.reason,
                       encode_fields(sent.head.fields),
                       encode_length(sent.head.content_length),
                       encode_load(sent.load)});
    }
    json operator()(const call_refused& sent) const
    {
        return tagged(message_type::call_refused,
                      {number(sent.id), encode_refusal(sent.why),
                       encode_load(sent.load)});
    }
    json operator()(const drain_notice&) const
    {
        return tagged(message_type::drain_notice, {});
    }
};

message read_hello(const json& list)
{
    return hello{list.at(1), list.at(2), list.at(3)};
}

message read_call_begin(const json& list)
{
    support::call_head head;
    head.id = read_id(list.at(1));
    head.service = list.at(2);
    head.rank = list.at(3);
    head.remaining = support::milliseconds(list.at(4).get<std::int64_t>());
    head.repeatable = list.at(5);
    head.key = list.at(6);
    head.depth = list.at(7);
    head.method = list.at(8);
    head.target = list.at(9);
    head.fields = decode_fields(list.at(10));
    head.content_length = decode_length(list.at(11));
    return call_begin{std::move(head)};
}

message read_body_part(const json& list)
{
    const json::binary_t& data = list.at(2).get_binary();
    return body_part{read_id(list.at(1)), std::string(data.begin(), data.end()),
                     list.at(3)};
}

message read_body_credit(const json& list)
{
    return body_credit{read_id(list.at(1)), list.at(2)};
}

message read_call_cancel(const json& list)
{
    return call_cancel{read_id(list.at(1))};
}

message read_answer_begin(const json& list)
{
    answer_begin begun;
    begun.id = read_id(list.at(1));
    begun.head.status = list.at(2);
    begun.head.reason = list.at(3);
    begun.head.fields = decode_fields(list.at(4));
    begun.head.content_length = decode_length(list.at(5));
    begun.load = decode_load(list.at(6));
    return begun;
}

message read_call_refused(const json& list)
{
    return call_refused{read_id(list.at(1)), decode_refusal(list.at(2)),
                        decode_load(list.at(3))};
}

message read_drain_notice(const json&)
{
    return drain_notice{};
}

using reader = message (*)(const json&);

/// One reader for each message type, in its order.
constexpr reader readers[] = {
    read_hello,       read_call_begin,   read_body_part,    read_body_credit,
    read_call_cancel, read_answer_begin, read_call_refused, read_drain_notice,
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
        const json list = json::from_cbor(bytes);
        const auto type = list.at(0).get<std::size_t>();
        if (type >= std::size(readers))
            return malformed;
        return readers[type](list);
    } catch (const json::exception&) {
        return malformed;
    }
}

} // namespace galenarudder::link
