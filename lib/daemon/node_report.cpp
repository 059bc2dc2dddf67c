// Renders the counters with prometheus-cpp and everything else as JSON.
#include "galenarudder/daemon/node_report.hpp"

#include "galenarudder/support/json.hpp"

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

using rollout_counters = rollout::rollout_counters;

constexpr counter_row rollout_metric_rows[] = {
    {"galenarudder_configuration_adopted_total", "Configurations put in force",
     &rollout_counters::adopted},
    {"galenarudder_configuration_pulls_total", "Transfers asked of peers",
     &rollout_counters::pulls},
    {"galenarudder_configuration_pulls_failed_total",
     "Transfers asked of peers in vain", &rollout_counters::pulls_failed},
    {"galenarudder_configuration_store_asks_total",
     "Times that this observer asked the store for changes",
     &rollout_counters::store_asks},
    {"galenarudder_configuration_store_asks_failed_total",
     "Times that the store did not answer this observer",
     &rollout_counters::store_asks_failed},
    {"galenarudder_configuration_store_watches_total", "Watches of the store",
     &rollout_counters::store_watches},
    {"galenarudder_configuration_store_reads_total", "Reads of the store",
     &rollout_counters::store_reads},
    {"galenarudder_configuration_confirmations_heard_total",
     "Statements of other observers about the store",
     &rollout_counters::confirmations_heard},
    {"galenarudder_configuration_superseded_total",
     "Documents dropped unread: the same or a newer one was there",
     &rollout_counters::superseded},
    {"galenarudder_configuration_handovers_total",
     "Members asked to watch the store in place of this one",
     &rollout_counters::handovers},
    {"galenarudder_configuration_silent_watchers_total",
     "Members that did not answer as watchers of the store",
     &rollout_counters::silent_watchers},
    {"galenarudder_configuration_reversions_refused_total",
     "Lower versions offered and refused",
     &rollout_counters::reversions_refused},
    {"galenarudder_configuration_reversions_adopted_total",
     "Lower versions adopted; stays 0", &rollout_counters::reversions_adopted},
    {"galenarudder_configuration_conflicts_total",
     "Version in force offered with another content",
     &rollout_counters::conflicts},
    {"galenarudder_configuration_invalid_total",
     "Configurations that could not be read", &rollout_counters::invalid},
    {"galenarudder_configuration_pushes_total", "Transfers handed to peers",
     &rollout_counters::pushes},
    {"galenarudder_configuration_offers_total",
     "Pushes that only offered a document", &rollout_counters::offers},
    {"galenarudder_configuration_patches_total", "Patches applied",
     &rollout_counters::patches},
    {"galenarudder_configuration_whole_documents_total",
     "Whole documents taken from peers", &rollout_counters::whole_documents},
    {"galenarudder_configuration_store_restores_total",
     "Newer configurations written back to the store",
     &rollout_counters::store_restores},
};

prometheus::MetricFamily make_counter_family(const char* name, const char* help)
{
    prometheus::MetricFamily metric_family;
    metric_family.name = name;
    metric_family.help = help;
    metric_family.type = prometheus::MetricType::Counter;
    return metric_family;
}

/// Appends a gauge that has one sample, in seconds or without a unit.
void append_gauge(std::vector<prometheus::MetricFamily>& families,
                  const char* name,
                  const char* help,
                  double value)
{
    prometheus::MetricFamily& family = families.emplace_back();
    family.name = name;
    family.help = help;
    family.type = prometheus::MetricType::Gauge;
    family.metric.emplace_back().gauge.value = value;
}

