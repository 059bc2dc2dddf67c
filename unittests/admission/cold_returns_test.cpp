// Guards against callers that a cold upstream refuses again when they return at
// the time that it stated.
#include "galenarudder/admission/gate.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace galenarudder::admission {

namespace {

using namespace std::chrono_literals;

const support::time_point start_time{100s};

/// Callers of one cold upstream with 12 slots, who return when their refusal
/// says so.
class cold_return
{
public:
    cold_return(double cold_calls_per_s,
                support::milliseconds cold,
                std::optional<support::milliseconds> call_goal = std::nullopt)
        : goal(call_goal)
    {
        gate_.set_cold_rate(cold_calls_per_s, now);
        gate_.on_upstream_announced(12, now);
        gate_.on_cold_stated(cold_source::announcement, cold, now);
    }

    void arrive(support::time_point at)
    {
        waiting_.emplace_back(at, refusals.size());
        refusals.push_back(0);
    }

    void run(support::duration span)
    {
        for (const auto end = now + span; now < end; now += 5ms) {
            while (!ends_.empty() && ends_.begin()->first <= now) {
                const attempt_key key = ends_.begin()->second;
                ends_.erase(ends_.begin());
                carry_out(gate_.on_ended(key, run_result::answered, 50ms, now));
            }
            for (const auto& [arrives, caller] : std::exchange(waiting_, {})) {
                if (arrives > now) {
                    waiting_.emplace_back(arrives, caller);
                    continue;
                }
                const auto id = static_cast<support::attempt_id>(++last_id_);
                caller_of_[id] = caller;
                carry_out(gate_.offer(
                    {{1, id},
                     "urgent",
                     now + 1500ms,
                     {},
                     {},
                     {},
                     {},
                     goal ? now + *goal : support::time_point::max()},
                    now));
            }
            carry_out(gate_.on_tick(now));
        }
    }

    std::size_t count_refused(unsigned times) const
    {
        return static_cast<std::size_t>(
            std::count_if(refusals.begin(), refusals.end(),
                          [times](unsigned count) { return count >= times; }));
    }

    support::time_point now = start_time;
    /// Calls are late after this time.
    std::optional<support::milliseconds> goal;
    /// Refusals of each caller.
    std::vector<unsigned> refusals;
    /// Stated times of return.
    std::multiset<support::time_point> returns;

private:
    void carry_out(const std::vector<action>& actions)
    {
        for (const action& next : actions) {
            if (const auto* started = std::get_if<start>(&next))
                ends_.emplace(now + 50ms, started->key);
            const auto* refused = std::get_if<refuse>(&next);
            if (refused == nullptr)
                continue;
            const std::size_t caller = caller_of_.at(refused->key.id);
            ++refusals[caller];
            waiting_.emplace_back(now + refused->refusal.retry_after, caller);
            returns.insert(waiting_.back().first);
        }
    }

    gate gate_{config::default_configuration()};
    std::uint64_t last_id_ = 0;
    /// When each caller calls next.
    std::vector<std::pair<support::time_point, std::size_t>> waiting_;
    std::map<support::attempt_id, std::size_t> caller_of_;
    std::multimap<support::time_point, attempt_key> ends_;
};

struct load
{
    std::size_t steady_per_s;
    std::size_t burst;
    /// Callers that are refused more than once.
    std::size_t max_refused_again;
};

} // namespace

TEST_CASE("callers that a cold upstream refuses find room when they return")
{
    // 10 calls a second, of which some arrive all the time.
    const auto [steady_per_s, burst, max_refused_again] =
        GENERATE(load{0, 60, 0}, load{0, 200, 0}, load{5, 60, 0});
    // The deadline or an earlier goal bounds the waiting calls.
    const auto goal = GENERATE(std::optional<support::milliseconds>(),
                               std::optional<support::milliseconds>(400ms));
    CAPTURE(steady_per_s, burst, goal.has_value());
    cold_return given(10, 40s, goal);
    for (std::size_t call = 0; call < 40 * steady_per_s; ++call)
        given.arrive(start_time + call * 1000ms / steady_per_s);
    for (std::size_t call = 0; call < burst; ++call)
        given.arrive(start_time + 5s);
    given.run(45s);
    REQUIRE(given.count_refused(1) >= burst - 20);
    CAPTURE(given.count_refused(1), given.count_refused(2));
    CHECK(given.count_refused(2) <= max_refused_again);
    // Spread: no second has more returns than the upstream takes.
    for (const support::time_point begin : given.returns) {
        CHECK(std::distance(given.returns.lower_bound(begin),
                            given.returns.lower_bound(begin + 1s)) <= 10);
    }
}

TEST_CASE("under a lasting excess refused callers return once it is warm")
{
    cold_return given(10, 10s);
    for (std::size_t call = 0; call < 400; ++call)
        given.arrive(start_time + call * 25ms);
    given.run(15s);
    CAPTURE(given.count_refused(1), given.count_refused(2));
    CHECK(given.count_refused(1) >= 250);
    // Refused in the first 3 s, before the excess is known to last.
    CHECK(given.count_refused(2) <= 60);
    CHECK(given.count_refused(3) <= 5);
}

} // namespace galenarudder::admission
