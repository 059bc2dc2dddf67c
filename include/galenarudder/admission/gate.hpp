/// \file
/// Admission of calls to one upstream, as a state machine without I/O. All
/// calls to an upstream go through its gate, so the gate knows which calls are
/// running and which were never started.
#pragma once

#include "galenarudder/admission/attempt.hpp"
#include "galenarudder/admission/cold_limit.hpp"
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

class turn_statistics;

/// Action: send the attempt to the upstream now.
struct start
{
    attempt_key key;
};

/// Action: answer the attempt with a refusal. The attempt was never started.
struct refuse
{
    attempt_key key;
    support::refusal refusal;
};

/// Action: close the upstream connection of a running, repeatable attempt.
struct abort_running
{
    attempt_key key;
};

/// What the owner of the gate has to carry out.
using action = std::variant<start, refuse, abort_running>;

/// How a started attempt ended.
enum class run_result
{
    answered,
    failed,
    /// The upstream itself refused the call because of overload. Unrelated to
    /// automation `shed`, by which the gate refuses calls.
    shed
};

/// Totals since the gate was created, for metrics.
struct gate_counters
{
    std::uint64_t started = 0;
    /// Refused because the deadline had passed or could not be met.
    std::uint64_t refused_deadline = 0;
    /// Refused because the queue was full, on arrival or displaced later.
    std::uint64_t refused_overload = 0;
    /// Handed back to their entries during a slowdown of the upstream, or since
    /// its limit left no room at the moment.
    std::uint64_t handed_back = 0;
    /// Refused because the limit that the upstream states leaves no room before
    /// their deadline.
    std::uint64_t refused_limit = 0;
    /// Of these and of \c handed_back, the calls that were turned away while
    /// the upstream was cold.
    std::uint64_t turned_away_cold = 0;
    /// Of \c turned_away_cold, the calls that would have been late.
    std::uint64_t turned_away_late = 0;
    /// Calls that automation `cold_admission` would have turned away on their
    /// arrival if it were not in mode observe.
    std::uint64_t late_observed = 0;
    /// Queries whether the upstream has become cold.
    std::uint64_t cold_queries = 0;
    /// Admitted although automation `shed` would have refused them, since it
    /// is in mode observe.
    std::uint64_t shed_observed = 0;
};

/// Decides when the attempts of calls to one upstream start. Methods that
/// change its state return the actions that follow; the owner of the gate
/// carries them out in order.
class gate
{
public:
    explicit gate(std::shared_ptr<const config::configuration> in_force);
    /// The same for a configuration that is not shared.
    explicit gate(const config::configuration& in_force)
        : gate(std::make_shared<const config::configuration>(in_force))
    {
    }
    ~gate();
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;

    /// Sets where calls that the gate shed and changes of the concurrency limit
    /// are recorded.
    void set_decision_log(telemetry::decision_log& log);

    void on_configuration(std::shared_ptr<const config::configuration> in_force,
                          support::time_point now);
    /// The same for a configuration that is not shared.
    void on_configuration(const config::configuration& in_force,
                          support::time_point now)
    {
        on_configuration(
            std::make_shared<const config::configuration>(in_force), now);
    }
    /// The upstream announced \p slots. The age in load reports counts from the
    /// first announcement, so that entries apply slow start to the upstream.
    std::vector<action> on_upstream_announced(std::uint32_t slots,
                                              support::time_point now);
    /// The upstream accepts no more calls. Running calls complete. Follows
    /// presence_change::left.
    std::vector<action> on_upstream_leaving(support::time_point now);
    /// No calls can be sent to the upstream: it is absent or not reachable, its
    /// announcements stopped, or another instance replaces it. Follows
    /// presence_change::lapsed, among others.
    std::vector<action> on_upstream_gone(support::time_point now);

