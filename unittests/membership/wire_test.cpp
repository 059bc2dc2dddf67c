// Datagrams survive encoding and stay within the size bounds that senders
// compute; arbitrary or modified bytes give typed errors.
#include "galenarudder/membership/member.hpp"
#include "galenarudder/membership/wire.hpp"
#include "galenarudder/support/hmac.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace galenarudder;
using namespace galenarudder::membership;
using nlohmann::json;

namespace {

const std::vector<config::shared_key> keys = {
    {"k1", "a-secret-of-the-tests"}, {"k2", "another-secret-of-tests"}};

member_record full_record()
{
    member_record record;
    record.id = std::string(64, 'm');
    record.incarnation = max_incarnation;
    record.state = member_state::draining;
    record.gossip = {"fd00:1111:2222:3333:4444:5555:6666:7777", 65535};
    record.link = {"fd00:1111:2222:3333:4444:5555:6666:8888", 65535};
    record.operators = {"fd00:1111:2222:3333:4444:5555:6666:9999", 65535};
    record.domain = std::string(64, 'd');
    record.service = std::string(64, 's');
    record.slots = UINT32_MAX;
    record.configuration_version = UINT64_MAX;
    return record;
}

std::vector<message_body> all_bodies()
{
    const std::string domain(64, 'd');
    digest digests;
    digests.domains.assign(4, {domain, UINT32_MAX, UINT64_MAX});
    return {
        probe{UINT64_MAX},
        ack{UINT64_MAX},
        nack{UINT64_MAX},
        probe_request{UINT64_MAX, UINT64_MAX},
        gossip{},
        membership::sync{},
        join{},
        digests,
        bucket_digests{domain,
                       std::vector<std::uint32_t>(digest_buckets, UINT32_MAX)},
        pull{domain, UINT64_MAX},
        fetch{std::vector<member_hash>(max_fetched_members, UINT64_MAX)},
        stale_incarnation{max_incarnation},
        extension{std::string(64, 't'), std::string(max_extension_bytes, 'x')}};
}

message max_size_message(message_body body)
{
    message outgoing;
    outgoing.sender = std::string(64, 'm');
    outgoing.start_incarnation = max_incarnation;
    outgoing.incarnation = max_incarnation;
    outgoing.sequence = UINT64_MAX;
    outgoing.target = UINT64_MAX;
    outgoing.configuration_version = UINT64_MAX;
    outgoing.body = std::move(body);
    return outgoing;
}

/// Signs a body with arbitrary content as a member does.
std::string signed_frame(const std::string& body)
{
    std::string prefix{'\x01', '\x02'};
    prefix += "k1";
    return prefix + support::sign(keys[0].secret, prefix + body) + body;
}

std::string cbor(const json& fields)
{
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

json gossip_fields()
{
    const json empty_list = json::array();
    return json::array({4, "m1", 1, 1, 1, 0, 0, empty_list, empty_list,
                        empty_list, empty_list});
}

} // namespace

TEST_CASE("each message type survives encoding", "[wire]")
{
    const std::size_t kind = GENERATE(range(std::size_t{0}, std::size_t{12}));
    const message_body body = all_bodies().at(kind);
    REQUIRE(body.index() == kind);
    message outgoing = max_size_message(body);
    const std::string without_updates = encode(outgoing, keys[0]);
    CHECK(without_updates.size() <= base_bytes(outgoing, keys[0].id));
    outgoing.records = {full_record()};
    CHECK(encode(outgoing, keys[0]).size() <=
          without_updates.size() + record_bytes(outgoing.records[0]));
    outgoing.status_updates = {{UINT64_MAX, max_incarnation, member_state::dead,
                                UINT32_MAX, UINT64_MAX}};
    outgoing.version_updates = {{UINT64_MAX, UINT64_MAX}};
    const std::string datagram = encode(outgoing, keys[0]);
    CHECK(datagram.size() <= without_updates.size() +
                                 record_bytes(outgoing.records[0]) +
                                 status_bytes + version_bytes);
    const auto received = decode(datagram, keys);
    REQUIRE(received);
    CHECK(received.value().body.index() == kind);
    CHECK(encode(received.value(), keys[0]) == datagram);
}

TEST_CASE("only datagrams signed with one of the keys are accepted", "[wire]")
{
    const message outgoing = max_size_message(gossip{});
    CHECK(decode(encode(outgoing, keys[1]), keys));
    const config::shared_key unknown_key{"k1", "a-secret-of-somebody-else"};
    const auto refused = decode(encode(outgoing, unknown_key), keys);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == support::error_kind::unauthenticated);
}

