// The time for which a message waited is known without a common clock.
#include "galenarudder/link/transit_estimate.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::link {

using namespace std::chrono_literals;

namespace {

/// The peer's clock is this far ahead, and a message takes at least this long.
constexpr support::milliseconds offset{7200'000};
constexpr support::milliseconds shortest{3};

support::duration receive(transit_estimate& estimate,
                          support::duration sent_at,
                          support::duration waits)
{
    return estimate.on_message(support::time_point(sent_at + offset),
                               support::time_point(sent_at + shortest + waits));
}

} // namespace

TEST_CASE("a message that waited is told from one that did not", "[link]")
{
    transit_estimate estimate;
    CHECK(receive(estimate, 1000s, 0ms) == 0ms);
    CHECK(receive(estimate, 1001s, 0ms) == 0ms);
    CHECK(receive(estimate, 1002s, 1400ms) == 1400ms);
    CHECK(receive(estimate, 1003s, 2ms) == 2ms);
}

TEST_CASE("a first message that waited is corrected by the next", "[link]")
{
    transit_estimate estimate;
    CHECK(receive(estimate, 1000s, 500ms) == 0ms);
    CHECK(receive(estimate, 1001s, 0ms) == 0ms);
    CHECK(receive(estimate, 1002s, 500ms) == 500ms);
}

TEST_CASE("a drift of the clocks does not add up to a wait", "[link]")
{
    transit_estimate estimate;
    // A clock that gains 100 ppm, over an hour.
    for (int second = 0; second < 3600; ++second) {
        const support::duration drift = second * 100us;
        const support::duration wait =
            receive(estimate, std::chrono::seconds(1000 + second), drift);
        CHECK(wait <= 2 * (transit_estimate::window / 1s) * 100us);
    }
}

} // namespace galenarudder::link
