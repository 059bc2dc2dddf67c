/// \file
/// Admission of calls to one upstream as a state machine without I/O. The
/// gate is the only one that sends work to its upstream, so it knows what
/// runs and what was never started.
#pragma once

#include "galenarudder/admission/attempt.hpp"
#include "galenarudder/admission/probe_budget.hpp"
#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace galenarudder::telemetry {
class decision_log;
} // namespace galenarudder::telemetry

namespace galenarudder::admission {

/// Send the attempt to the upstream now.
struct start
{
    attempt_key key;
};

/// Answer the attempt with a refusal; it was never started.
struct refuse
{
    attempt_key key;
    support::refusal why;
};

/// Close the upstream connection of a running attempt that may repeat.
struct abort_running
{
    attempt_key key;
};

using action = std::variant<start, refuse, abort_running>;

/// How a started attempt ended.
enum class run_result
{
    answered,
    failed,
    shed
};

/// Totals since the start, for metrics.
struct gate_counts
{
    std::uint64_t started = 0;
    /// Refused because the deadline passed or could not be met.
    std::uint64_t refused_deadline = 0;
    /// Refused or displaced because the queue was full.
    std::uint64_t refused_overload = 0;
    /// Handed back to their entries during slow spells.
    std::uint64_t handed_back = 0;
    /// Would have been refused, but automation `shed` is in mode observe.
    std::uint64_t observed = 0;
};

class gate
{
public:
    explicit gate(const config::configuration& in_force);
    ~gate();
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;

    /// Records sheds and changes of the limit.
    void set_decision_log(telemetry::decision_log& log);

    void on_configuration(const config::configuration& in_force,
                          support::time_point now);
    /// The upstream announced itself; the age in the report begins with the
    /// first announcement, so that entries can start slowly.
    std::vector<action> on_upstream(std::uint32_t slots,
                                    support::time_point now);
    /// The upstream takes no more work; what runs there ends.
    std::vector<action> on_upstream_leaving(support::time_point now);
    /// The upstream left or its heartbeat lapsed.
    std::vector<action> on_upstream_gone(support::time_point now);

    std::vector<action> offer(const attempt& arrived, support::time_point now);
    /// A started attempt ended; \p service_time is the upstream's part.
    std::vector<action> on_ended(const attempt_key& key,
                                 run_result how,
                                 support::duration service_time,
                                 support::time_point now);
    /// The upstream stated how much longer than usual work takes there, with an
    /// answer or when it was asked; nothing when it did not answer.
    std::vector<action> on_speed(std::optional<double> slowdown,
                                 support::time_point now);
    /// Whether calls wait for the upstream's speed and it is to be asked for
    /// it; true once for each question, which on_speed answers.
    bool take_speed_question(support::time_point now);
    /// Whether calls wait to begin.
    bool has_waiting() const;
    /// The entry gave the attempt up. Waiting work is refused as canceled.
    std::vector<action> cancel(const attempt_key& key, support::time_point now);
    /// A link closed: its waiting attempts are dropped, never started.
    std::vector<action> on_link_closed(std::uint64_t link,
                                       support::time_point now);
    /// Refuses all new and waiting work from now on; running work ends.
    std::vector<action> drain(support::time_point now);
    std::vector<action> on_tick(support::time_point now);

    /// Returns how long a probe of the upstream may take from now on, or
    /// nothing when none is wanted or allowed. Answers of calls tell more than
    /// a probe, so only an upstream that has answered none of late is probed.
    std::optional<support::duration> start_probe(support::time_point now);
    /// The probe ended. Its duration counts; what it says about the load does
    /// not, since the gate itself knows what runs.
    void on_probe_ended(bool answered, support::time_point now);
    const probe_budget& probes() const;

    bool draining() const;
    /// True while an attempt runs.
    bool busy() const;
    support::load_report report(support::time_point now) const;
    const gate_counts& counts() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::admission
