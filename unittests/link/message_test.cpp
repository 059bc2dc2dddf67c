// Decoding an encoded message gives the same message; bytes that are no message
// are an error and don't crash the decoder.
#include "galenarudder/link/message.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenarudder;

TEST_CASE(
    "a decoded call head has the encoded service, rank, time, key, target and "
    "field count",
    "[link]")
{
    support::call_head head;
    head.id = support::attempt_id{7};
    head.service = "reservas";
    head.rank = "urgent";
    head.organisation = "deposit-house";
    head.remaining_time = support::milliseconds(250);
    head.time_until_late = support::milliseconds(120);
    head.may_hand_back = true;
    head.idempotency_key = "k1";
    head.method = "POST";
    head.target = "/deposits?x=1";
    head.fields = {{"Accept", "text/plain"}, {"accept", "*/*"}};
    const auto decoded = link::decode(link::encode(link::call_begin{head}));
    REQUIRE(decoded);
    const auto& begin = std::get<link::call_begin>(decoded.value());
    CHECK(begin.head.id == head.id);
    CHECK(begin.head.service == head.service);
    CHECK(begin.head.rank == head.rank);
    CHECK(begin.head.organisation == head.organisation);
    CHECK(begin.head.remaining_time == head.remaining_time);
    CHECK(begin.head.time_until_late == head.time_until_late);
    CHECK(begin.head.may_hand_back);
    CHECK(begin.head.idempotency_key == head.idempotency_key);
    CHECK(begin.head.target == head.target);
    CHECK(begin.head.fields.size() == 2);
    CHECK_FALSE(begin.head.content_length);
}

// Guards against a fleet that breaks its links while it is being upgraded.
TEST_CASE("a call head from a peer that sends no organisation has none",
          "[link]")
{
    support::call_head head;
    head.service = "reservas";
    head.organisation = "deposit-house";
    const std::string encoded = link::encode(link::call_begin{head});
    auto fields = nlohmann::json::from_cbor(encoded);
    REQUIRE(fields.back() == head.organisation);
    fields.erase(fields.size() - 1);
    std::string earlier_form;
    nlohmann::json::to_cbor(fields, earlier_form);
    const auto decoded = link::decode(earlier_form);
    REQUIRE(decoded);
    const auto& begin = std::get<link::call_begin>(decoded.value());
    CHECK(begin.head.service == head.service);
    CHECK(begin.head.organisation.empty());
    CHECK_FALSE(begin.head.time_until_late);
}

// Guards against links that break because an entry sends a part that an earlier
// version does not know, and against bytes for calls without a goal.
TEST_CASE("the time until a call is late is a last part that may be absent",
          "[link]")
{
    support::call_head head;
    head.organisation = "deposit-house";
    auto fields =
        nlohmann::json::from_cbor(link::encode(link::call_begin{head}));
    REQUIRE(fields.back() == head.organisation);
    head.time_until_late = support::milliseconds(-5);
    auto longer =
        nlohmann::json::from_cbor(link::encode(link::call_begin{head}));
    CHECK(longer.back() == 0);
    // An earlier version reads the parts before it at the same places.
    longer.erase(longer.size() - 1);
    CHECK(longer == fields);
}

TEST_CASE("bytes that are no link message are a malformed-message error",
          "[link]")
{
    const std::string bytes =
        GENERATE(std::string(), std::string("\x80"), std::string("\xff\xff"),
                 std::string("\x81\x18\x63"), std::string("\x81\x02"),
                 std::string("{\"json\":1}"));
    const auto decoded = link::decode(bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == support::error_kind::malformed_message);
}
