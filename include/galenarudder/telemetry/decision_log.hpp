/// \file
/// Records of automated decisions: a counter for each kind and effect, and a
/// ring buffer of the latest decisions.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::telemetry {

/// Whether a decision was carried out.
enum class decision_effect
{
    /// Carried out.
    acted,
    /// Not carried out: outside the limits of the configuration.
    limited,
    /// Not carried out: the automation's mode is observe.
    observed,
};

/// Returns the name that is used in metrics and reports.
std::string_view to_string(decision_effect effect);

/// Returns the effect that a decision has in \p mode: observed in mode observe,
/// otherwise acted if \p within_limits, else limited. The caller checks the
/// decision against the limits of the mode, see
/// configuration::automation_limit.
decision_effect effect_of(config::automation_mode mode, bool within_limits);

/// A decision of an automation.
struct decision
{
    support::time_point time;
    /// The automation that decided.
    config::automation kind{};
    decision_effect effect{};
    /// The upstream or service that the decision concerns.
    std::string subject;
    std::string reason;
};

/// Counts decisions and keeps the latest. Safe from any thread.
class decision_log
{
public:
    /// Capacity of the ring buffer, in decisions.
    static constexpr std::size_t ring_size = 256;

    decision_log();
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// Counts a decision and stores it in the ring buffer.
    void record(decision new_decision);
    /// Returns the decisions in the ring buffer, oldest first.
    std::vector<decision> latest() const;
    /// Returns the number of decisions since the start.
    std::uint64_t count(config::automation kind, decision_effect effect) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::telemetry
