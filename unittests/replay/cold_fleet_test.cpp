// Guards against cold upstreams that spend their few starts on calls that are
// late by then: all 60 upstreams of a deployment lose power and return cold.
#include "../../tools/galenarudder-replay/play_scenario.hpp"
#include "../../tools/galenarudder-replay/scenario.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace galenarudder::replay;

namespace {

figures play(const std::string& overlay)
{
    std::ifstream file(GALENARUDDER_SOURCE_DIR
                       "/examples/scenarios/catch-up-radio-cold.json");
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed =
        parse_scenario(text.str(), "cold.json", overlay, "overlay.json");
    INFO((parsed ? "" : describe(parsed.error())));
    REQUIRE(parsed);
    figures sum{};
    for (const seed_figures& seed :
         play_scenario(parsed.value(), 1, 4, 1).seeds) {
        for (std::size_t index = 0; index < figure_count; ++index)
            sum.at(index) += seed.total.at(index);
    }
    return sum;
}

/// Work that takes \p factor times as long at first.
std::string slow_start(const std::string& factor, const std::string& mode)
{
    const std::string slow = R"({"cold_slowdown": )" + factor + "}";
    return R"({"services": {"playout": )" + slow + R"(, "appeals": )" + slow +
           R"(, "passes": )" + slow +
           R"(}, "config": {"automation": {"cold_admission": ")" + mode +
           R"("}}})";
}

} // namespace

TEST_CASE("more calls are in time while all upstreams are cold", "[scenario]")
{
    struct row
    {
        const char* slowdown;
        const char* mode;
        double least_in_time;
        /// Of the calls in time, as a ratio to those without the decision.
        double least_gain;
        double most_late;
    };
    const auto expected = GENERATE(values<row>({
        {"1", "automatic", 0.75, 1.08, 0.08},
        {"1", "bounded", 0.75, 1.08, 0.08},
        {"4", "automatic", 0.2, 1.3, 0.5},
    }));
    const figures without = play(slow_start(expected.slowdown, "observe"));
    const figures with = play(slow_start(expected.slowdown, expected.mode));
    CAPTURE(expected.slowdown, expected.mode, without, with);
    const auto share = [](figures counts, figure which) {
        return at(counts, which) / at(counts, figure::offered);
    };
    CHECK(share(with, figure::in_time) >= expected.least_in_time);
    CHECK(share(with, figure::in_time) >=
          expected.least_gain * share(without, figure::in_time));
    CHECK(share(with, figure::late) <= expected.most_late);
}
