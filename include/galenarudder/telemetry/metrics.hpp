/// \file
/// Metrics of a daemon, exposed in Prometheus' text format.
#pragma once

#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::telemetry {

/// A label of a time series.
struct metric_label
{
    std::string name;
    std::string value;
};

/// The registry of all metrics. Safe from any thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a complete response to a caller and records its latency. Takes no
    /// lock once the series of this service and rank exists.
    void record_response(std::string_view service,
                         std::string_view rank,
                         support::duration latency);
    /// Counts a refusal sent to a caller.
    void record_refusal(std::string_view service,
                        std::string_view rank,
                        const support::refusal& refusal);
    /// Adds \p amount to a counter without labels, which is created at its
    /// first use.
    void add_to_counter(const std::string& name,
                        const std::string& help,
                        double amount = 1);
    /// Sets a gauge, which is created at its first use.
    void set_gauge(const std::string& name,
                   const std::string& help,
                   double value,
                   const std::vector<metric_label>& labels = {});
    /// Sets a counter to \p total, which another part of the daemon counts.
    void set_counter(const std::string& name,
                     const std::string& help,
                     const std::vector<metric_label>& labels,
                     double total);

    /// Returns all metrics in Prometheus' text exposition format.
    std::string render() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::telemetry
