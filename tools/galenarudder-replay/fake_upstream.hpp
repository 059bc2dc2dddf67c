/// \file
/// A simulated upstream behind the real admission::gate.
#pragma once

#include "timeline.hpp"
#include "trace.hpp"

#include "galenarudder/admission/gate.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::replay {

/// What the entry receives for an attempt. A status of 0 stands for a refusal.
struct attempt_reply
{
    unsigned status = 0;
    support::refusal refusal;
    support::load_report load;
};

/// An attempt on its way to a gate.
struct sent_attempt
{
    admission::attempt gate_attempt;
    /// Position of the call among the calls of the trace, from 0.
    std::uint64_t call_position = 0;
    /// Time that the call takes at an upstream that is not slowed down.
    double work_ms = 0;
    bool repeatable = false;
    support::time_point sent_at;
    std::function<void(attempt_reply)> reply;
    /// Runs the nested calls after the upstream's own work, while the call
    /// holds its slot; null for none. Calls its argument with whether all of
    /// them were answered.
    std::function<void(std::function<void(bool)>)> run_nested_calls;
};

/// One probe that the gate sent to its upstream.
struct probe_record
{
    support::time_point ended_at;
    double cost_ms = 0;
};

struct upstream_counts
{
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /// Sum of the times that ended or aborted calls ran, over all slots.
    double busy_ms = 0;
    /// Running calls that were lost when the upstream stopped after a drain.
    std::uint64_t cut_after_drain = 0;
    /// Latest start of a call after a drain, counted from the drain.
    double new_work_after_drain_ms = 0;
    std::vector<probe_record> probes;
};

/// Runs calls in slots on the simulated clock and applies the trace's changes
/// to the upstream.
class fake_upstream
{
public:
    fake_upstream(timeline& clock,
                  const upstream_spec& spec,
                  const config::configuration& in_force);

    /// Called with the position of each call that the upstream starts to run.
    std::function<void(std::uint64_t call_position)> on_call_started;

    void receive(sent_attempt attempt);
    void cancel(const admission::attempt_key& key);
    /// Called at a fixed interval; runs the gate's timers and probes.
    void tick();

    void apply(const upstream_event& event);
    bool serves() const { return gate_ != nullptr && !drained_at_; }
    const upstream_spec& spec() const { return spec_; }
    const upstream_counts& counts() const { return counts_; }

private:
    struct running_call
    {
        support::time_point started_at;
        /// Time at which work_left_ms was computed.
        support::time_point updated_at;
        double work_left_ms = 0;
        bool fails = false;
        /// Whether its own work is done and its nested calls are open.
        bool awaits_nested_calls = false;
        /// Changes with each schedule; an end with an earlier number is void.
        std::uint64_t generation = 0;
    };
    struct open_attempt
    {
        sent_attempt sent;
        support::time_point received_at;
        std::optional<running_call> running;
    };
    using key = admission::attempt_key;

    void start(double cold_ms);
    void stop();
    void set_trace_slowdown(double factor);
    void resume();
    bool paused() const { return clock_.now() < paused_until_; }
    double milliseconds_per_work() const;
    void perform(const std::vector<admission::action>& actions);
    void probe();
    void end_probe(const admission::gate* probed_gate,
                   double cost_ms,
                   bool answered);
    void execute(const admission::start& started);
    void execute(const admission::refuse& refused);
    void execute(const admission::abort_running& aborted);
    void schedule_end(const key& attempt_key, running_call& call);
    void advance(running_call& call);
    void finish(const key& attempt_key, std::uint64_t generation);
    void on_nested_calls_ended(const key& attempt_key, bool answered);
    void end(const key& attempt_key);
    support::load_report report(support::time_point received_at) const;

    timeline& clock_;
    upstream_spec spec_;
    config::configuration in_force_;
    std::unique_ptr<admission::gate> gate_;
    std::map<key, open_attempt> attempts_;
    std::uint64_t generation_ = 0;
    std::uint32_t connections_ = 0;
    double trace_slowdown_ = 1;
    double report_factor_ = 1;
    bool fails_fast_ = false;
    double cold_ms_ = 0;
    support::time_point started_at_;
    support::time_point stopped_at_;
    support::time_point paused_until_;
    std::optional<support::time_point> drained_at_;
    upstream_counts counts_;
};

} // namespace galenarudder::replay
