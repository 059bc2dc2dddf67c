// Texts survive compression; anything else is refused.
#include "galenarudder/support/compression.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace galenarudder::support {

TEST_CASE("a compressed text is restored")
{
    CHECK(rc::check("any text", [](const std::string& part) {
        std::string plain;
        for (int count = 0; count < 200; ++count)
            plain += part;
        const auto restored = decompress(compress(plain), plain.size());
        RC_ASSERT(restored.has_value());
        RC_ASSERT(restored.value() == plain);
    }));
    std::string routes;
    for (int number = 0; number < 900; ++number) {
        routes += R"({"deadline_ms":1500,"host":"shop.example","prefix":"/p)" +
                  std::to_string(number) + R"(/","rank":"priority-1"},)";
    }
    CHECK(compress(routes).size() * 10 < routes.size());
}

TEST_CASE("a malformed compressed text or a wrong size is refused")
{
    const std::string plain(100'000, 'x');
    const std::string compressed = compress(plain);
    CHECK_FALSE(decompress(compressed, plain.size() - 1));
    CHECK_FALSE(decompress(compressed, plain.size() + 1));
    CHECK_FALSE(decompress(compressed, 0));
    CHECK_FALSE(decompress(compressed + "x", plain.size()));
    CHECK_FALSE(
        decompress(compressed.substr(0, compressed.size() - 1), plain.size()));
    CHECK_FALSE(decompress("", 1));
    CHECK(rc::check("bytes changed", [&] {
        std::string changed = compressed;
        changed[*rc::gen::inRange<std::size_t>(0, changed.size())] ^= 1;
        const auto restored = decompress(changed, plain.size());
        RC_ASSERT((!restored || restored.value().size() == plain.size()));
    }));
    CHECK(rc::check("any bytes", [&](const std::string& bytes) {
        const auto restored = decompress(bytes, 1000);
        RC_ASSERT((!restored || restored.value().size() == 1000U));
    }));
}

} // namespace galenarudder::support
