// Metrics by prometheus-cpp.
#include "galenarudder/telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace galenarudder::telemetry {

namespace {

/// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries latency_bounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};

} // namespace

struct metrics::state
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& latency =
        prometheus::BuildHistogram()
            .Name("galenarudder_call_seconds")
            .Help("Time from a call's head to the end of its answer")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& refusals =
        prometheus::BuildCounter()
            .Name("galenarudder_refusals_total")
            .Help("Calls refused to callers")
            .Register(registry);
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::answered(std::string_view service,
                       std::string_view rank,
                       support::duration latency)
{
    state_->latency
        .Add({{"service", std::string(service)}, {"rank", std::string(rank)}},
             latency_bounds)
        .Observe(std::chrono::duration<double>(latency).count());
}

void metrics::refused(std::string_view service,
                      std::string_view rank,
                      const support::refusal& why)
{
    state_->refusals
        .Add({{"service", std::string(service)},
              {"rank", std::string(rank)},
              {"kind", std::string(to_string(why.kind))},
              {"outcome", std::string(to_string(why.outcome))}})
        .Increment();
}

void metrics::add(const std::string& name,
                  const std::string& help,
                  double amount)
{
    prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(state_->registry)
        .Add({})
        .Increment(amount);
}

void metrics::set(const std::string& name,
                  const std::string& help,
                  double value)
{
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(state_->registry)
        .Add({})
        .Set(value);
}

std::string metrics::render() const
{
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

} // namespace galenarudder::telemetry
