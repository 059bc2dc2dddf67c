/// \file
/// What turns of organisations decided at a gate, and the slot time that
/// organisations used, for metrics and the decision log.
#pragma once

#include "galenarudder/admission/fair_queue.hpp"
#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace galenarudder::admission {

/// A state machine without I/O. Holds counts for the largest organisations and
/// one for all others, so that the number of time series is bounded.
class turn_statistics
{
public:
    /// Organisations that are counted by name: those with the highest limits,
    /// then those without a limit, by name.
    static constexpr std::size_t named_organisations = 10;
    /// Decisions within this time are recorded as one, so that they do not
    /// displace other decisions from the log.
    static constexpr support::milliseconds record_interval{1'000};

    /// What a gate counted for one organisation.
    struct organisation_counts
    {
        double slot_ms = 0;
        /// Starts at which its call was the first that had arrived, but another
        /// organisation had its turn.
        std::uint64_t passed_over = 0;
    };

    /// Chooses the organisations that are counted by name, and forgets the
    /// counts of those that are no longer named.
    void configure(const config::configuration& in_force);
    void on_slot_time(std::string_view organisation, double slot_ms);
    /// Adds decisions that were taken in \p mode.
    void add(const turn_tally& decided, config::automation_mode mode);
    /// Records the decisions since the last record, at most once in
    /// record_interval.
    void record_due(support::time_point now,
                    telemetry::decision_log* decisions);

    /// By organisation; the empty name stands for all that are not named and
    /// for calls without an organisation.
    const std::map<std::string, organisation_counts, std::less<>>&
    counts() const
    {
        return counts_;
    }
    const turn_tally& acted() const { return acted_.total; }
    const turn_tally& observed() const { return observed_.total; }

private:
    struct recorded_tally
    {
        /// Without the organisations.
        turn_tally total;
        /// Since the last record.
        turn_tally unrecorded;
    };

    organisation_counts& counts_of(std::string_view organisation);
    static void record(recorded_tally& tally,
                       telemetry::decision_effect effect,
                       support::time_point now,
                       telemetry::decision_log* decisions);

    std::map<std::string, organisation_counts, std::less<>> counts_;
    recorded_tally acted_;
    recorded_tally observed_;
    support::time_point last_record_{};
};

} // namespace galenarudder::admission
