// Every log line is one valid JSON object.
#include "galenarudder/telemetry/log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace galenarudder::telemetry {

TEST_CASE("a line is one JSON object with time, member and event first")
{
    const std::string text = "two\nlines and \"quotes\"";
    const std::string line =
        format_line("2026-12-04T12:00:00.000Z", "reservas-1", "call.refused",
                    {{"call", text},
                     {"attempts", 2U},
                     {"change", -3},
                     {"took_ms", 1.5},
                     {"whole", true}});
    CHECK(line.find('\n') == line.size() - 1);
    CHECK(line.starts_with(R"({"time":"2026-12-04T12:00:00.000Z","member":)"
                           R"("reservas-1","event":"call.refused",)"));
    const auto parsed = nlohmann::json::parse(line);
    CHECK(parsed["call"] == text);
    CHECK(parsed["attempts"] == 2);
    CHECK(parsed["change"] == -3);
    CHECK(parsed["took_ms"] == 1.5);
    CHECK(parsed["whole"] == true);
}

TEST_CASE("invalid UTF-8 in a field still gives valid JSON")
{
    const std::string line =
        format_line("t", "m", "e", {{"call", std::string("a\xff")}});
    CHECK(nlohmann::json::accept(line));
}

} // namespace galenarudder::telemetry
