// Combines the queue, the concurrency limit, the estimates of service times and
// the slowdown monitor into the gate's decisions.
#include "gate_state.hpp"

#include <algorithm>

namespace galenarudder::admission {

using config::automation;
using config::limit;
using support::refusal_kind;
using telemetry::decision_effect;

namespace {

/// Refused calls within this time are recorded as one decision, so that they do
/// not displace other decisions from the log.
constexpr support::milliseconds refusal_record_interval{1'000};

/// Returns whether \p actions return \p call to its entry, which sends it to
/// another upstream.
bool is_handed_back(const attempt& call, const std::vector<action>& actions)
{
    return call.may_hand_back &&
           std::any_of(
               actions.begin(), actions.end(), [&](const action& taken) {
                   const auto* refused = std::get_if<refuse>(&taken);
                   return refused != nullptr && refused->key == call.key;
               });
}

} // namespace

void gate::state::configure(std::shared_ptr<const config::configuration> next)
{
    if (in_force)
        count_turns();
    in_force = std::move(next);
    turns.configure(*in_force);
    const bool turns_act = in_force->mode(automation::organisation_turns) !=
                           config::automation_mode::observe;
    queue.set_order(turns_act ? queue_order::turns : queue_order::arrival);
    queue.configure(
        in_force->ranks,
        static_cast<std::size_t>(in_force->value(limit::queue_length)),
        support::from_ms(in_force->value(limit::share_window_ms)));
    concurrency.configure(
        static_cast<std::uint32_t>(in_force->value(limit::concurrency_min)),
        in_force->mode(automation::adapt_limit));
    probes.set_share(in_force->value(limit::probe_share));
}

/// Counts the decisions since the last call, which were taken under the
/// configuration in force.
void gate::state::count_turns()
{
    turns.add(queue.take_turn_tally(),
              in_force->mode(automation::organisation_turns));
}

/// Returns whether a call of \p rank may start. Slots held for more urgent
/// ranks are not available to it, but one slot always is.
bool gate::state::may_start(std::size_t rank) const
{
    const std::size_t current_limit = concurrency.current();
    if (queue.running() >= current_limit)
        return false;
    std::size_t held_slots = 0;
    std::size_t running_less_urgent = queue.running();
    for (std::size_t more_urgent = 0; more_urgent < rank; ++more_urgent) {
        held_slots += in_force->ranks[more_urgent].held_slots;
        running_less_urgent -= queue.running(more_urgent);
        const std::size_t available =
            current_limit > held_slots ? current_limit - held_slots : 1;
        if (running_less_urgent >= available)
            return false;
    }
    return true;
}

support::duration gate::state::expected_service_time(const attempt& call) const
{
    return support::from_ms(service_times.mean_ms(call.rank));
}

/// Returns the estimated time until a new call starts that has \p calls_ahead
/// waiting calls before it.
support::duration gate::state::expected_wait(std::size_t calls_ahead) const
{
    const std::size_t current_limit = concurrency.current();
    if (current_limit == 0 || queue.running() < current_limit)
        return support::duration(0);
    const auto starts = static_cast<double>(calls_ahead + 1);
    return support::from_ms(starts * service_times.mean_ms() /
                            static_cast<double>(current_limit));
}

/// Returns whether a call is expected to miss its deadline. Never true while no
/// call is running: the admitted call updates the estimate, which could
/// otherwise refuse all calls forever.
bool gate::state::misses_deadline(const attempt& call,
                                  support::duration wait,
                                  support::time_point now) const
{
    return queue.running() > 0 &&
           now + wait + expected_service_time(call) > call.deadline;
}

/// Counts a call that should be shed. Returns whether the mode of automation
/// `shed` permits the gate to refuse it.
bool gate::state::try_shed(support::time_point now)
{
    const decision_effect effect =
        telemetry::effect_of(in_force->mode(automation::shed), true);
    const bool acts = effect == decision_effect::acted;
    refusal_tally& tally = acts ? sheds_acted : sheds_observed;
    if (tally.count == 0)
        tally.since = now;
    ++tally.count;
    counts.shed_observed += acts ? 0 : 1;
    return acts;
}

/// Returns false during a slowdown and while the last report is too old.
bool gate::state::slowdown_report_allows_start(support::time_point now) const
{
    return !slowdowns.is_slow(now) && !slowdowns.is_report_stale(now);
}

void gate::state::start_waiting(support::time_point now,
                                std::vector<action>& actions)
{
    review_timeliness(now, actions);
    if (!slowdown_report_allows_start(now))
        return;
    const auto eligible = [this, now](std::size_t rank) {
        return may_start(rank) && start_wait(0, now) == support::duration(0);
    };
    while (std::optional<attempt> next = queue.pop(eligible)) {
        if (next->deadline <= now) {
            actions.emplace_back(refuse_for_deadline(
                *next, "the deadline passed in the queue", now));
            continue;
        }
        if (misses_deadline(*next, support::duration(0), now) &&
            try_shed(now)) {
            actions.emplace_back(refuse_for_deadline(
                *next, "the remaining time is shorter than the service time",
                now));
            continue;
        }
        const double cost_ms = service_times.mean_ms(next->rank);
        queue.charge(next->rank, cost_ms, concurrency.current(),
                     next->organisation);
        stated_limit.on_start(now);
        cold.on_start(now);
        ++counts.started;
        actions.emplace_back(start{next->key});
        const attempt_key key = next->key;
        running.emplace(key, running_call{std::move(*next), cost_ms});
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

void gate::state::record_refusals(refusal_tally& tally,
                                  automation kind,
                                  decision_effect effect,
                                  std::string_view reason,
                                  support::time_point now)
{
    if (tally.count == 0 || now - tally.since < refusal_record_interval)
        return;
    if (decisions != nullptr) {
        decisions->record(
            {now, kind, effect, "waiting calls",
             std::to_string(tally.count) + " calls " + std::string(reason)});
    }
    tally = {};
}

gate::gate(std::shared_ptr<const config::configuration> in_force)
    : state_(std::make_unique<state>())
{
    state_->configure(std::move(in_force));
}

gate::~gate() = default;

void gate::set_decision_log(telemetry::decision_log& log)
{
    state_->decisions = &log;
}

void gate::on_configuration(
    std::shared_ptr<const config::configuration> in_force, support::time_point)
{
    state_->configure(std::move(in_force));
}

std::vector<action> gate::on_upstream_announced(std::uint32_t slots,
                                                support::time_point now)
{
    if (!state_->upstream_present)
        state_->serving_since = now;
    state_->upstream_present = true;
    state_->concurrency.set_slots(slots, now);
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_upstream_leaving(support::time_point now)
{
    std::vector<action> actions;
    state_->upstream_present = false;
    state_->concurrency.set_slots(0, now);
    state_->refuse_waiting(refusal_kind::draining, "the upstream is draining",
                           actions);
    return actions;
}

std::vector<action> gate::on_upstream_gone(support::time_point now)
{
    std::vector<action> actions;
    state_->upstream_present = false;
    state_->slowdowns.reset();
    state_->concurrency.set_slots(0, now);
    state_->refuse_waiting(refusal_kind::no_upstream, "the upstream left",
                           actions);
    return actions;
}

std::vector<action> gate::offer(const attempt& call, support::time_point now)
{
    if (state_->draining) {
        return {refuse_unavailable(call, refusal_kind::draining,
                                   "the upstream is draining")};
    }
    if (state_->emptied) {
        return {refuse_unavailable(call, refusal_kind::draining,
                                   "operators emptied the failure domain")};
    }
    if (!state_->upstream_present) {
        return {refuse_unavailable(call, refusal_kind::no_upstream,
                                   "no upstream is announced")};
    }
    if (call.deadline <= now)
        return {
            state_->refuse_for_deadline(call, "the deadline has passed", now)};
    if (call.may_hand_back && state_->slowdowns.is_slow_by_fresh_report(now))
        return {state_->hand_back(call, refusal_kind::slow_spell, now)};
    const std::size_t ahead = state_->queue.waiting_before(
        call, state_->service_times.mean_ms(call.rank));
    state_->observe_timeliness(call, ahead, now);
    const bool judged = state_->judges_timeliness(call, now);
    // A shorter wait is about what the entry expected when it chose this gate.
    const support::duration expected_delay =
        judged ? state_->cold_interval() : state_->expected_service_time(call);
    if (call.may_hand_back && state_->start_wait(ahead, now) > expected_delay)
        return {state_->hand_back(call, refusal_kind::rate_limited, now)};
    const support::duration wait = state_->expected_wait(ahead);
    if (!judged && state_->misses_deadline(call, wait, now) &&
        state_->try_shed(now)) {
        return {state_->refuse_for_deadline(
            call, "the queue leaves too little time before the deadline", now)};
    }
    std::vector<action> actions;
    state_->queue.push(call);
    state_->review_timeliness(now, actions);
    if (state_->cold.applies(now) && !is_handed_back(call, actions))
        state_->returns.on_offer(now);
    state_->start_waiting(now, actions);
    state_->refuse_beyond_limit(now, actions);
    while (const auto dropped = state_->queue.drop_overflow())
        actions.emplace_back(state_->refuse_overflow(*dropped, now));
    return actions;
}

std::vector<action> gate::on_ended(const attempt_key& key,
                                   run_result result,
                                   support::duration service_time,
                                   support::time_point now)
{
    const auto found = state_->running.find(key);
    if (found == state_->running.end())
        return {};
    const bool at_limit =
        state_->queue.running() >= state_->concurrency.current();
    const running_call ended_call = std::move(found->second);
    const std::string& rank = ended_call.call.rank;
    state_->running.erase(found);
    state_->turns.on_slot_time(ended_call.call.organisation,
                               support::to_ms(service_time));
    state_->queue.release(
        rank, ended_call.charged_ms, support::to_ms(service_time),
        state_->concurrency.current(), ended_call.call.organisation);
    if (result == run_result::answered) {
        state_->idle_estimate.on_call_answered(now);
        const double inflation =
            state_->service_times.record(rank, support::to_ms(service_time));
        state_->record(
            state_->concurrency.on_answered({inflation, at_limit}, now), now);
    }
    // An upstream with free slots does not shed for lack of room, so that fewer
    // calls at once would only leave slots idle.
    const bool is_loaded = 2 * (state_->queue.running() + 1) >=
                           std::size_t{state_->concurrency.slots()};
    if (result == run_result::shed && is_loaded)
        state_->record(state_->concurrency.on_shed(now), now);
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_slowdown_report(std::optional<double> slowdown,
                                             support::time_point now)
{
    if (slowdown)
        state_->slowdowns.on_reported(*slowdown, now);
    else
        state_->slowdowns.on_query_failed(now);
    std::vector<action> actions;
    if (state_->slowdowns.is_slow(now))
        state_->hand_back_waiting(refusal_kind::slow_spell, now, actions);
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_limit_stated(std::optional<double> calls_per_s,
                                          support::time_point now)
{
    std::vector<action> actions;
    const bool is_new = calls_per_s && !state_->stated_limit.calls_per_s();
    state_->stated_limit.set(calls_per_s, now);
    if (is_new)
        state_->hand_back_waiting(refusal_kind::rate_limited, now, actions);
    state_->start_waiting(now, actions);
    state_->refuse_beyond_limit(now, actions);
    return actions;
}

std::vector<action> gate::set_cold_rate(double calls_per_s,
                                        support::time_point now)
{
    state_->cold.set_rate(calls_per_s);
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    state_->refuse_beyond_limit(now, actions);
    return actions;
}

std::vector<action> gate::on_cold_stated(cold_source source,
                                         support::milliseconds remaining,
                                         support::time_point now)
{
    std::vector<action> actions;
    const bool was_cold = state_->cold.applies(now);
    state_->cold.on_stated(source, remaining, now);
    if (!was_cold && state_->cold.applies(now))
        state_->hand_back_waiting(refusal_kind::rate_limited, now, actions);
    state_->start_waiting(now, actions);
    state_->refuse_beyond_limit(now, actions);
    return actions;
}

void gate::on_cold_query_failed(support::time_point now)
{
    state_->cold.on_query_failed(now);
}

void gate::on_new_instance(support::time_point now)
{
    state_->cold.on_new_instance(now);
    state_->returns.clear();
}

support::duration gate::cold_remaining(support::time_point now) const
{
    return state_->cold.remaining(now);
}

bool gate::take_cold_query(support::time_point now)
{
    if (!state_->upstream_present || !state_->cold.needs_query(now))
        return false;
    state_->cold.on_query_sent(now);
    ++state_->counts.cold_queries;
    return true;
}

std::vector<action> gate::set_emptied(bool emptied, support::time_point)
{
    std::vector<action> actions;
    state_->emptied = emptied;
    if (emptied) {
        state_->refuse_waiting(refusal_kind::draining,
                               "operators emptied the failure domain", actions);
    }
    return actions;
}

std::optional<double> gate::stated_limit() const
{
    return state_->stated_limit.calls_per_s();
}

bool gate::take_slowdown_query(support::time_point now)
{
    const bool can_start =
        state_->queue.size() != 0 &&
        state_->queue.running() < state_->concurrency.current() &&
        state_->start_wait(0, now) == support::duration(0);
    if (!can_start || !state_->slowdowns.needs_query(now))
        return false;
    state_->slowdowns.on_query_sent(now);
    return true;
}

bool gate::has_waiting() const
{
    return state_->queue.size() != 0;
}

std::vector<action> gate::cancel(const attempt_key& key, support::time_point)
{
    const auto has_key = [&](const attempt& queued) {
        return queued.key == key;
    };
    for (const attempt& queued : state_->queue.remove_if(has_key)) {
        return {refuse{queued.key,
                       not_run(refusal_kind::canceled, support::milliseconds(0),
                               "the caller canceled the call")}};
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
    const auto arrived_on_link = [&](const attempt& queued) {
        return queued.key.link == link;
    };
    for (const attempt& queued : state_->queue.remove_if(arrived_on_link)) {
        actions.emplace_back(
            refuse{queued.key,
                   not_run(refusal_kind::canceled, support::milliseconds(0),
                           "the link to the entry closed")});
    }
    for (const auto& [key, started] : state_->running) {
        if (key.link == link && started.call.repeatable)
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
    const auto expired = [&](const attempt& queued) {
        return queued.deadline <= now;
    };
    for (const attempt& expired_call : state_->queue.remove_if(expired)) {
        actions.emplace_back(state_->refuse_for_deadline(
            expired_call, "the deadline passed in the queue", now));
    }
    state_->start_waiting(now, actions);
    state_->refuse_beyond_limit(now, actions);
    state_->count_turns();
    state_->turns.record_due(now, state_->decisions);
    constexpr std::string_view shed_reason =
        "that cannot meet their deadline or found the queue full";
    constexpr std::string_view late_reason =
        "that a cold upstream cannot answer before they are late";
    state_->record_refusals(state_->sheds_acted, automation::shed,
                            decision_effect::acted, shed_reason, now);
    state_->record_refusals(state_->sheds_observed, automation::shed,
                            decision_effect::observed, shed_reason, now);
    state_->record_refusals(state_->lates_acted, automation::cold_admission,
                            decision_effect::acted, late_reason, now);
    state_->record_refusals(state_->lates_observed, automation::cold_admission,
                            decision_effect::observed, late_reason, now);
    return actions;
}

std::optional<support::duration> gate::start_probe(support::time_point now)
{
    if (!state_->upstream_present || state_->draining || state_->emptied ||
        !state_->idle_estimate.idle(now))
        return std::nullopt;
    const std::optional<support::duration> allowed = state_->probes.start(now);
    if (allowed)
        state_->probe_started_at = now;
    return allowed;
}

void gate::on_probe_ended(bool answered, support::time_point now)
{
    state_->probes.on_ended(answered, now);
    if (answered)
        state_->idle_estimate.on_probe_answered(now - state_->probe_started_at,
                                                now);
}

const probe_budget& gate::probes() const
{
    return state_->probes;
}

bool gate::draining() const
{
    return state_->draining;
}

bool gate::has_running() const
{
    return !state_->running.empty();
}

std::size_t gate::running() const
{
    return state_->running.size();
}

support::load_report gate::report(support::time_point now) const
{
    support::load_report report;
    report.running = static_cast<std::uint32_t>(state_->queue.running());
    report.waiting = static_cast<std::uint32_t>(state_->queue.size());
    report.limit = state_->usable_slots(now);
    report.service_ms =
        state_->service_times.mean_ms() * state_->idle_estimate.slowdown(now);
    for (std::size_t rank = 0; rank < state_->in_force->ranks.size(); ++rank) {
        report.waiting_by_rank.push_back(
            static_cast<std::uint32_t>(state_->queue.waiting(rank)));
    }
    report.start_delay_ms =
        support::to_ms(std::max(state_->slowdowns.remaining(now),
                                state_->start_wait(state_->queue.size(), now)));
    report.cold_ms = support::to_ms(state_->cold.reported_remaining(now));
    if (state_->upstream_present)
        report.age_ms = support::to_ms(now - state_->serving_since);
    return report;
}

const turn_statistics& gate::turns() const
{
    return state_->turns;
}

const gate_counters& gate::counters() const
{
    return state_->counts;
}

} // namespace galenarudder::admission
