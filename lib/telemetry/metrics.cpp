// Metrics by prometheus-cpp.
#include "galenarudder/telemetry/metrics.hpp"

#include "galenarudder/telemetry/latency_table.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <map>
#include <mutex>

namespace galenarudder::telemetry {

namespace {

prometheus::ClientMetric to_metric(const latency_table::row& row)
{
    prometheus::ClientMetric metric;
    metric.label = {{"rank", row.rank}, {"service", row.service}};
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket <= latency_bounds_s.size(); ++bucket) {
        seen += row.series->count(bucket);
        const double bound = bucket < latency_bounds_s.size()
                                 ? latency_bounds_s[bucket]
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({seen, bound});
    }
    metric.histogram.sample_count = seen;
    metric.histogram.sample_sum = row.series->sum_s();
    return metric;
}

prometheus::MetricFamily to_family(const latency_table& latencies)
{
    prometheus::MetricFamily family;
    family.name = "galenarudder_call_seconds";
    family.help = "Time from a call's head to the end of its answer";
    family.type = prometheus::MetricType::Histogram;
    for (const latency_table::row& row : latencies.rows())
        family.metric.push_back(to_metric(row));
    return family;
}

/// A total that another part counts.
struct outside_total
{
    std::vector<metric_label> labels;
    double total = 0;
};

struct outside_family
{
    std::string help;
    std::map<std::string, outside_total> series;
};

prometheus::MetricFamily to_family(const std::string& name,
                                   const outside_family& counted)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = counted.help;
    family.type = prometheus::MetricType::Counter;
    for (const auto& [key, series] : counted.series) {
        prometheus::ClientMetric metric;
        for (const metric_label& label : series.labels)
            metric.label.push_back({label.name, label.value});
        metric.counter.value = series.total;
        family.metric.push_back(std::move(metric));
    }
    return family;
}

} // namespace

struct metrics::state
{
    prometheus::Registry registry;
    latency_table latencies;
    std::mutex outside_mutex;
    std::map<std::string, outside_family> outside;
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
    state_->latencies.observe(service, rank, latency);
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

void metrics::set_total(const std::string& name,
                        const std::string& help,
                        const std::vector<metric_label>& labels,
                        double total)
{
    std::string key;
    for (const metric_label& label : labels)
        key += label.name + "=" + label.value + ",";
    const std::lock_guard lock(state_->outside_mutex);
    outside_family& family = state_->outside[name];
    family.help = help;
    family.series[key] = {labels, total};
}

std::string metrics::render() const
{
    std::vector<prometheus::MetricFamily> families = state_->registry.Collect();
    families.push_back(to_family(state_->latencies));
    const std::lock_guard lock(state_->outside_mutex);
    for (const auto& [name, counted] : state_->outside)
        families.push_back(to_family(name, counted));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace galenarudder::telemetry
