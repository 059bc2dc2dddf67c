// Datagrams survive encoding within the bounds that senders compute; foreign
// or changed bytes are typed errors.
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
        buckets{domain, std::vector<std::uint32_t>(digest_buckets, UINT32_MAX)},
        pull{domain, UINT64_MAX},
        fetch{std::vector<member_hash>(max_fetched, UINT64_MAX)},
        stale{max_incarnation}};
}

message largest(message_body body)
{
    message sent;
    sent.sender = std::string(64, 'm');
    sent.life = max_incarnation;
    sent.incarnation = max_incarnation;
    sent.sequence = UINT64_MAX;
    sent.target = UINT64_MAX;
    sent.configuration_version = UINT64_MAX;
    sent.body = std::move(body);
    return sent;
}

/// Signs a body of any content as a member would.
std::string frame(const std::string& body)
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
    const json none = json::array();
    return json::array({4, "m1", 1, 1, 1, 0, 0, none, none, none, none});
}

} // namespace

TEST_CASE("each kind of message survives encoding", "[wire]")
{
    const std::size_t kind = GENERATE(range(std::size_t{0}, std::size_t{12}));
    const message_body body = all_bodies().at(kind);
    REQUIRE(body.index() == kind);
    message sent = largest(body);
    const std::string bare = encode(sent, keys[0]);
    CHECK(bare.size() <= base_bytes(sent, keys[0].id));
    sent.records = {full_record()};
    CHECK(encode(sent, keys[0]).size() <=
          bare.size() + record_bytes(sent.records[0]));
    sent.statuses = {{UINT64_MAX, max_incarnation, member_state::dead,
                      UINT32_MAX, UINT64_MAX}};
    sent.versions = {{UINT64_MAX, UINT64_MAX}};
    const std::string datagram = encode(sent, keys[0]);
    CHECK(datagram.size() <= bare.size() + record_bytes(sent.records[0]) +
                                 status_bytes + version_bytes);
    const auto received = decode(datagram, keys);
    REQUIRE(received);
    CHECK(received.value().body.index() == kind);
    CHECK(encode(received.value(), keys[0]) == datagram);
}

TEST_CASE("all keys verify; others do not", "[wire]")
{
    const message sent = largest(gossip{});
    CHECK(decode(encode(sent, keys[1]), keys));
    const config::shared_key foreign{"k1", "a-secret-of-somebody-else"};
    const auto refused = decode(encode(sent, foreign), keys);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == support::error_kind::unauthenticated);
}

TEST_CASE("signed values out of range are refused", "[wire]")
{
    struct row
    {
        const char* what;
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
        {"life", 2, max_incarnation + 1},
        {"incarnation", 3, UINT64_MAX},
        {"fractional sequence", 4, 1.5},
        {"body as object", 7, json::object({{"a", 1}})},
        {"records as text", 8, "x"},
        {"record of nothing", 8, json::array({json::array()})},
        {"state", 9, json::array({wrong_state})},
        {"too many", 9, json(std::vector<int>(500, 1))},
        {"version as null", 10, json::array({nullptr})},
    };
    CHECK(decode(frame(cbor(gossip_fields())), keys));
    for (const row& one : rows) {
        INFO(one.what);
        json fields = gossip_fields();
        fields[one.position] = one.value;
        const auto refused = decode(frame(cbor(fields)), keys);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == support::error_kind::malformed_message);
    }
}

TEST_CASE("oversized, cut and foreign datagrams are refused", "[wire]")
{
    CHECK(decode(std::string(max_datagram_bytes + 1, 'x'), keys).error().kind ==
          support::error_kind::too_large);
    const std::string whole = encode(largest(gossip{}), keys[0]);
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decode(std::string_view(whole).substr(0, size), keys));
    // Deep nesting and huge claimed lengths behind a good signature.
    CHECK_FALSE(decode(frame(std::string(1100, '\x81')), keys));
    CHECK_FALSE(decode(frame("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"), keys));
    CHECK_FALSE(decode(frame("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"), keys));
}

TEST_CASE("any bytes are taken or refused without a crash", "[wire][fuzz]")
{
    REQUIRE(rc::check("raw bytes", [](const std::string& bytes) {
        (void)decode(bytes, keys);
    }));
    REQUIRE(rc::check("signed bytes", [](const std::string& bytes) {
        (void)decode(frame(bytes), keys);
    }));
    REQUIRE(rc::check("changed message bytes", [] {
        message sent = largest(*rc::gen::elementOf(all_bodies()));
        sent.records = {full_record()};
        sent.statuses = {{1, 1, member_state::suspect, 1, 1}};
        const std::string datagram = encode(sent, keys[0]);
        const std::size_t head = 4 + support::signature_bytes;
        std::string body = datagram.substr(head);
        const auto changes = *rc::gen::inRange(1, 8);
        for (int count = 0; count < changes; ++count) {
            const auto where = *rc::gen::inRange(std::size_t{0}, body.size());
            body[where] = *rc::gen::arbitrary<char>();
        }
        member_record self = full_record();
        self.id = "own";
        self.incarnation = 5;
        member core(self, {}, keys, 1);
        const auto now = support::time_point{support::milliseconds(1000)};
        (void)core.on_tick(now);
        (void)core.on_datagram({"10.0.0.1", 1}, frame(body), now);
        (void)core.on_tick(now + support::milliseconds(100));
    }));
}
