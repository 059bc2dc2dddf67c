// Transfers survive encoding; tampering and foreign bytes are errors.
#include "galenarudder/rollout/transfer.hpp"

#include "galenarudder/config/document.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace galenarudder;

namespace {

const std::string before =
    R"({"a":1,"long":"0123456789012345678901234567890"})";
const std::string after = R"({"a":2,"long":"0123456789012345678901234567890"})";

const std::vector<config::shared_key> keys = {{"new", "secret-of-the-new-key"},
                                              {"old", "secret-of-the-old-key"}};

} // namespace

TEST_CASE("a transfer rebuilds the document", "[rollout]")
{
    const bool has_base = GENERATE(true, false);
    const std::string from = has_base ? before : "";
    const auto made = rollout::make_transfer(from, has_base ? 1 : 0, after, 2);
    const auto received = rollout::decode_transfer(rollout::encode(made));
    REQUIRE(received);
    const auto rebuilt = rollout::apply_transfer(from, received.value());
    REQUIRE(rebuilt);
    CHECK(rebuilt.value() == after);
}

TEST_CASE("a transfer that does not give the stated hash is refused",
          "[rollout]")
{
    auto made = rollout::make_transfer("", 0, after, 2);
    made.body = before;
    CHECK(rollout::apply_transfer("", made).error().kind ==
          support::error_kind::malformed_message);
    const auto patch =
        rollout::transfer{{1, rollout::hash_of(before)},
                          {2, rollout::hash_of(after)},
                          GENERATE(as<std::string>(), "[]", "{", "7",
                                   R"([{"op":"remove","path":"/no"}])")};
    CHECK(rollout::apply_transfer(before, patch).error().kind ==
          support::error_kind::malformed_message);
    CHECK(rollout::apply_transfer(after, patch).error().kind ==
          support::error_kind::conflict);
}

TEST_CASE("only a key of the fleet signs", "[rollout]")
{
    struct attempt
    {
        const char* claimed_id;
        config::shared_key signed_with;
        const char* text;
        bool authentic;
    };
    const auto row = GENERATE(values<attempt>(
        {{"new", {"new", "secret-of-the-new-key"}, "text", true},
         {"old", {"old", "secret-of-the-old-key"}, "text", true},
         {"old", {"new", "secret-of-the-new-key"}, "text", false},
         {"none", {"new", "secret-of-the-new-key"}, "text", false},
         {"new", {"new", "secret-of-another-fleet"}, "text", false},
         {"new", {"new", "secret-of-the-new-key"}, "other", false}}));
    const std::string signature =
        rollout::sign_transfer(row.signed_with, "text");
    const auto verified =
        rollout::verify_transfer(keys, row.claimed_id, signature, row.text);
    CHECK(verified.has_value() == row.authentic);
    CHECK_FALSE(rollout::verify_transfer(keys, "new", "", "text"));
}

TEST_CASE("foreign bytes never crash the decoders", "[rollout]")
{
    // The same bytes at every run.
    setenv("RC_PARAMS", "seed=4", 0);
    rc::check("random bytes", [](const std::string& bytes) {
        (void)rollout::decode_transfer(bytes);
        (void)config::parse_document(bytes);
    });
    const std::string valid =
        rollout::encode(rollout::make_transfer(before, 1, after, 2));
    rc::check("a byte changed", [&](std::size_t at, char other) {
        std::string bytes = valid;
        bytes[at % bytes.size()] = other;
        const auto decoded = rollout::decode_transfer(bytes);
        if (decoded)
            (void)rollout::apply_transfer(before, decoded.value());
    });
}
