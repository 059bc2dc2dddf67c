// Composes queue, limit and estimate into the gate's decisions.
#include "galenarudder/admission/gate.hpp"

#include "galenarudder/admission/concurrency_limit.hpp"
#include "galenarudder/admission/rank_queue.hpp"
#include "galenarudder/admission/service_estimate.hpp"
#include "galenarudder/admission/speed_watch.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <algorithm>
#include <cassert>
#include <map>

namespace galenarudder::admission {

using config::automation;
using config::automation_mode;
using config::limit;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;
using telemetry::decision_effect;

namespace {

constexpr support::milliseconds shortest_retry_after{100};
constexpr support::milliseconds longest_retry_after{10'000};
constexpr support::milliseconds leaving_retry_after{1'000};
/// Sheds of this span make one record, so that they do not flood the ring.
constexpr support::milliseconds shed_record_interval{1'000};

refusal not_run(refusal_kind kind,
                support::milliseconds retry_after,
                std::string detail)
{
    return {kind, run_outcome::not_run, false, retry_after, std::move(detail)};
}

refuse
refuse_leaving(const attempt& arrived, refusal_kind kind, std::string detail)
{
    return {arrived.key, not_run(kind, leaving_retry_after, std::move(detail))};
}

struct running_call
{
    attempt call;
    /// Slot time that its rank was charged with.
    double charged_ms = 0;
};

/// Counts refusals that automation `shed` made until they are recorded.
struct shed_tally
{
    std::uint64_t count = 0;
    support::time_point since;
};

} // namespace

struct gate::state
{
    config::configuration in_force;
    telemetry::decision_log* decisions = nullptr;
    rank_queue queue;
    concurrency_limit concurrency;
    service_estimate service;
    speed_watch speed;
    probe_budget probes{0};
    probe_hint hint;
    support::time_point probe_began;
    /// Calls that were started and have not ended.
    std::map<attempt_key, running_call> running;
    gate_counts counts;
    shed_tally acted;
    shed_tally observed;
    bool present = false;
    bool draining = false;
    support::time_point serving_since;

    void configure(const config::configuration& now_in_force);
    bool may_start(std::size_t rank) const;
    support::duration service_of(const attempt& call) const;
    support::duration wait_ahead_of(std::size_t rank) const;
    bool cannot_finish(const attempt& call,
                       support::duration wait,
                       support::time_point now) const;
    bool sheds(support::time_point now);
    support::milliseconds retry_after() const;
    refuse refuse_late(const attempt& call, std::string detail);
    refuse hand_back(const attempt& call);
    void hand_back_waiting(std::vector<action>& actions);
    refuse refuse_overflow(const attempt& call);
    bool may_begin(support::time_point now) const;
    void start_waiting(support::time_point now, std::vector<action>& actions);
    void refuse_waiting(refusal_kind kind,
                        std::string_view detail,
                        std::vector<action>& actions);
    void record(const std::optional<limit_change>& change,
                support::time_point now);
    void record_sheds(shed_tally& tally,
                      decision_effect effect,
                      support::time_point now);
};

void gate::state::configure(const config::configuration& now_in_force)
{
    in_force = now_in_force;
    queue.configure(
        in_force.ranks,
        static_cast<std::size_t>(in_force.value(limit::queue_length)),
        support::from_ms(in_force.value(limit::share_window_ms)));
    concurrency.configure(
        static_cast<std::uint32_t>(in_force.value(limit::concurrency_min)),
        in_force.mode(automation::adapt_limit));
    probes.set_share(in_force.value(limit::probe_share));
}

/// A rank may use what the held slots of more urgent ranks leave, and always
/// one slot at least.
bool gate::state::may_start(std::size_t rank) const
{
    const std::size_t most = concurrency.current();
    if (queue.running() >= most)
        return false;
    std::size_t held = 0;
    std::size_t less_urgent = queue.running();
    for (std::size_t above = 0; above < rank; ++above) {
        held += in_force.ranks[above].held_slots;
        less_urgent -= queue.running(above);
        const std::size_t left = most > held ? most - held : 1;
        if (less_urgent >= left)
            return false;
    }
    return true;
}

support::duration gate::state::service_of(const attempt& call) const
{
    return support::from_ms(service.mean_ms(call.rank));
}

/// Time until all that goes before a new call of \p rank was started.
support::duration gate::state::wait_ahead_of(std::size_t rank) const
{
    const std::size_t most = concurrency.current();
    if (most == 0 || queue.running() < most)
        return support::duration(0);
    const auto ahead =
        static_cast<double>(queue.waiting_at_or_before(rank) + 1);
    return support::from_ms(ahead * service.mean_ms() /
                            static_cast<double>(most));
}

/// While nothing runs a call is always let through: it renews an estimate
/// that would otherwise refuse everything for ever.
bool gate::state::cannot_finish(const attempt& call,
                                support::duration wait,
                                support::time_point now) const
{
    return queue.running() > 0 && now + wait + service_of(call) > call.deadline;
}

/// Returns whether automation `shed` lets the gate refuse a call.
bool gate::state::sheds(support::time_point now)
{
    const decision_effect effect =
        telemetry::effect_of(in_force.mode(automation::shed), true);
    const bool acts = effect == decision_effect::acted;
    shed_tally& tally = acts ? acted : observed;
    if (tally.count == 0)
        tally.since = now;
    ++tally.count;
    counts.observed += acts ? 0 : 1;
    return acts;
}

support::milliseconds gate::state::retry_after() const
{
    const support::duration backlog = wait_ahead_of(queue.rank_count() - 1);
    return std::clamp(
        std::chrono::duration_cast<support::milliseconds>(2 * backlog),
        shortest_retry_after, longest_retry_after);
}

refuse gate::state::refuse_late(const attempt& call, std::string detail)
{
    ++counts.refused_deadline;
    return {call.key, not_run(refusal_kind::deadline_exceeded, retry_after(),
                              std::move(detail))};
}

refuse gate::state::refuse_overflow(const attempt& call)
{
    ++counts.refused_overload;
    return {call.key, not_run(refusal_kind::overloaded, retry_after(),
                              "the queue is full of calls that go first")};
}

/// Another upstream may work at its usual speed meanwhile.
refuse gate::state::hand_back(const attempt& call)
{
    ++counts.handed_back;
    return {call.key, not_run(refusal_kind::slow_spell, shortest_retry_after,
                              "the upstream works slowly for a moment")};
}

void gate::state::hand_back_waiting(std::vector<action>& actions)
{
    const auto movable = [](const attempt& waiter) { return waiter.movable; };
    for (const attempt& waiter : queue.remove_if(movable))
        actions.emplace_back(hand_back(waiter));
}

/// Whether the upstream works at its usual speed, as far as is known.
bool gate::state::may_begin(support::time_point now) const
{
    return !speed.is_slow(now) && !speed.is_uncertain(now);
}

void gate::state::start_waiting(support::time_point now,
                                std::vector<action>& actions)
{
    if (!may_begin(now))
        return;
    const auto eligible = [this](std::size_t rank) { return may_start(rank); };
    while (std::optional<attempt> next = queue.pop(eligible)) {
        if (next->deadline <= now) {
            actions.emplace_back(
                refuse_late(*next, "the deadline passed in the queue"));
            continue;
        }
        if (cannot_finish(*next, support::duration(0), now) && sheds(now)) {
            actions.emplace_back(refuse_late(
                *next, "too little time is left for the service time"));
            continue;
        }
        const double cost_ms = service.mean_ms(next->rank);
        queue.charge(queue.rank_of(next->rank), cost_ms, concurrency.current());
        ++counts.started;
        actions.emplace_back(start{next->key});
        const attempt_key key = next->key;
        running.emplace(key, running_call{std::move(*next), cost_ms});
    }
}

void gate::state::refuse_waiting(refusal_kind kind,
                                 std::string_view detail,
                                 std::vector<action>& actions)
{
    const auto all = [](const attempt&) { return true; };
    for (const attempt& waiter : queue.remove_if(all)) {
        actions.emplace_back(refuse_leaving(waiter, kind, std::string(detail)));
    }
}

void gate::state::record(const std::optional<limit_change>& change,
                         support::time_point now)
{
    if (!change || decisions == nullptr)
        return;
    decisions->record(
        {now, automation::adapt_limit, change->effect, "concurrency limit",
         "from " + std::to_string(change->from) + " to " +
             std::to_string(change->to) + ": " + std::string(change->reason)});
}

void gate::state::record_sheds(shed_tally& tally,
                               decision_effect effect,
                               support::time_point now)
{
    if (tally.count == 0 || now - tally.since < shed_record_interval)
        return;
    if (decisions != nullptr) {
        decisions->record({now, automation::shed, effect, "waiting calls",
                           std::to_string(tally.count) +
                               " calls that cannot meet their deadline or "
                               "found the queue full"});
    }
    tally = {};
}

gate::gate(const config::configuration& in_force)
    : state_(std::make_unique<state>())
{
    state_->configure(in_force);
}

gate::~gate() = default;

void gate::set_decision_log(telemetry::decision_log& log)
{
    state_->decisions = &log;
}

void gate::on_configuration(const config::configuration& in_force,
                            support::time_point)
{
    state_->configure(in_force);
}

std::vector<action> gate::on_upstream(std::uint32_t slots,
                                      support::time_point now)
{
    if (!state_->present)
        state_->serving_since = now;
    state_->present = true;
    state_->concurrency.set_slots(slots, now);
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_upstream_leaving(support::time_point now)
{
    std::vector<action> actions;
    state_->present = false;
    state_->concurrency.set_slots(0, now);
    state_->refuse_waiting(refusal_kind::draining, "the upstream is draining",
                           actions);
    return actions;
}

std::vector<action> gate::on_upstream_gone(support::time_point now)
{
    std::vector<action> actions;
    state_->present = false;
    state_->speed.reset();
    state_->concurrency.set_slots(0, now);
    state_->refuse_waiting(refusal_kind::no_upstream, "the upstream left",
                           actions);
    return actions;
}

std::vector<action> gate::offer(const attempt& arrived, support::time_point now)
{
    if (state_->draining) {
        return {refuse_leaving(arrived, refusal_kind::draining,
                               "the upstream is draining")};
    }
    if (!state_->present) {
        return {refuse_leaving(arrived, refusal_kind::no_upstream,
                               "no upstream is announced")};
    }
    if (arrived.deadline <= now)
        return {state_->refuse_late(arrived, "the deadline has passed")};
    if (arrived.movable && state_->speed.is_surely_slow(now))
        return {state_->hand_back(arrived)};
    const std::size_t rank = state_->queue.rank_of(arrived.rank);
    const support::duration wait = state_->wait_ahead_of(rank);
    if (state_->cannot_finish(arrived, wait, now) && state_->sheds(now)) {
        return {state_->refuse_late(arrived,
                                    "the work ahead leaves too little time")};
    }
    std::vector<action> actions;
    state_->queue.push(arrived);
    state_->start_waiting(now, actions);
    while (const auto dropped = state_->queue.drop_overflow())
        actions.emplace_back(state_->refuse_overflow(*dropped));
    return actions;
}

std::vector<action> gate::on_ended(const attempt_key& key,
                                   run_result how,
                                   support::duration service_time,
                                   support::time_point now)
{
    const auto found = state_->running.find(key);
    if (found == state_->running.end())
        return {};
    const bool at_limit =
        state_->queue.running() >= state_->concurrency.current();
    const running_call ended = std::move(found->second);
    const std::string& rank = ended.call.rank;
    state_->running.erase(found);
    state_->queue.release(rank, ended.charged_ms, support::to_ms(service_time),
                          state_->concurrency.current());
    if (how == run_result::answered) {
        state_->hint.on_call_answered(now);
        const double inflation =
            state_->service.add(rank, support::to_ms(service_time));
        state_->record(
            state_->concurrency.on_answered({inflation, at_limit}, now), now);
    }
    if (how == run_result::shed)
        state_->record(state_->concurrency.on_shed(now), now);
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_speed(std::optional<double> slowdown,
                                   support::time_point now)
{
    if (slowdown)
        state_->speed.on_stated(*slowdown, now);
    else
        state_->speed.on_unanswered(now);
    std::vector<action> actions;
    if (state_->speed.is_slow(now))
        state_->hand_back_waiting(actions);
    state_->start_waiting(now, actions);
    return actions;
}

bool gate::take_speed_question(support::time_point now)
{
    const bool room = state_->queue.size() != 0 &&
                      state_->queue.running() < state_->concurrency.current();
    if (!room || !state_->speed.wants_measurement(now))
        return false;
    state_->speed.on_asked(now);
    return true;
}

bool gate::has_waiting() const
{
    return state_->queue.size() != 0;
}

std::vector<action> gate::cancel(const attempt_key& key, support::time_point)
{
    const auto is_it = [&](const attempt& waiter) { return waiter.key == key; };
    for (const attempt& waiter : state_->queue.remove_if(is_it)) {
        return {refuse{waiter.key,
                       not_run(refusal_kind::canceled, support::milliseconds(0),
                               "the caller gave the call up")}};
    }
    const auto found = state_->running.find(key);
    if (found == state_->running.end() || !found->second.call.repeatable)
        return {};
    return {abort_running{key}};
}

std::vector<action> gate::on_link_closed(std::uint64_t link,
                                         support::time_point)
{
    std::vector<action> actions;
    const auto came_by_it = [&](const attempt& waiter) {
        return waiter.key.link == link;
    };
    for (const attempt& waiter : state_->queue.remove_if(came_by_it)) {
        actions.emplace_back(
            refuse{waiter.key,
                   not_run(refusal_kind::canceled, support::milliseconds(0),
                           "the link to the entry closed")});
    }
    for (const auto& [key, running] : state_->running) {
        if (key.link == link && running.call.repeatable)
            actions.emplace_back(abort_running{key});
    }
    return actions;
}

std::vector<action> gate::drain(support::time_point)
{
    std::vector<action> actions;
    state_->draining = true;
    state_->refuse_waiting(refusal_kind::draining, "the upstream is draining",
                           actions);
    return actions;
}

std::vector<action> gate::on_tick(support::time_point now)
{
    std::vector<action> actions;
    const auto expired = [&](const attempt& waiter) {
        return waiter.deadline <= now;
    };
    for (const attempt& late : state_->queue.remove_if(expired)) {
        actions.emplace_back(
            state_->refuse_late(late, "the deadline passed in the queue"));
    }
    state_->start_waiting(now, actions);
    state_->record_sheds(state_->acted, decision_effect::acted, now);
    state_->record_sheds(state_->observed, decision_effect::observed, now);
    return actions;
}

std::optional<support::duration> gate::start_probe(support::time_point now)
{
    if (!state_->present || state_->draining || !state_->hint.idle(now))
        return std::nullopt;
    const std::optional<support::duration> allowed = state_->probes.start(now);
    if (allowed)
        state_->probe_began = now;
    return allowed;
}

void gate::on_probe_ended(bool answered, support::time_point now)
{
    state_->probes.on_ended(answered, now);
    if (answered)
        state_->hint.on_probe(now - state_->probe_began, now);
}

const probe_budget& gate::probes() const
{
    return state_->probes;
}

bool gate::draining() const
{
    return state_->draining;
}

bool gate::busy() const
{
    return !state_->running.empty();
}

support::load_report gate::report(support::time_point now) const
{
    support::load_report report;
    report.running = static_cast<std::uint32_t>(state_->queue.running());
    report.waiting = static_cast<std::uint32_t>(state_->queue.size());
    report.limit = state_->concurrency.current();
    report.service_ms = state_->service.mean_ms() * state_->hint.slowdown(now);
    for (std::size_t rank = 0; rank < state_->in_force.ranks.size(); ++rank) {
        report.waiting_by_rank.push_back(
            static_cast<std::uint32_t>(state_->queue.waiting(rank)));
    }
    report.spell_left_ms = support::to_ms(state_->speed.spell_left(now));
    if (state_->present)
        report.age_ms = support::to_ms(now - state_->serving_since);
    return report;
}

const gate_counts& gate::counts() const
{
    return state_->counts;
}

} // namespace galenarudder::admission
