// State of the gate, shared by the files that implement it: admission and
// starts (gate.cpp), limits on starts and refusals (gate_refusals.cpp).
#pragma once

#include "return_schedule.hpp"

#include "galenarudder/admission/concurrency_limit.hpp"
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/admission/rank_queue.hpp"
#include "galenarudder/admission/rate_limit.hpp"
#include "galenarudder/admission/service_estimate.hpp"
#include "galenarudder/admission/slowdown_monitor.hpp"
#include "galenarudder/admission/timely_admission.hpp"
#include "galenarudder/admission/turn_statistics.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <map>
#include <string>
#include <string_view>

namespace galenarudder::admission {

/// Returns the reason for a call that was never started.
support::refusal not_run(support::refusal_kind kind,
                         support::milliseconds retry_after,
                         std::string detail);

/// Refuses \p call since the upstream takes no calls at present.
refuse refuse_unavailable(const attempt& call,
                          support::refusal_kind kind,
                          std::string detail);

struct running_call
{
    attempt call;
    /// Slot time charged to the rank of the call.
    double charged_ms = 0;
};

/// Counts calls that an automation refused, or would have refused in mode
/// observe, since they were last recorded.
struct refusal_tally
{
    std::uint64_t count = 0;
    /// Time of the first of them.
    support::time_point since;
};

struct gate::state
{
    std::shared_ptr<const config::configuration> in_force;
    telemetry::decision_log* decisions = nullptr;
    rank_queue queue;
    concurrency_limit concurrency;
    service_estimate service_times;
    slowdown_monitor slowdowns;
    rate_limit stated_limit;
    cold_limit cold;
    /// Times at which calls that a cold upstream refused are to return.
    return_schedule returns;
    probe_budget probes{0};
    probe_estimate idle_estimate;
    support::time_point probe_started_at;
    /// Calls that were started and have not ended.
    std::map<attempt_key, running_call> running;
    gate_counters counts;
    refusal_tally sheds_acted;
    refusal_tally sheds_observed;
    refusal_tally lates_acted;
    refusal_tally lates_observed;
    turn_statistics turns;
    bool upstream_present = false;
    bool draining = false;
    /// Operators have emptied the failure domain.
    bool emptied = false;
    support::time_point serving_since;

    void configure(std::shared_ptr<const config::configuration> next);
    void count_turns();
    bool may_start(std::size_t rank) const;
    support::duration expected_service_time(const attempt& call) const;
    std::optional<double> start_rate(support::time_point now) const;
    support::duration start_wait(std::size_t ahead,
                                 support::time_point now) const;
    std::uint32_t usable_slots(support::time_point now) const;
    support::duration expected_wait(std::size_t calls_ahead) const;
    bool misses_deadline(const attempt& call,
                         support::duration wait,
                         support::time_point now) const;
    bool try_shed(support::time_point now);
    support::milliseconds retry_after(support::time_point now);
    support::milliseconds cold_retry_after(support::time_point now);
    refuse refuse_for_deadline(const attempt& call,
                               std::string detail,
                               support::time_point now);
    refuse hand_back(const attempt& call,
                     support::refusal_kind kind,
                     support::time_point now);
    void hand_back_waiting(support::refusal_kind kind,
                           support::time_point now,
                           std::vector<action>& actions);
    refuse refuse_for_limit(const attempt& call,
                            std::string detail,
                            support::time_point now);
    expected_run expect(const attempt& call,
                        std::size_t ahead,
                        support::time_point now) const;
    support::duration cold_interval() const;
    bool judges_timeliness(const attempt& call, support::time_point now) const;
    bool is_mode_observe(config::automation kind) const;
    void count_late(refusal_tally& tally, support::time_point now);
    void observe_timeliness(const attempt& call,
                            std::size_t ahead,
                            support::time_point now);
    refuse turn_away_late(const attempt& call, support::time_point now);
    void review_timeliness(support::time_point now,
                           std::vector<action>& actions);
    void refuse_beyond_limit(support::time_point now,
                             std::vector<action>& actions);
    refuse refuse_overflow(const attempt& call, support::time_point now);
    bool slowdown_report_allows_start(support::time_point now) const;
    void start_waiting(support::time_point now, std::vector<action>& actions);
    void refuse_waiting(support::refusal_kind kind,
                        std::string_view detail,
                        std::vector<action>& actions);
    void record(const std::optional<limit_change>& change,
                support::time_point now);
    void record_refusals(refusal_tally& tally,
                         config::automation kind,
                         telemetry::decision_effect effect,
                         std::string_view reason,
                         support::time_point now);
};

} // namespace galenarudder::admission
