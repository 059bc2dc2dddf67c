// The limit that an upstream states spaces the starts of calls.
#include "galenarudder/admission/rate_limit.hpp"

#include <catch2/catch.hpp>

#include <deque>

namespace galenarudder::admission {

using namespace std::chrono_literals;

namespace {

const support::time_point start{100s};

/// Starts calls as early as the limit allows, and returns the largest number of
/// starts within any 4 s.
std::size_t most_in_window(rate_limit& limit, support::duration span)
{
    std::deque<support::time_point> recent;
    std::size_t most = 0;
    for (auto now = start; now < start + span; now += 1ms) {
        while (limit.wait(0, now) == 0ms) {
            limit.on_start(now);
            recent.push_back(now);
        }
        while (!recent.empty() && now - recent.front() >= 4s)
            recent.pop_front();
        most = std::max(most, recent.size());
    }
    return most;
}

} // namespace

TEST_CASE("calls in any window stay within the stated limit")
{
    for (const double calls_per_s : {0.0, 0.25, 0.7, 1.0, 7.2, 42.5, 900.0}) {
        INFO(calls_per_s);
        rate_limit limit;
        limit.set(calls_per_s, start);
        const double allowed = 4 * std::max(calls_per_s, 0.25);
        const auto most = static_cast<double>(most_in_window(limit, 20s));
        CHECK(most <= allowed + std::max(1.0, calls_per_s) + 1);
        CHECK(most >= allowed - 1);
    }
}

TEST_CASE("without a limit nothing waits")
{
    rate_limit limit;
    CHECK(limit.wait(1000, start) == 0ms);
    limit.set(2.0, start);
    CHECK(limit.wait(0, start) == 500ms);
    CHECK(limit.wait(3, start) == 2s);
    limit.set(std::nullopt, start);
    CHECK(limit.wait(1000, start) == 0ms);
}

TEST_CASE("a limit that is stated again or changed does not add calls")
{
    rate_limit limit;
    limit.set(2.0, start);
    support::time_point now = start;
    std::size_t started = 0;
    for (int answer = 0; answer < 400; ++answer) {
        now += 10ms;
        limit.set(answer % 2 == 0 ? 2.0 : 2.5, now);
        while (limit.wait(0, now) == 0ms) {
            limit.on_start(now);
            ++started;
        }
    }
    CHECK(started <= 10);
    CHECK(started >= 8);
}

} // namespace galenarudder::admission