double to_seconds(support::duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Appends how current the configuration is, and what tells late turns of the
/// event loop from late transfers.
void append_currency(std::vector<prometheus::MetricFamily>& families,
                     const rollout::rollout& current,
                     support::duration longest_loop_delay,
                     support::time_point now)
{
    append_gauge(families, "galenarudder_configuration_version",
                 "Version of the configuration in force",
                 static_cast<double>(current.version()));
    append_gauge(families, "galenarudder_configuration_behind_seconds",
                 "Time since a newer version than the one in force is known",
                 to_seconds(current.lag().current(now)));
    append_gauge(families, "galenarudder_configuration_longest_behind_seconds",
                 "Longest time for which a newer version was known",
                 to_seconds(current.lag().longest(now)));
    const auto unconfirmed = current.confirmation_age(now);
    if (unconfirmed) {
        append_gauge(families, "galenarudder_configuration_unconfirmed_seconds",
                     "Time since the store is known to hold no newer "
                     "configuration, at observers",
                     to_seconds(*unconfirmed));
    }
    append_gauge(families, "galenarudder_loop_longest_delay_seconds",
                 "Longest delay of a timer of the event loop",
                 to_seconds(longest_loop_delay));
}

prometheus::ClientMetric make_counter_sample(std::uint64_t value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    return metric;
}

prometheus::MetricFamily
decision_family(const telemetry::decision_log& decisions)
{
    prometheus::MetricFamily metric_family = make_counter_family(
        "galenarudder_decisions_total", "Automated decisions by what became "
                                        "of them");
    for (std::size_t index = 0; index < config::automation_count; ++index) {
        const auto kind = static_cast<automation>(index);
        for (const decision_effect effect : effects) {
            prometheus::ClientMetric metric =
                make_counter_sample(decisions.count(kind, effect));
            metric.label = {{"automation", std::string(to_string(kind))},
                            {"effect", std::string(to_string(effect))}};
            metric_family.metric.push_back(std::move(metric));
        }
    }
    return metric_family;
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

json encode_member(const membership::member_record& record)
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

/// Returns the base document with its limits and modes replaced by the values
/// in force at \p site.
json effective_base(const config::document& full_document,
                    const std::string& site)
{
    json base = full_document.base;
    for (const auto& effective :
         config::effective_values(full_document, site)) {
        const json::json_pointer setting_pointer("/" + effective.path);
        const bool is_limit = effective.path.starts_with("limits/");
        const bool is_set = base.contains(setting_pointer);
        if (is_limit && is_set)
            base[setting_pointer]["value"] = effective.value;
        if (!is_limit)
            base[setting_pointer] = effective.value;
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

json trace_header(const node_snapshot& taken)
{
    json domains = json::object();
    json upstreams = json::array();
    for (const auto& record : taken.members) {
        domains[record.domain] = json::object();
        if (!record.service.empty())
            upstreams.push_back(encode_upstream(record));
    }
    json header = {{"format", "galenarudder-trace-1"},
                   {"seed", 1},
                   {"entries", 1},
                   {"domains", domains},
                   {"upstreams", upstreams}};
    if (taken.configuration)
        header["config"] = effective_base(
            config::to_document(taken.configuration->content), taken.site);
    return header;
}

} // namespace

std::string render_node_metrics(const node& daemon_node,
                                support::duration longest_loop_delay,
                                support::time_point now)
{
    std::vector<prometheus::MetricFamily> families;
    append_currency(families, daemon_node.rollout(), longest_loop_delay, now);
    const rollout_counters& values = daemon_node.rollout().counters();
    for (const counter_row& row : rollout_metric_rows) {
        families.push_back(make_counter_family(row.name, row.help));
        families.back().metric.push_back(
            make_counter_sample(values.*row.value));
    }
    families.push_back(decision_family(daemon_node.decisions()));
    return prometheus::TextSerializer().Serialize(families);
}

std::string render_decisions(const node& daemon_node, support::time_point now)
{
    const telemetry::decision_log& decisions = daemon_node.decisions();
    json counts = json::array();
    for (std::size_t index = 0; index < config::automation_count; ++index) {
        const auto kind = static_cast<automation>(index);
        for (const decision_effect effect : effects) {
            counts.push_back({{"automation", to_string(kind)},
                              {"effect", to_string(effect)},
                              {"count", decisions.count(kind, effect)}});
        }
    }
    json latest = json::array();
    for (const telemetry::decision& logged_decision : decisions.latest()) {
        latest.push_back(
            {{"age_ms", support::to_ms(now - logged_decision.time)},
             {"automation", to_string(logged_decision.kind)},
             {"effect", to_string(logged_decision.effect)},
             {"subject", logged_decision.subject},
             {"reason", logged_decision.reason}});
    }
    return json{{"counts", counts}, {"latest", latest}}.dump(2) + "\n";
}

std::string render_history(const node& daemon_node)
{
    json changes = json::array();
    const rollout::built_document_ptr& built = daemon_node.rollout().built();
    if (built) {
        const config::document head = config::head_document(built->content);
        changes.push_back(encode(config::latest_change(head)));
        for (const config::change_record& change : head.history)
            changes.push_back(encode(change));
    }
    return changes.dump(2) + "\n";
}

node_snapshot take_snapshot(const node& daemon_node,
                            const std::string& site,
                            support::time_point now)
{
    node_snapshot taken;
    taken.site = site;
    taken.members = daemon_node.member().records();
    taken.configuration = daemon_node.rollout().built();
    json loads = json::array();
    for (const routing::upstream_load& load : daemon_node.router().loads(now))
        loads.push_back(encode(load));
    taken.state = {{"taken_by", daemon_node.member().self().id},
                   {"site", site},
                   {"load", std::move(loads)},
                   {"watches_store", daemon_node.rollout().is_watcher()}};
    return taken;
}

std::string render(const node_snapshot& taken)
{
    json state = taken.state;
    json members = json::array();
    for (const auto& record : taken.members)
        members.push_back(encode_member(record));
    state["members"] = std::move(members);
    if (taken.configuration) {
        auto configuration = support::parse_json(taken.configuration->text);
        if (configuration)
            state["configuration"] = std::move(configuration).value();
    }
    const json line = {{"t_ms", 0}, {"snapshot", std::move(state)}};
    return trace_header(taken).dump() + "\n" + line.dump() + "\n";
}

} // namespace galenarudder::daemon
