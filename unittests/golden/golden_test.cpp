// Plays each session twice and compares it with its golden file. Set
// GALENARUDDER_RENEW=1 (make golden) to write the files after a review.
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
    static const std::vector<session> all = {
        {"call_flow", play_call_flow},
        {"configuration", play_configuration},
        {"decisions", play_decisions},
        {"gate", play_gate},
        {"link_messages", play_link_messages},
        {"membership", play_membership},
        {"refusals", play_refusals},
    };
    return all;
}

} // namespace galenarudder::golden

namespace {

std::string play(const golden::session& wanted)
{
    golden::transcript out;
    wanted.play(out);
    return out.text();
}

std::string path_of(const golden::session& wanted)
{
    return std::string(GALENARUDDER_SOURCE_DIR) + "/test/golden/" +
           wanted.name + ".txt";
}

} // namespace

TEST_CASE("sessions match their golden files", "[golden]")
{
    for (const golden::session& wanted : golden::sessions()) {
        DYNAMIC_SECTION(wanted.name)
        {
            const std::string played = play(wanted);
            CHECK(play(wanted) == played);
            if (std::getenv("GALENARUDDER_RENEW") != nullptr)
                std::ofstream(path_of(wanted)) << played;
            const auto kept = config::read_file(path_of(wanted));
            REQUIRE(kept);
            CHECK(played == kept.value());
        }
    }
}
