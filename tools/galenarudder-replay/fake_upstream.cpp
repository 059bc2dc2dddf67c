// The simulated upstream: slots on the simulated clock, behind a real gate.
#include "fake_upstream.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::replay {

using admission::run_result;
using support::refusal_kind;
using support::run_outcome;

namespace {

/// Time in which an upstream with the fault fail_fast ends a call.
constexpr double fail_fast_ms = 0.2;
constexpr unsigned status_answered = 200;
constexpr unsigned status_failed = 500;

support::refusal broken_link(run_outcome outcome)
{
    return {refusal_kind::link_broken, outcome, false, support::milliseconds(0),
            "the link broke"};
}

} // namespace

fake_upstream::fake_upstream(timeline& clock,
                             const upstream_spec& spec,
                             const config::configuration& in_force)
    : clock_(clock), spec_(spec), in_force_(in_force)
{
    start(0);
}

void fake_upstream::start(double cold_ms)
{
    cold_ms_ = cold_ms;
    started_at_ = clock_.now();
    drained_at_.reset();
    trace_slowdown_ = 1;
    report_factor_ = 1;
    fails_fast_ = false;
    connections_ = 0;
    gate_ = std::make_unique<admission::gate>(in_force_);
    if (spec_.states_cold) {
        const config::service_policy* policy =
            in_force_.find_service(spec_.service);
        perform(gate_->set_cold_rate(
            policy == nullptr ? 0 : policy->cold_calls_per_s, clock_.now()));
        perform(gate_->on_cold_stated(
            admission::cold_source::announcement,
            support::milliseconds(std::llround(cold_ms)), clock_.now()));
    }
    perform(gate_->on_upstream_announced(spec_.slots, clock_.now()));
}

void fake_upstream::stop()
{
    gate_.reset();
    stopped_at_ = clock_.now();
    std::map<key, open_attempt> lost_attempts;
    lost_attempts.swap(attempts_);
    for (auto& [attempt_key, attempt] : lost_attempts) {
        if (attempt.running && drained_at_)
            ++counts_.cut_after_drain;
        attempt.sent.reply({0, broken_link(run_outcome::unknown), {}});
    }
}

void fake_upstream::receive(sent_attempt attempt)
{
    if (!gate_) {
        // An attempt that was on its way when the upstream stopped may have
        // reached it; a later one cannot even connect.
        const run_outcome outcome = attempt.sent_at <= stopped_at_
                                        ? run_outcome::unknown
                                        : run_outcome::not_run;
        return attempt.reply({0, broken_link(outcome), {}});
    }
    if (paused()) {
        return clock_.at(paused_until_,
                         [this, attempt = std::move(attempt)]() mutable {
                             receive(std::move(attempt));
                         });
    }
    const admission::attempt gate_attempt = attempt.gate_attempt;
    attempts_[gate_attempt.key] = {std::move(attempt), clock_.now(),
                                   std::nullopt};
    perform(gate_->offer(gate_attempt, clock_.now()));
}

void fake_upstream::cancel(const key& attempt_key)
{
    if (paused())
        return clock_.at(paused_until_,
                         [this, attempt_key] { cancel(attempt_key); });
    if (gate_)
        perform(gate_->cancel(attempt_key, clock_.now()));
}

void fake_upstream::tick()
{
    if (!gate_ || paused())
        return;
    perform(gate_->on_tick(clock_.now()));
    probe();
}

/// Starts a probe if the gate's budget allows one. A probe takes longer at a
/// slow upstream, as calls do, and is ended at the gate's time limit.
void fake_upstream::probe()
{
    const auto time_limit = gate_->start_probe(clock_.now());
    if (!time_limit)
        return;
    const double full_cost_ms = spec_.probe_cost_ms * milliseconds_per_work();
    const double cost_ms = std::min(full_cost_ms, support::to_ms(*time_limit));
    clock_.after(cost_ms, [this, probed_gate = gate_.get(), cost_ms,
                           answered = full_cost_ms <= cost_ms] {
        end_probe(probed_gate, cost_ms, answered);
    });
}

void fake_upstream::end_probe(const admission::gate* probed_gate,
                              double cost_ms,
                              bool answered)
{
    counts_.probes.push_back({clock_.now(), cost_ms});
    if (gate_.get() == probed_gate)
        gate_->on_probe_ended(answered, clock_.now());
}

void fake_upstream::apply(const upstream_event& event)
{
    switch (event.change) {
    case upstream_change::slow:
        return set_trace_slowdown(event.amount);
    case upstream_change::fail_fast:
        fails_fast_ = true;
        return;
    case upstream_change::recover:
        fails_fast_ = false;
        report_factor_ = 1;
        return set_trace_slowdown(1);
    case upstream_change::drain:
        if (!gate_ || drained_at_)
            return;
        drained_at_ = clock_.now();
        return perform(gate_->drain(clock_.now()));
    case upstream_change::stop:
        return stop();
    case upstream_change::start:
        if (gate_)
            stop();
        return start(event.amount);
    case upstream_change::pause:
        for (auto& [attempt_key, attempt] : attempts_) {
            if (attempt.running)
                advance(*attempt.running);
        }
        paused_until_ = clock_.now() + support::from_ms(event.amount);
        return clock_.at(paused_until_, [this] { resume(); });
    case upstream_change::lie:
        report_factor_ = event.amount;
        return;
    }
}

void fake_upstream::set_trace_slowdown(double factor)
{
    for (auto& [attempt_key, attempt] : attempts_) {
        if (attempt.running)
            advance(*attempt.running);
    }
    trace_slowdown_ = factor;
    resume();
}

