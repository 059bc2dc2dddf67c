// Decoding an encoded message gives the same message; bytes that are no message
// are an error and don't crash the decoder.
#include "galenarudder/link/message.hpp"

#include <catch2/catch.hpp>

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
    head.remaining_time = support::milliseconds(250);
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
    CHECK(begin.head.remaining_time == head.remaining_time);
    CHECK(begin.head.may_hand_back);
    CHECK(begin.head.idempotency_key == head.idempotency_key);
    CHECK(begin.head.target == head.target);
    CHECK(begin.head.fields.size() == 2);
    CHECK_FALSE(begin.head.content_length);
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
