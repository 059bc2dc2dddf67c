// Transfers survive encoding; tampered transfers and arbitrary bytes
// give errors.
#include "galenarudder/rollout/transfer.hpp"

#include "galenarudder/config/document.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace galenarudder;

namespace {

const std::string old_document =
    R"({"a":1,"long":"0123456789012345678901234567890"})";
const std::string new_document =
    R"({"a":2,"long":"0123456789012345678901234567890"})";

const std::vector<config::shared_key> keys = {{"new", "secret-of-the-new-key"},
                                              {"old", "secret-of-the-old-key"}};

} // namespace

TEST_CASE("a transfer rebuilds the document", "[rollout]")
{
    const bool has_base = GENERATE(true, false);
    const std::string from = has_base ? old_document : "";
    const auto built =
        rollout::make_transfer(from, has_base ? 1 : 0, new_document, 2);
    const auto received = rollout::decode_transfer(rollout::encode(built));
    REQUIRE(received);
    const auto rebuilt = rollout::apply_transfer(from, received.value());
    REQUIRE(rebuilt);
    CHECK(rebuilt.value() == new_document);
}

TEST_CASE("a transfer whose result does not have the given hash is refused",
          "[rollout]")
{
    auto built = rollout::make_transfer("", 0, new_document, 2);
    built.body = old_document;
    CHECK(rollout::apply_transfer("", built).error().kind ==
          support::error_kind::malformed_message);
    const auto patch =
        rollout::transfer{{1, rollout::hash_of(old_document)},
                          {2, rollout::hash_of(new_document)},
                          GENERATE(as<std::string>(), "[]", "{", "7",
                                   R"([{"op":"remove","path":"/no"}])")};
    CHECK(rollout::apply_transfer(old_document, patch).error().kind ==
          support::error_kind::malformed_message);
    CHECK(rollout::apply_transfer(new_document, patch).error().kind ==
          support::error_kind::conflict);
}

TEST_CASE("only signatures with a shared key are accepted", "[rollout]")
{
    struct signature_case
    {
        const char* key_id;
        config::shared_key signing_key;
        const char* text;
        bool authentic;
    };
    const auto row = GENERATE(values<signature_case>(
        {{"new", {"new", "secret-of-the-new-key"}, "text", true},
         {"old", {"old", "secret-of-the-old-key"}, "text", true},
         {"old", {"new", "secret-of-the-new-key"}, "text", false},
         {"none", {"new", "secret-of-the-new-key"}, "text", false},
         {"new", {"new", "secret-of-another-fleet"}, "text", false},
         {"new", {"new", "secret-of-the-new-key"}, "other", false}}));
    const std::string signature =
        rollout::sign_transfer(row.signing_key, "text");
    const auto verified =
        rollout::verify_transfer(keys, row.key_id, signature, row.text);
    CHECK(verified.has_value() == row.authentic);
    CHECK_FALSE(rollout::verify_transfer(keys, "new", "", "text"));
}

TEST_CASE("arbitrary bytes never crash the decoders", "[rollout]")
{
    // Use the same bytes in every run.
    setenv("RC_PARAMS", "seed=4", 0);
    rc::check("random bytes", [](const std::string& bytes) {
        (void)rollout::decode_transfer(bytes);
        (void)config::parse_document(bytes);
    });
    const std::string valid = rollout::encode(
        rollout::make_transfer(old_document, 1, new_document, 2));
    rc::check("a byte changed", [&](std::size_t position, char replacement) {
        std::string bytes = valid;
        bytes[position % bytes.size()] = replacement;
        const auto decoded = rollout::decode_transfer(bytes);
        if (decoded)
            (void)rollout::apply_transfer(old_document, decoded.value());
    });
}
