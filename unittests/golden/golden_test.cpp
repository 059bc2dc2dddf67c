// Runs each session twice, which must give the same transcript, and compares it
// with its golden file. With GALENARUDDER_RENEW=1 (make golden) it rewrites the
// golden files; review the differences.
#include "session.hpp"

#include "galenarudder/config/settings.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

using namespace galenarudder;

namespace galenarudder::golden {

void transcript::line(std::string_view text)
{
    text_ += text;
    text_ += '\n';
}

const std::vector<session>& sessions()
{
    static const std::vector<session> all_sessions = {
        {"call_flow", play_call_flow},
        {"configuration", play_configuration},
        {"decisions", play_decisions},
        {"gate", play_gate},
        {"link_messages", play_link_messages},
        {"membership", play_membership},
        {"refusals", play_refusals},
    };
    return all_sessions;
}

} // namespace galenarudder::golden

namespace {

std::string play(const golden::session& scenario)
{
    golden::transcript out;
    scenario.play(out);
    return out.text();
}

std::string golden_path(const golden::session& scenario)
{
    return std::string(GALENARUDDER_SOURCE_DIR) + "/test/golden/" +
           scenario.name + ".txt";
}

} // namespace

TEST_CASE("sessions match their golden files", "[golden]")
{
    for (const golden::session& scenario : golden::sessions()) {
        DYNAMIC_SECTION(scenario.name)
        {
            const std::string text = play(scenario);
            CHECK(play(scenario) == text);
            if (std::getenv("GALENARUDDER_RENEW") != nullptr)
                std::ofstream(golden_path(scenario)) << text;
            const auto expected = config::read_file(golden_path(scenario));
            REQUIRE(expected);
            CHECK(text == expected.value());
        }
    }
}
