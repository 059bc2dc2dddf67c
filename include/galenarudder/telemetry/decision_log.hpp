/// \file
/// Automated decisions as typed records: a counter for each kind and effect
/// and a ring of the latest.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::telemetry {

/// What became of a decision under its mode.
enum class decision_effect
{
    /// Carried out.
    acted,
    /// Not carried out: outside of the limits that the configuration states.
    limited,
    /// Not carried out: the mode is observe.
    observed,
};

std::string_view to_string(decision_effect effect);

/// Returns what may become of a decision in \p mode. \p within_limits tells
/// whether it lies within the limits of the configuration, which bind in
/// every mode; automatic and bounded differ in the limits that the caller
/// tests.
decision_effect effect_of(config::automation_mode mode, bool within_limits);

struct decision
{
    support::time_point at;
    config::automation what{};
    decision_effect effect{};
    /// The upstream or service that it is about.
    std::string subject;
    std::string reason;
};

/// Safe from any thread.
class decision_log
{
public:
    /// Records kept in the ring.
    static constexpr std::size_t ring_size = 256;

    decision_log();
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    void record(decision made);
    /// The latest records, oldest first.
    std::vector<decision> latest() const;
    std::uint64_t count(config::automation what, decision_effect effect) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::telemetry