    /// Admits \p call: starts it, queues it or refuses it.
    std::vector<action> offer(const attempt& call, support::time_point now);
    /// A started attempt ended. \p service_time is the time that the upstream
    /// took.
    std::vector<action> on_ended(const attempt_key& key,
                                 run_result result,
                                 support::duration service_time,
                                 support::time_point now);
    /// The upstream reported its \p slowdown, the ratio of current to usual
    /// processing time, with an answer or in reply to a query. \c nullopt means
    /// that a query failed.
    std::vector<action> on_slowdown_report(std::optional<double> slowdown,
                                           support::time_point now);
    /// The upstream stated how many calls per second it takes from all callers
    /// together, in an answer; nullopt means that it states no limit any more.
    /// Holds until the next call of this function.
    std::vector<action> on_limit_stated(std::optional<double> calls_per_s,
                                        support::time_point now);
    /// Sets how many calls the upstream takes per second while it is cold; 0
    /// for no limit.
    std::vector<action> set_cold_rate(double calls_per_s,
                                      support::time_point now);
    /// The upstream stated that it is cold for \p remaining; 0 if it is not.
    /// Each source counts on its own, so that a late announcement does not end
    /// what a newer response stated.
    std::vector<action> on_cold_stated(cold_source source,
                                       support::milliseconds remaining,
                                       support::time_point now);
    /// The query of take_cold_query got no statement of the upstream.
    void on_cold_query_failed(support::time_point now);
    /// Another instance replaces the upstream: what the earlier one stated
    /// about being cold does not count, nor do the calls sent to it.
    void on_new_instance(support::time_point now);
    /// Returns how long the upstream is still cold.
    support::duration cold_remaining(support::time_point now) const;
    /// Returns whether the owner of the gate has to query whether the upstream
    /// has become cold, since calls start faster than a cold one takes them.
    /// Each \c true stands for one query.
    bool take_cold_query(support::time_point now);
    /// Operators emptied the failure domain of the upstream or took it back.
    /// While it is emptied, all calls are refused as not run and running calls
    /// complete.
    std::vector<action> set_emptied(bool emptied, support::time_point now);
    /// Returns the limit that the upstream states, in calls per second.
    std::optional<double> stated_limit() const;
    /// Returns whether the owner of the gate has to query the upstream's
    /// slowdown now, since calls wait for it. Each \c true stands for one
    /// query, whose result goes to on_slowdown_report.
    bool take_slowdown_query(support::time_point now);
    /// Returns whether calls are queued.
    bool has_waiting() const;
    /// The entry canceled the attempt. A queued attempt is refused as canceled,
    /// a running one is aborted if it is repeatable.
    std::vector<action> cancel(const attempt_key& key, support::time_point now);
    /// A link closed. Its queued attempts are refused and its running,
    /// repeatable attempts aborted.
    std::vector<action> on_link_closed(std::uint64_t link,
                                       support::time_point now);
    /// Refuses all queued and all future attempts. Running attempts complete.
    std::vector<action> drain(support::time_point now);
    /// Called periodically. Refuses queued attempts whose deadline has passed
    /// and starts those that waited for the end of a slowdown.
    std::vector<action> on_tick(support::time_point now);

    /// Returns how long a probe of the upstream that starts now may take, or
    /// \c nullopt when none is needed or allowed. Answered calls are more
    /// accurate than probes, so an upstream is probed only when it has not
    /// answered any recently.
    std::optional<support::duration> start_probe(support::time_point now);
    /// The probe ended. Only its duration is used, not the load that its answer
    /// reports, since the gate knows which calls are running.
    void on_probe_ended(bool answered, support::time_point now);
    const probe_budget& probes() const;

    bool draining() const;
    /// Returns whether any attempt is running.
    bool has_running() const;
    /// Returns the number of attempts that are running.
    std::size_t running() const;
    /// Returns the load report that is sent to entries.
    support::load_report report(support::time_point now) const;
    const gate_counters& counters() const;
    const turn_statistics& turns() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::admission