TEST_CASE("signed datagrams with values out of range are refused", "[wire]")
{
    struct row
    {
        const char* name;
        std::size_t position;
        json value;
    };
    const json wrong_state = json::array({1, 1, 6, 1, 0});
    const row rows[] = {
        {"kind", 0, 12},
        {"negative kind", 0, -1},
        {"kind as text", 0, "4"},
        {"empty sender", 1, ""},
        {"long sender", 1, std::string(65, 'm')},
        {"sender as number", 1, 4},
        {"start incarnation", 2, max_incarnation + 1},
        {"incarnation", 3, UINT64_MAX},
        {"fractional sequence", 4, 1.5},
        {"body as object", 7, json::object({{"a", 1}})},
        {"records as text", 8, "x"},
        {"record of nothing", 8, json::array({json::array()})},
        {"state", 9, json::array({wrong_state})},
        {"too many", 9, json(std::vector<int>(500, 1))},
        {"version as null", 10, json::array({nullptr})},
    };
    CHECK(decode(signed_frame(cbor(gossip_fields())), keys));
    for (const row& test_case : rows) {
        INFO(test_case.name);
        json fields = gossip_fields();
        fields[test_case.position] = test_case.value;
        const auto refused = decode(signed_frame(cbor(fields)), keys);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == support::error_kind::malformed_message);
    }
}

TEST_CASE("oversized, truncated and malformed datagrams are refused", "[wire]")
{
    CHECK(decode(std::string(max_datagram_bytes + 1, 'x'), keys).error().kind ==
          support::error_kind::too_large);
    const std::string datagram = encode(max_size_message(gossip{}), keys[0]);
    for (std::size_t size = 0; size < datagram.size(); ++size)
        CHECK_FALSE(decode(std::string_view(datagram).substr(0, size), keys));
    // Deep nesting and huge declared lengths behind a valid signature.
    CHECK_FALSE(decode(signed_frame(std::string(1100, '\x81')), keys));
    CHECK_FALSE(
        decode(signed_frame("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"), keys));
    CHECK_FALSE(
        decode(signed_frame("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"), keys));
}

TEST_CASE("arbitrary bytes are accepted or refused without a crash",
          "[wire][fuzz]")
{
    REQUIRE(rc::check("raw bytes", [](const std::string& bytes) {
        (void)decode(bytes, keys);
    }));
    REQUIRE(rc::check("signed bytes", [](const std::string& bytes) {
        (void)decode(signed_frame(bytes), keys);
    }));
    REQUIRE(rc::check("changed message bytes", [] {
        message outgoing = max_size_message(*rc::gen::elementOf(all_bodies()));
        outgoing.records = {full_record()};
        outgoing.status_updates = {{1, 1, member_state::suspect, 1, 1}};
        const std::string datagram = encode(outgoing, keys[0]);
        const std::size_t header_bytes = 4 + support::signature_bytes;
        std::string body = datagram.substr(header_bytes);
        const auto changes = *rc::gen::inRange(1, 8);
        for (int count = 0; count < changes; ++count) {
            const auto position =
                *rc::gen::inRange(std::size_t{0}, body.size());
            body[position] = *rc::gen::arbitrary<char>();
        }
        member_record self = full_record();
        self.id = "own";
        self.incarnation = 5;
        member under_test(self, {}, keys, 1);
        const auto now = support::time_point{support::milliseconds(1000)};
        (void)under_test.on_tick(now);
        (void)under_test.on_datagram({"10.0.0.1", 1}, signed_frame(body), now);
        (void)under_test.on_tick(now + support::milliseconds(100));
    }));
}
