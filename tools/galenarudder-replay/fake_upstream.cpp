// Slots with a clock behind a real gate.
#include "fake_upstream.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::replay {

using admission::run_result;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr double fail_fast_ms = 0.2;
/// How much slower a cold upstream begins than a warm one.
constexpr double cold_factor = 4;
constexpr unsigned status_good = 200;
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
    factor_ = 1;
    lie_ = 1;
    fails_fast_ = false;
    connections_ = 0;
    gate_ = std::make_unique<admission::gate>(in_force_);
    perform(gate_->on_upstream_announced(spec_.slots, clock_.now()));
}

void fake_upstream::stop()
{
    gate_.reset();
    stopped_at_ = clock_.now();
    std::map<key, open_attempt> lost;
    lost.swap(attempts_);
    for (auto& [which, attempt] : lost) {
        if (attempt.running && drained_at_)
            ++counts_.cut;
        attempt.sent.reply({0, broken_link(run_outcome::unknown), {}});
    }
}

void fake_upstream::arrive(sent_attempt attempt)
{
    if (!gate_) {
        // A refused connection carried nothing; a broken one may have.
        const run_outcome outcome = attempt.sent_at <= stopped_at_
                                        ? run_outcome::unknown
                                        : run_outcome::not_run;
        return attempt.reply({0, broken_link(outcome), {}});
    }
    if (paused()) {
        return clock_.at(paused_until_, [this, attempt = std::move(attempt)] {
            arrive(attempt);
        });
    }
    const admission::attempt terms = attempt.terms;
    attempts_[terms.key] = {std::move(attempt), clock_.now(), std::nullopt};
    perform(gate_->offer(terms, clock_.now()));
}

void fake_upstream::cancel(const key& which)
{
    if (paused())
        return clock_.at(paused_until_, [this, which] { cancel(which); });
    if (gate_)
        perform(gate_->cancel(which, clock_.now()));
}

void fake_upstream::tick()
{
    if (!gate_ || paused())
        return;
    perform(gate_->on_tick(clock_.now()));
    probe();
}

/// Lets the gate probe when its budget allows; a probe takes the upstream's
/// time as work does and is ended at the latest after the time allowed.
void fake_upstream::probe()
{
    const auto allowed = gate_->start_probe(clock_.now());
    if (!allowed)
        return;
    const double wanted_ms = spec_.probe_cost_ms * milliseconds_per_work();
    const double cost_ms = std::min(wanted_ms, support::to_ms(*allowed));
    clock_.after(cost_ms, [this, of = gate_.get(), cost_ms,
                           answered = wanted_ms <= cost_ms] {
        end_probe(of, cost_ms, answered);
    });
}

void fake_upstream::end_probe(const admission::gate* of,
                              double cost_ms,
                              bool answered)
{
    counts_.probes.push_back({clock_.now(), cost_ms});
    if (gate_.get() == of)
        gate_->on_probe_ended(answered, clock_.now());
}

void fake_upstream::apply(const upstream_event& event)
{
    switch (event.what) {
    case upstream_change::slow:
        return set_factor(event.amount);
    case upstream_change::fail_fast:
        fails_fast_ = true;
        return;
    case upstream_change::recover:
        fails_fast_ = false;
        lie_ = 1;
        return set_factor(1);
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
        for (auto& [which, attempt] : attempts_) {
            if (attempt.running)
                advance(*attempt.running);
        }
        paused_until_ = clock_.now() + support::from_ms(event.amount);
        return clock_.at(paused_until_, [this] { resume(); });
    case upstream_change::lie:
        lie_ = event.amount;
        return;
    }
}

void fake_upstream::set_factor(double factor)
{
    for (auto& [which, attempt] : attempts_) {
        if (attempt.running)
            advance(*attempt.running);
    }
    factor_ = factor;
    resume();
}

void fake_upstream::resume()
{
    if (paused())
        return;
    for (auto& [which, attempt] : attempts_) {
        if (!attempt.running)
            continue;
        attempt.running->updated_at = clock_.now();
        plan_end(which, *attempt.running);
    }
}

double fake_upstream::milliseconds_per_work() const
{
    if (cold_ms_ <= 0)
        return factor_;
    const double age = support::to_ms(clock_.now() - started_at_);
    const double cold = std::max(0.0, 1 - age / cold_ms_);
    return factor_ * (1 + (cold_factor - 1) * cold);
}

void fake_upstream::perform(const std::vector<admission::action>& actions)
{
    for (const admission::action& next : actions)
        std::visit([this](const auto& what) { execute(what); }, next);
}

void fake_upstream::execute(const admission::start& begun)
{
    const auto found = attempts_.find(begun.key);
    if (found == attempts_.end())
        return;
    ++counts_.started;
    on_run(found->second.sent.call);
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
    plan_end(begun.key, call);
}

void fake_upstream::execute(const admission::refuse& ended)
{
    const auto found = attempts_.find(ended.key);
    if (found == attempts_.end())
        return;
    const support::time_point arrived_at = found->second.arrived_at;
    const sent_attempt sent = std::move(found->second.sent);
    attempts_.erase(found);
    sent.reply({0, ended.refusal, report(arrived_at)});
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

/// Takes the work done since the last update off what is left.
void fake_upstream::advance(running_call& call)
{
    const double passed =
        paused() ? 0 : support::to_ms(clock_.now() - call.updated_at);
    call.work_left_ms =
        std::max(0.0, call.work_left_ms - passed / milliseconds_per_work());
    call.updated_at = clock_.now();
    call.generation = ++generation_;
}

void fake_upstream::plan_end(const key& which, running_call& call)
{
    call.generation = ++generation_;
    clock_.after(
        call.work_left_ms * milliseconds_per_work(),
        [this, which, planned = call.generation] { finish(which, planned); });
}

void fake_upstream::finish(const key& which, std::uint64_t generation)
{
    const auto found = attempts_.find(which);
    if (found == attempts_.end() || !found->second.running ||
        found->second.running->generation != generation)
        return;
    const running_call call = *found->second.running;
    const support::time_point arrived_at = found->second.arrived_at;
    const sent_attempt sent = std::move(found->second.sent);
    attempts_.erase(found);
    const support::duration took = clock_.now() - call.started_at;
    counts_.busy_ms += support::to_ms(took);
    ++(call.fails ? counts_.failed : counts_.answered);
    perform(gate_->on_ended(
        which, call.fails ? run_result::failed : run_result::answered, took,
        clock_.now()));
    sent.reply(
        {call.fails ? status_failed : status_good, {}, report(arrived_at)});
}

support::load_report fake_upstream::report(support::time_point arrived_at) const
{
    if (!gate_)
        return {};
    support::load_report load = gate_->report(clock_.now());
    const auto told = [this](std::uint32_t calls) {
        return static_cast<std::uint32_t>(std::lround(calls * lie_));
    };
    load.running = told(load.running);
    load.waiting = told(load.waiting);
    load.time_at_gate_ms = support::to_ms(clock_.now() - arrived_at);
    for (std::uint32_t& waiting : load.waiting_by_rank)
        waiting = told(waiting);
    return load;
}

} // namespace galenarudder::replay
