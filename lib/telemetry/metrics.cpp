// Metrics are kept and rendered by prometheus-cpp; latencies and the counters
// of other parts are stored here and added when the metrics are rendered.
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
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket <= latency_bounds_s.size(); ++bucket) {
        cumulative += row.series->count(bucket);
        const double bound = bucket < latency_bounds_s.size()
                                 ? latency_bounds_s[bucket]
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({cumulative, bound});
    }
    metric.histogram.sample_count = cumulative;
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

/// A counter that another part of the daemon keeps.
struct external_counter
{
    std::vector<metric_label> labels;
    double total = 0;
};

/// All counters of one name; the key of series is the text of their labels.
struct external_family
{
    std::string help;
    std::map<std::string, external_counter> series;
};

prometheus::MetricFamily to_family(const std::string& name,
                                   const external_family& counters)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = counters.help;
    family.type = prometheus::MetricType::Counter;
    for (const auto& [key, series] : counters.series) {
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
    std::mutex external_mutex;
    std::map<std::string, external_family> external;
    prometheus::Family<prometheus::Counter>& refusals =
        prometheus::BuildCounter()
            .Name("galenarudder_refusals_total")
            .Help("Calls refused to callers")
            .Register(registry);
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::record_response(std::string_view service,
                              std::string_view rank,
                              support::duration latency)
{
    state_->latencies.observe(service, rank, latency);
}

void metrics::record_refusal(std::string_view service,
                             std::string_view rank,
                             const support::refusal& refusal)
{
    state_->refusals
        .Add({{"service", std::string(service)},
              {"rank", std::string(rank)},
              {"kind", std::string(to_string(refusal.kind))},
              {"outcome", std::string(to_string(refusal.outcome))}})
        .Increment();
}

void metrics::add_to_counter(const std::string& name,
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

void metrics::set_gauge(const std::string& name,
                        const std::string& help,
                        double value,
                        const std::vector<metric_label>& labels)
{
    prometheus::Labels series;
    for (const metric_label& label : labels)
        series[label.name] = label.value;
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(state_->registry)
        .Add(series)
        .Set(value);
}

void metrics::set_counter(const std::string& name,
                          const std::string& help,
                          const std::vector<metric_label>& labels,
                          double total)
{
    std::string key;
    for (const metric_label& label : labels)
        key += label.name + "=" + label.value + ",";
    const std::lock_guard lock(state_->external_mutex);
    external_family& family = state_->external[name];
    family.help = help;
    family.series[key] = {labels, total};
}

std::string metrics::render() const
{
    std::vector<prometheus::MetricFamily> families = state_->registry.Collect();
    families.push_back(to_family(state_->latencies));
    const std::lock_guard lock(state_->external_mutex);
    for (const auto& [name, counters] : state_->external)
        families.push_back(to_family(name, counters));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace galenarudder::telemetry