void fake_upstream::resume()
{
    if (paused())
        return;
    for (auto& [attempt_key, attempt] : attempts_) {
        if (!attempt.running || attempt.running->awaits_nested_calls)
            continue;
        attempt.running->updated_at = clock_.now();
        schedule_end(attempt_key, *attempt.running);
    }
}

/// Milliseconds that one millisecond of the trace's work takes now.
double fake_upstream::milliseconds_per_work() const
{
    const double slowdown = trace_slowdown_ * spec_.slowness;
    if (cold_ms_ <= 0)
        return slowdown;
    const double age = support::to_ms(clock_.now() - started_at_);
    const double cold = std::max(0.0, 1 - age / cold_ms_);
    return slowdown * (1 + (spec_.cold_slowdown - 1) * cold);
}

void fake_upstream::perform(const std::vector<admission::action>& actions)
{
    for (const admission::action& next : actions)
        std::visit([this](const auto& action) { execute(action); }, next);
}

void fake_upstream::execute(const admission::start& started)
{
    const auto found = attempts_.find(started.key);
    if (found == attempts_.end())
        return;
    ++counts_.started;
    on_call_started(found->second.sent.call_position);
    if (drained_at_) {
        counts_.new_work_after_drain_ms =
            std::max(counts_.new_work_after_drain_ms,
                     support::to_ms(clock_.now() - *drained_at_));
    }
    running_call& call = found->second.running.emplace(running_call());
    call.started_at = clock_.now();
    call.updated_at = clock_.now();
    call.fails = fails_fast_;
    call.work_left_ms = fails_fast_ ? fail_fast_ms : found->second.sent.work_ms;
    const bool connects = connections_ < spec_.slots;
    if (connects) {
        ++connections_;
        call.work_left_ms += spec_.connect_cost_ms;
    }
    schedule_end(started.key, call);
}

void fake_upstream::execute(const admission::refuse& refused)
{
    const auto found = attempts_.find(refused.key);
    if (found == attempts_.end())
        return;
    const support::time_point received_at = found->second.received_at;
    const auto reply = std::move(found->second.sent.reply);
    attempts_.erase(found);
    reply({0, refused.refusal, report(received_at)});
}

void fake_upstream::execute(const admission::abort_running& aborted)
{
    const auto found = attempts_.find(aborted.key);
    if (found == attempts_.end() || !found->second.running)
        return;
    const support::duration took =
        clock_.now() - found->second.running->started_at;
    counts_.busy_ms += support::to_ms(took);
    attempts_.erase(found);
    perform(
        gate_->on_ended(aborted.key, run_result::failed, took, clock_.now()));
}

/// Subtracts the work done since the last update from the remaining work.
void fake_upstream::advance(running_call& call)
{
    const double elapsed_ms =
        paused() ? 0 : support::to_ms(clock_.now() - call.updated_at);
    call.work_left_ms =
        std::max(0.0, call.work_left_ms - elapsed_ms / milliseconds_per_work());
    call.updated_at = clock_.now();
    call.generation = ++generation_;
}

void fake_upstream::schedule_end(const key& attempt_key, running_call& call)
{
    call.generation = ++generation_;
    clock_.after(call.work_left_ms * milliseconds_per_work(),
                 [this, attempt_key, scheduled = call.generation] {
                     finish(attempt_key, scheduled);
                 });
}

void fake_upstream::finish(const key& attempt_key, std::uint64_t generation)
{
    const auto found = attempts_.find(attempt_key);
    if (found == attempts_.end() || !found->second.running ||
        found->second.running->generation != generation)
        return;
    running_call& call = *found->second.running;
    if (call.fails || !found->second.sent.run_nested_calls)
        return end(attempt_key);
    call.awaits_nested_calls = true;
    // A copy, since the attempt may end before the function returns.
    const auto run_nested_calls = found->second.sent.run_nested_calls;
    run_nested_calls([this, attempt_key](bool answered) {
        on_nested_calls_ended(attempt_key, answered);
    });
}

/// Ends the call, unless it was aborted or lost in the meantime.
void fake_upstream::on_nested_calls_ended(const key& attempt_key, bool answered)
{
    const auto found = attempts_.find(attempt_key);
    if (found == attempts_.end() || !found->second.running)
        return;
    found->second.running->fails = !answered;
    end(attempt_key);
}

void fake_upstream::end(const key& attempt_key)
{
    const auto found = attempts_.find(attempt_key);
    const running_call call = *found->second.running;
    const support::time_point received_at = found->second.received_at;
    const auto reply = std::move(found->second.sent.reply);
    attempts_.erase(found);
    const support::duration took = clock_.now() - call.started_at;
    counts_.busy_ms += support::to_ms(took);
    ++(call.fails ? counts_.failed : counts_.answered);
    perform(gate_->on_ended(
        attempt_key, call.fails ? run_result::failed : run_result::answered,
        took, clock_.now()));
    reply({call.fails ? status_failed : status_answered,
           {},
           report(received_at)});
}

support::load_report
fake_upstream::report(support::time_point received_at) const
{
    if (!gate_)
        return {};
    support::load_report load = gate_->report(clock_.now());
    const auto reported = [this](std::uint32_t calls) {
        return static_cast<std::uint32_t>(std::lround(calls * report_factor_));
    };
    load.running = reported(load.running);
    load.waiting = reported(load.waiting);
    load.time_at_gate_ms = support::to_ms(clock_.now() - received_at);
    for (std::uint32_t& waiting : load.waiting_by_rank)
        waiting = reported(waiting);
    return load;
}

} // namespace galenarudder::replay
