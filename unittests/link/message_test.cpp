// Link messages survive encoding; foreign bytes are errors, not crashes.
#include "galenarudder/link/message.hpp"

#include <catch2/catch.hpp>

using namespace galenarudder;

TEST_CASE("a call's head survives encoding", "[link]")
{
    support::call_head head;
    head.id = support::call_id{7};
    head.service = "reservas";
    head.rank = "urgent";
    head.remaining = support::milliseconds(250);
    head.movable = true;
    head.key = "k1";
    head.method = "POST";
    head.target = "/deposits?x=1";
    head.fields = {{"Accept", "text/plain"}, {"accept", "*/*"}};
    const auto decoded = link::decode(link::encode(link::call_begin{head}));
    REQUIRE(decoded);
    const auto& begun = std::get<link::call_begin>(decoded.value());
    CHECK(begun.head.id == head.id);
    CHECK(begun.head.service == head.service);
    CHECK(begun.head.rank == head.rank);
    CHECK(begun.head.remaining == head.remaining);
    CHECK(begun.head.movable);
    CHECK(begun.head.key == head.key);
    CHECK(begun.head.target == head.target);
    CHECK(begun.head.fields.size() == 2);
    CHECK_FALSE(begun.head.content_length);
}

TEST_CASE("foreign bytes are a typed error", "[link]")
{
    const std::string bytes =
        GENERATE(std::string(), std::string("\x80"), std::string("\xff\xff"),
                 std::string("\x81\x18\x63"), std::string("\x81\x02"),
                 std::string("{\"json\":1}"));
    const auto decoded = link::decode(bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == support::error_kind::malformed_message);
}
