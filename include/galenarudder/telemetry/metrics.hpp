/// \file
/// Counters and histograms of one daemon, in Prometheus' text form.
#pragma once

#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::telemetry {

/// A label of a series.
struct metric_label
{
    std::string name;
    std::string value;
};

/// Safe from any thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// A caller got a whole answer. Takes no lock once the series of this
    /// service and rank is there.
    void answered(std::string_view service,
                  std::string_view rank,
                  support::duration latency);
    /// A caller got a refusal.
    void refused(std::string_view service,
                 std::string_view rank,
                 const support::refusal& why);
    /// Adds to a counter without labels; made at first use.
    void
    add(const std::string& name, const std::string& help, double amount = 1);
    /// Sets a gauge without labels; made at first use.
    void set(const std::string& name, const std::string& help, double value);
    /// Sets a counter that another part counts, to its total.
    void set_total(const std::string& name,
                   const std::string& help,
                   const std::vector<metric_label>& labels,
                   double total);

    /// Everything in Prometheus' text exposition format.
    std::string render() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::telemetry
