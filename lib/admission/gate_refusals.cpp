// Limits on the starts of calls, and the refusals of calls that cannot start.
#include "gate_state.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace galenarudder::admission {

using config::automation;
using config::automation_mode;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

/// Bounds of the Retry-After value that refusals carry.
constexpr support::milliseconds min_retry_after{100};
constexpr support::milliseconds max_retry_after{10'000};
/// Refusals of a cold upstream state when there is room, but at most this time
/// after the end of the cold time: an upstream that is not cold has room for
/// many times as many calls, and callers should not stay away from it.
constexpr support::milliseconds max_wait_after_cold{1'000};
/// Retry-After of refusals while the upstream is draining or absent.
constexpr support::milliseconds unavailable_retry_after{1'000};

} // namespace

refusal not_run(refusal_kind kind,
                support::milliseconds retry_after,
                std::string detail)
{
    return {kind, run_outcome::not_run, false, retry_after, std::move(detail)};
}

refuse
refuse_unavailable(const attempt& call, refusal_kind kind, std::string detail)
{
    return {call.key,
            not_run(kind, unavailable_retry_after, std::move(detail))};
}

/// Returns how many calls may start per second: the smaller of the limit that
/// the upstream states and of what it takes while it is cold.
std::optional<double> gate::state::start_rate(support::time_point now) const
{
    const std::optional<double> stated = stated_limit.calls_per_s();
    if (!cold.applies(now))
        return stated;
    return std::min(cold.calls_per_s(), stated.value_or(cold.calls_per_s()));
}

/// Returns how long the call that starts after \p ahead others must wait under
/// both limits.
support::duration gate::state::start_wait(std::size_t ahead,
                                          support::time_point now) const
{
    return std::max(stated_limit.wait(ahead, now), cold.wait(ahead, now));
}

/// Returns how many calls can run at once under the limits on starts, by which
/// entries compare upstreams.
std::uint32_t gate::state::usable_slots(support::time_point now) const
{
    const std::uint32_t slots = concurrency.current();
    const double mean_ms = service_times.mean_ms();
    const std::optional<double> calls_per_s = start_rate(now);
    if (!calls_per_s || slots == 0 || mean_ms <= 0)
        return slots;
    constexpr double ms_per_s = 1000;
    const double usable = std::ceil(*calls_per_s * mean_ms / ms_per_s);
    return static_cast<std::uint32_t>(
        std::clamp<double>(usable, 1, static_cast<double>(slots)));
}

support::milliseconds gate::state::retry_after(support::time_point now)
{
    if (cold.applies(now))
        return cold_retry_after(now);
    const support::duration backlog = expected_wait(queue.size());
    return std::clamp(
        std::chrono::duration_cast<support::milliseconds>(2 * backlog),
        min_retry_after, max_retry_after);
}

/// Reserves the next free place behind the waiting calls and those that were
/// refused before, and returns the time until then.
support::milliseconds gate::state::cold_retry_after(support::time_point now)
{
    constexpr double ms_per_s = 1000;
    const double mean_ms = service_times.mean_ms();
    const double cold_rate = start_rate(now).value_or(cold.calls_per_s());
    const double warm_rate =
        mean_ms > 0 ? concurrency.current() * ms_per_s / mean_ms : cold_rate;
    const support::time_point first =
        now + std::max<support::duration>({min_retry_after,
                                           start_wait(queue.size(), now),
                                           expected_wait(queue.size())});
    const support::duration max_wait =
        std::max<support::duration>(first - now, cold.remaining(now)) +
        max_wait_after_cold;
    const support::time_point place = returns.reserve(
        {first, now + cold.remaining(now), cold_rate,
         std::max(cold_rate,
                  std::min(warm_rate,
                           stated_limit.calls_per_s().value_or(warm_rate)))},
        now, max_wait);
    return std::max(std::chrono::ceil<support::milliseconds>(place - now),
                    min_retry_after);
}

refuse gate::state::refuse_for_deadline(const attempt& call,
                                        std::string detail,
                                        support::time_point now)
{
    ++counts.refused_deadline;
    return {call.key, not_run(refusal_kind::deadline_exceeded, retry_after(now),
                              std::move(detail))};
}

refuse gate::state::refuse_overflow(const attempt& call,
                                    support::time_point now)
{
    ++counts.refused_overload;
    return {call.key,
            not_run(refusal_kind::overloaded, retry_after(now),
                    "the queue is full of calls that take precedence")};
}

/// Refuses the call as handed back, since its entry can send it to another
/// upstream.
refuse gate::state::hand_back(const attempt& call,
                              refusal_kind kind,
                              support::time_point now)
{
    ++counts.handed_back;
    if (kind == refusal_kind::rate_limited && cold.applies(now))
        ++counts.turned_away_cold;
    return {call.key, not_run(kind, min_retry_after,
                              kind == refusal_kind::slow_spell
                                  ? "the upstream is temporarily slow"
                                  : "the upstream's limit leaves no room now")};
}

void gate::state::hand_back_waiting(refusal_kind kind,
                                    support::time_point now,
                                    std::vector<action>& actions)
{
    const auto may_hand_back = [](const attempt& queued) {
        return queued.may_hand_back;
    };
    for (const attempt& queued : queue.remove_if(may_hand_back))
        actions.emplace_back(hand_back(queued, kind, now));
}

refuse gate::state::refuse_for_limit(const attempt& call,
                                     std::string detail,
                                     support::time_point now)
{
    ++counts.refused_limit;
    const bool is_cold = cold.applies(now);
    counts.turned_away_cold += is_cold ? 1 : 0;
    const auto wait = is_cold
                          ? cold_retry_after(now)
                          : std::clamp(std::chrono::ceil<support::milliseconds>(
                                           start_wait(queue.size(), now)),
                                       min_retry_after, max_retry_after);
    refuse refused{
        call.key, not_run(refusal_kind::rate_limited, wait, std::move(detail))};
    // The call has a place here. Tried elsewhere it would get one at each gate,
    // so that all places would lie several times too late.
    refused.refusal.retry_exhausted = is_cold;
    return refused;
}

/// Refuses the waiting calls that could start only when too little of their
/// time is left, given the calls that go before them.
void gate::state::refuse_beyond_limit(support::time_point now,
                                      std::vector<action>& actions)
{
    if (!start_rate(now) || queue.size() == 0 ||
        in_force->mode(automation::shed) == automation_mode::observe)
        return;
    std::size_t ahead = 0;
    const auto has_no_room = [&](const attempt& queued) {
        const support::duration wait = start_wait(ahead, now);
        const bool late =
            wait > support::duration(0) &&
            now + wait + expected_service_time(queued) > queued.deadline;
        ahead += late ? 0 : 1;
        return late;
    };
    for (const attempt& queued : queue.remove_in_order(has_no_room))
        actions.emplace_back(refuse_for_limit(
            queued, "the upstream's limit leaves no room before the deadline",
            now));
}

expected_run gate::state::expect(const attempt& call,
                                 std::size_t ahead,
                                 support::time_point now) const
{
    expected_run expected;
    expected.wait = std::max(start_wait(ahead, now), expected_wait(ahead));
    if (service_times.mean_ms() > 0)
        expected.service_time = expected_service_time(call);
    return expected;
}

/// Returns the time between two starts of the cold upstream.
support::duration gate::state::cold_interval() const
{
    constexpr double ms_per_s = 1000;
    return support::from_ms(ms_per_s / cold.calls_per_s());
}

bool gate::state::is_mode_observe(automation kind) const
{
    return in_force->mode(kind) == automation_mode::observe;
}

/// Returns whether it depends on the time until \p call is late whether it is
/// kept.
bool gate::state::judges_timeliness(const attempt& call,
                                    support::time_point now) const
{
    return cold.applies(now) && service_times.mean_ms() > 0 &&
           call.in_time_until != support::time_point::max() &&
           !is_mode_observe(automation::cold_admission);
}

void gate::state::count_late(refusal_tally& tally, support::time_point now)
{
    if (tally.count == 0)
        tally.since = now;
    ++tally.count;
}

/// Counts a call that arrives and would be turned away in the other modes.
void gate::state::observe_timeliness(const attempt& call,
                                     std::size_t ahead,
                                     support::time_point now)
{
    const bool would_act = is_mode_observe(automation::cold_admission) &&
                           cold.applies(now) && queue.size() != 0 &&
                           timeliness_of(call, expect(call, ahead, now), now) !=
                               timeliness::in_time;
    if (!would_act)
        return;
    ++counts.late_observed;
    count_late(lates_observed, now);
}

/// The entry tries a call that is handed back at another upstream that can
/// start it in time; the refusal of any other states when there is room here.
refuse gate::state::turn_away_late(const attempt& call, support::time_point now)
{
    ++counts.turned_away_late;
    count_late(lates_acted, now);
    if (call.may_hand_back)
        return hand_back(call, refusal_kind::rate_limited, now);
    return refuse_for_limit(
        call, "the cold upstream has no room before the call is late", now);
}

/// Turns away the waiting calls that a cold upstream cannot answer before they
/// are late. If no other call waits, one of them is kept, so that no start
/// remains unused.
void gate::state::review_timeliness(support::time_point now,
                                    std::vector<action>& actions)
{
    if (!cold.applies(now) || queue.size() == 0 ||
        is_mode_observe(automation::cold_admission))
        return;
    timely_review review(
        [this, now](const attempt& call, std::size_t ahead) {
            return expect(call, ahead, now);
        },
        now);
    std::vector<attempt> late = queue.remove_in_order(
        [&](const attempt& call) { return review.removes(call); });
    if (late.empty())
        return;
    if (!review.keeps_any()) {
        // While nothing runs any call is kept: its answer corrects an estimate
        // that would otherwise turn all calls away.
        const auto filler =
            std::find_if(late.begin(), late.end(), [&](const attempt& call) {
                return queue.running() == 0 || review.may_fill(call);
            });
        if (filler != late.end()) {
            queue.push(std::move(*filler));
            late.erase(filler);
        }
    }
    for (const attempt& call : late)
        actions.emplace_back(turn_away_late(call, now));
}

void gate::state::refuse_waiting(refusal_kind kind,
                                 std::string_view detail,
                                 std::vector<action>& actions)
{
    const auto all = [](const attempt&) { return true; };
    for (const attempt& queued : queue.remove_if(all)) {
        actions.emplace_back(
            refuse_unavailable(queued, kind, std::string(detail)));
    }
}

} // namespace galenarudder::admission
