// First form of the gate: a queue by rank before a fixed number of slots.
#include "galenarudder/admission/gate.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace galenarudder::admission {

using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr support::milliseconds overload_retry_after{1000};

refusal not_run(refusal_kind kind, std::string detail)
{
    return {kind, run_outcome::not_run, false, overload_retry_after,
            std::move(detail)};
}

} // namespace

struct gate::state
{
    config::configuration in_force;
    telemetry::decision_log* decisions = nullptr;
    std::uint32_t slots = 0;
    bool draining = false;
    double service_ms = 0;
    std::map<std::size_t, std::deque<attempt>> waiting;
    std::map<attempt_key, attempt> running;

    std::size_t waiting_count() const;
    std::size_t rank_of(const attempt& arrived) const;
    void start_waiting(support::time_point now, std::vector<action>& actions);
    void refuse_waiting(refusal_kind kind, std::vector<action>& actions);
};

std::size_t gate::state::waiting_count() const
{
    std::size_t count = 0;
    for (const auto& [rank, queue] : waiting)
        count += queue.size();
    return count;
}

std::size_t gate::state::rank_of(const attempt& arrived) const
{
    return in_force.rank_index(arrived.rank).value_or(in_force.ranks.size());
}

void gate::state::start_waiting(support::time_point now,
                                std::vector<action>& actions)
{
    for (auto& [rank, queue] : waiting) {
        while (!queue.empty() && running.size() < slots) {
            attempt next = std::move(queue.front());
            queue.pop_front();
            if (next.deadline <= now) {
                actions.emplace_back(
                    refuse{next.key, not_run(refusal_kind::deadline_exceeded,
                                             "deadline passed in the queue")});
                continue;
            }
            actions.emplace_back(start{next.key});
            running.emplace(next.key, std::move(next));
        }
    }
}

void gate::state::refuse_waiting(refusal_kind kind,
                                 std::vector<action>& actions)
{
    for (auto& [rank, queue] : waiting) {
        for (const attempt& waiter : queue) {
            actions.emplace_back(
                refuse{waiter.key, not_run(kind, "the upstream is leaving")});
        }
        queue.clear();
    }
}

gate::gate(const config::configuration& in_force)
    : state_(std::make_unique<state>())
{
    state_->in_force = in_force;
}

gate::~gate() = default;

void gate::set_decision_log(telemetry::decision_log& log)
{
    state_->decisions = &log;
}

void gate::on_configuration(const config::configuration& in_force,
                            support::time_point)
{
    state_->in_force = in_force;
}

std::vector<action> gate::on_upstream(std::uint32_t slots,
                                      support::time_point now)
{
    std::vector<action> actions;
    state_->slots = slots;
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_upstream_gone(support::time_point)
{
    std::vector<action> actions;
    state_->slots = 0;
    state_->refuse_waiting(refusal_kind::no_upstream, actions);
    return actions;
}

std::vector<action> gate::offer(const attempt& arrived, support::time_point now)
{
    if (state_->draining) {
        return {
            refuse{arrived.key, not_run(refusal_kind::draining, "draining")}};
    }
    if (state_->slots == 0) {
        return {refuse{arrived.key, not_run(refusal_kind::no_upstream,
                                            "no upstream is announced")}};
    }
    const double longest = state_->in_force.value(config::limit::queue_length);
    if (static_cast<double>(state_->waiting_count()) >= longest) {
        return {refuse{arrived.key,
                       not_run(refusal_kind::overloaded, "the queue is full")}};
    }
    std::vector<action> actions;
    state_->waiting[state_->rank_of(arrived)].push_back(arrived);
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::on_ended(const attempt_key& key,
                                   run_result,
                                   support::duration service_time,
                                   support::time_point now)
{
    constexpr double smoothing = 0.1;
    state_->running.erase(key);
    state_->service_ms +=
        smoothing * (support::to_ms(service_time) - state_->service_ms);
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    return actions;
}

std::vector<action> gate::cancel(const attempt_key& key, support::time_point)
{
    for (auto& [rank, queue] : state_->waiting) {
        const auto found = std::find_if(
            queue.begin(), queue.end(),
            [&](const attempt& waiter) { return waiter.key == key; });
        if (found == queue.end())
            continue;
        queue.erase(found);
        return {refuse{key, not_run(refusal_kind::canceled, "canceled")}};
    }
    const auto found = state_->running.find(key);
    if (found == state_->running.end() || !found->second.repeatable)
        return {};
    return {abort_running{key}};
}

std::vector<action> gate::on_link_closed(std::uint64_t link,
                                         support::time_point)
{
    std::vector<action> actions;
    for (auto& [rank, queue] : state_->waiting) {
        for (const attempt& waiter : queue) {
            if (waiter.key.link != link)
                continue;
            actions.emplace_back(
                refuse{waiter.key,
                       not_run(refusal_kind::canceled, "the link closed")});
        }
        std::erase_if(queue, [&](const attempt& waiter) {
            return waiter.key.link == link;
        });
    }
    for (const auto& [key, running] : state_->running) {
        if (key.link == link && running.repeatable)
            actions.emplace_back(abort_running{key});
    }
    return actions;
}

std::vector<action> gate::drain(support::time_point)
{
    std::vector<action> actions;
    state_->draining = true;
    state_->refuse_waiting(refusal_kind::draining, actions);
    return actions;
}

std::vector<action> gate::on_tick(support::time_point now)
{
    std::vector<action> actions;
    state_->start_waiting(now, actions);
    return actions;
}

bool gate::draining() const
{
    return state_->draining;
}

bool gate::busy() const
{
    return !state_->running.empty();
}

support::load_report gate::report(support::time_point) const
{
    support::load_report report;
    report.running = static_cast<std::uint32_t>(state_->running.size());
    report.waiting = static_cast<std::uint32_t>(state_->waiting_count());
    report.limit = state_->slots;
    report.service_ms = state_->service_ms;
    return report;
}

} // namespace galenarudder::admission
