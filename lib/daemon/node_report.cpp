// Renders counters with prometheus-cpp and the rest as JSON.
#include "galenarudder/daemon/node_report.hpp"

#include <nlohmann/json.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace galenarudder::daemon {

using config::automation;
using nlohmann::json;
using telemetry::decision_effect;

namespace {

constexpr decision_effect effects[] = {decision_effect::acted,
                                       decision_effect::limited,
                                       decision_effect::observed};

struct counter_row
{
    const char* name;
    const char* help;
    std::uint64_t rollout::rollout_counters::*value;
};

using counters = rollout::rollout_counters;

constexpr counter_row rollout_rows[] = {
    {"galenarudder_configuration_adopted_total", "Configurations put in force",
     &counters::adopted},
    {"galenarudder_configuration_reversions_refused_total",
     "Lower versions offered and refused", &counters::reversions_refused},
    {"galenarudder_configuration_reversions_adopted_total",
     "Lower versions adopted; stays 0", &counters::reversions_adopted},
    {"galenarudder_configuration_conflicts_total",
     "Version in force offered with another content", &counters::conflicts},
    {"galenarudder_configuration_invalid_total",
     "Configurations that could not be read", &counters::invalid},
    {"galenarudder_configuration_pushes_total", "Transfers handed to peers",
     &counters::pushes},
    {"galenarudder_configuration_pulls_total", "Transfers asked of peers",
     &counters::pulls},
    {"galenarudder_configuration_pulls_failed_total",
     "Transfers asked of peers in vain", &counters::pulls_failed},
    {"galenarudder_configuration_patches_total", "Patches applied",
     &counters::patches},
    {"galenarudder_configuration_whole_documents_total",
     "Whole documents taken from peers", &counters::whole_documents},
    {"galenarudder_configuration_store_reads_total", "Reads of the store",
     &counters::store_reads},
    {"galenarudder_configuration_store_watches_total", "Watches of the store",
     &counters::store_watches},
    {"galenarudder_configuration_store_restores_total",
     "Newer configurations written back to the store",
     &counters::store_restores},
};

prometheus::MetricFamily family(const char* name, const char* help)
{
    prometheus::MetricFamily made;
    made.name = name;
    made.help = help;
    made.type = prometheus::MetricType::Counter;
    return made;
}

prometheus::ClientMetric sample(std::uint64_t value)
{
    prometheus::ClientMetric made;
    made.counter.value = static_cast<double>(value);
    return made;
}

prometheus::MetricFamily decision_family(const telemetry::decision_log& log)
{
    prometheus::MetricFamily made = family("galenarudder_decisions_total",
                                           "Automated decisions by what became "
                                           "of them");
    for (std::size_t index = 0; index < config::automation_count; ++index) {
        const auto what = static_cast<automation>(index);
        for (const decision_effect effect : effects) {
            prometheus::ClientMetric one = sample(log.count(what, effect));
            one.label = {{"automation", std::string(to_string(what))},
                         {"effect", std::string(to_string(effect))}};
            made.metric.push_back(std::move(one));
        }
    }
    return made;
}

json encode(const config::change_record& change)
{
    return {{"version", change.version},
            {"change_id", change.change_id},
            {"author", change.author},
            {"note", change.note},
            {"time", change.time}};
}

json encode(const routing::upstream_load& load)
{
    return {{"member", load.member},
            {"outstanding", load.outstanding},
            {"running", load.reported_running},
            {"waiting", load.reported_waiting},
            {"service_ms", load.service_ms},
            {"error_rate", load.error_rate},
            {"ejected", load.ejected}};
}

} // namespace

json describe(const membership::member_record& record)
{
    return {{"id", record.id},
            {"incarnation", record.incarnation},
            {"state", to_string(record.state)},
            {"domain", record.domain},
            {"service", record.service},
            {"slots", record.slots},
            {"gossip", to_string(record.gossip)},
            {"link", to_string(record.link)},
            {"operators", to_string(record.operators)},
            {"configuration_version", record.configuration_version}};
}

namespace {

/// The base document with the site's values in place of its own.
json effective_base(const config::document& whole, const std::string& site)
{
    json base = whole.base;
    for (const auto& value : config::effective_values(whole, site)) {
        const json::json_pointer path("/" + value.path);
        const bool is_limit = value.path.starts_with("limits/");
        const bool stated = base.contains(path);
        if (is_limit && stated)
            base[path]["value"] = value.value;
        if (!is_limit)
            base[path] = value.value;
    }
    return base;
}

json encode_upstream(const membership::member_record& record)
{
    return {{"id", record.id},
            {"service", record.service},
            {"domain", record.domain},
            {"slots", record.slots}};
}

json trace_header(const node& reported, const std::string& site)
{
    json domains = json::object();
    json upstreams = json::array();
    for (const auto& record : reported.member().records()) {
        domains[record.domain] = json::object();
        if (!record.service.empty())
            upstreams.push_back(encode_upstream(record));
    }
    json header = {{"format", "galenarudder-trace-1"},
                   {"seed", 1},
                   {"entries", 1},
                   {"domains", domains},
                   {"upstreams", upstreams}};
    const config::document* current = reported.rollout().current();
    if (current != nullptr)
        header["config"] = effective_base(*current, site);
    return header;
}

} // namespace

std::string render_node_metrics(const node& reported)
{
    std::vector<prometheus::MetricFamily> families = {
        decision_family(reported.decisions())};
    const counters& values = reported.rollout().counters();
    for (const counter_row& row : rollout_rows) {
        families.push_back(family(row.name, row.help));
        families.back().metric.push_back(sample(values.*row.value));
    }
    return prometheus::TextSerializer().Serialize(families);
}

std::string render_decisions(const node& reported, support::time_point now)
{
    const telemetry::decision_log& log = reported.decisions();
    json counts = json::array();
    for (std::size_t index = 0; index < config::automation_count; ++index) {
        const auto what = static_cast<automation>(index);
        for (const decision_effect effect : effects) {
            counts.push_back({{"automation", to_string(what)},
                              {"effect", to_string(effect)},
                              {"count", log.count(what, effect)}});
        }
    }
    json latest = json::array();
    for (const telemetry::decision& made : log.latest()) {
        latest.push_back({{"age_ms", support::to_ms(now - made.at)},
                          {"automation", to_string(made.what)},
                          {"effect", to_string(made.effect)},
                          {"subject", made.subject},
                          {"reason", made.reason}});
    }
    return json{{"counts", counts}, {"latest", latest}}.dump(2) + "\n";
}

std::string render_history(const node& reported)
{
    json list = json::array();
    const config::document* current = reported.rollout().current();
    if (current != nullptr) {
        list.push_back(encode(config::change_of(*current)));
        for (const config::change_record& change : current->history)
            list.push_back(encode(change));
    }
    return list.dump(2) + "\n";
}

std::string render_snapshot(const node& reported,
                            const std::string& site,
                            support::time_point now)
{
    json loads = json::array();
    for (const routing::upstream_load& load : reported.router().loads(now))
        loads.push_back(encode(load));
    json members = json::array();
    for (const auto& record : reported.member().records())
        members.push_back(describe(record));
    json state = {{"taken_by", reported.member().self().id},
                  {"site", site},
                  {"members", members},
                  {"load", loads},
                  {"watches_store", reported.rollout().watches()}};
    const config::document* current = reported.rollout().current();
    if (current != nullptr)
        state["configuration"] = json::parse(config::serialize(*current));
    const json line = {{"t_ms", 0}, {"snapshot", state}};
    return trace_header(reported, site).dump() + "\n" + line.dump() + "\n";
}

} // namespace galenarudder::daemon
