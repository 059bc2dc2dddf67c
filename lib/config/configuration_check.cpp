// Rules that find entries without effect and contradictory limits.
#include "galenarudder/config/configuration_check.hpp"

#include "document_parts.hpp"
#include "galenarudder/config/check.hpp"
#include "galenarudder/config/schema.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>

namespace galenarudder::config {

using nlohmann::json;

namespace {

std::string quote(std::string_view kind, std::string_view name)
{
    return std::string(kind).append(" \"").append(name).append("\"");
}

std::string format_number(double number)
{
    constexpr double max_exact = 1e15;
    const bool is_whole =
        std::abs(number) < max_exact && number == std::floor(number);
    return is_whole ? std::to_string(static_cast<std::int64_t>(number))
                    : json(number).dump();
}

std::string format_ms(support::milliseconds duration)
{
    return std::to_string(duration.count()) + " ms";
}

std::string item(std::string_view parent, std::size_t index)
{
    return std::string(parent).append("/").append(std::to_string(index));
}

/// Returns the elements of the table \p name in the order of the document.
template <typename Row>
std::vector<Row>
read_table(const json& base, const char* name, Row (*read_row)(const json&))
{
    std::vector<Row> rows;
    const auto table = base.find(name);
    if (table == base.end())
        return rows;
    for (const json& row : *table)
        rows.push_back(read_row(row));
    return rows;
}

/// Returns whether a call can be in both lists of regions. An empty list stands
/// for all regions.
bool have_common_region(const std::vector<std::string>& left,
                        const std::vector<std::string>& right)
{
    if (left.empty() || right.empty())
        return true;
    return std::any_of(left.begin(), left.end(), [&](const auto& region) {
        return std::find(right.begin(), right.end(), region) != right.end();
    });
}

/// Returns whether \p earlier matches every call that \p later matches.
bool covers(const route_policy& earlier, const route_policy& later)
{
    const bool same_method =
        earlier.method.empty() || earlier.method == later.method;
    return same_method && later.prefix.starts_with(earlier.prefix);
}

/// Applies the rules to documents that conform to their schemas.
class rule_checker
{
public:
    explicit rule_checker(const check_input& input)
        : input_(input), base_(input.checked.base),
          services_(read_table(base_, "services", read_service)),
          host_routes_(read_table(base_, "hosts", read_host_route)),
          organisations_(read_table(base_, "organisations", read_organisation))
    {
    }

    std::vector<finding> run() &&;

private:
    using rule = void (rule_checker::*)();

    void report(severity level,
                const char* code,
                std::string pointer,
                std::string message,
                std::string remedy)
    {
        findings_.push_back({code, level, site_, std::move(pointer),
                             std::move(message), std::move(remedy), nullptr,
                             nullptr});
    }

    void find_shadowed_service_routes();
    void find_shadowed_host_routes();
    void find_unmatchable_routes();
    void find_unused_services();
    void find_unserved_organisations();
    void find_services_without_upstreams();
    void find_concurrency_contradictions();
    void check_concurrency_floor(double floor, const std::string& pointer);
    void find_excessive_organisation_limits();
    void find_idle_bursts();
    void find_goals_above_deadlines();
    void find_short_claims();
    void check_claim_retention(double retention_ms, const std::string& pointer);
    void find_repeated_settings();

    std::optional<double>
    capacity_for(const organisation_policy& organisation) const;
    configuration effective(std::string_view site) const;
    bool is_routed_to(std::string_view service) const;

    static const std::array<rule, 12> rules;

    const check_input& input_;
    const json& base_;
    std::vector<service_policy> services_;
    std::vector<host_route> host_routes_;
    std::vector<organisation_policy> organisations_;
    /// Site of the overlay being checked; empty for the base document.
    std::string site_;
    std::vector<finding> findings_;
};

constexpr std::array<rule_checker::rule, 12> rule_checker::rules = {
    &rule_checker::find_shadowed_service_routes,
    &rule_checker::find_shadowed_host_routes,
    &rule_checker::find_unmatchable_routes,
    &rule_checker::find_unused_services,
    &rule_checker::find_unserved_organisations,
    &rule_checker::find_services_without_upstreams,
    &rule_checker::find_concurrency_contradictions,
    &rule_checker::find_excessive_organisation_limits,
    &rule_checker::find_idle_bursts,
    &rule_checker::find_goals_above_deadlines,
    &rule_checker::find_short_claims,
    &rule_checker::find_repeated_settings,
};

std::vector<finding> rule_checker::run() &&
{
    for (const rule applied_rule : rules) {
        site_.clear();
        (this->*applied_rule)();
    }
    return std::move(findings_);
}

/// The first route of a service that matches is used.
void rule_checker::find_shadowed_service_routes()
{
    for (std::size_t service = 0; service < services_.size(); ++service) {
        const auto& routes = services_[service].routes;
        const std::string table = item("/services", service) + "/routes";
        for (auto later = routes.begin(); later != routes.end(); ++later) {
            const auto earlier =
                std::find_if(routes.begin(), later, [&](const auto& route) {
                    return covers(route, *later);
                });
            // The rules across documents report equal routes.
            if (earlier == later || (earlier->method == later->method &&
                                     earlier->prefix == later->prefix))
                continue;
            const auto index = static_cast<std::size_t>(later - routes.begin());
            const auto by = static_cast<std::size_t>(earlier - routes.begin());
            report(severity::warning, "route-shadowed", item(table, index),
                   "no call reaches the route, since " + item(table, by) +
                       " comes first and matches the same calls",
                   "move the route before " + item(table, by) +
                       " or remove one of them");
        }
    }
}

/// Hosts are compared without regard to case. Routes that are equal as written
/// are an error, which the rules across documents report.
void rule_checker::find_shadowed_host_routes()
{
    std::map<std::pair<std::string, std::string>, std::size_t> first_routes;
    for (std::size_t index = 0; index < host_routes_.size(); ++index) {
        const host_route& route = host_routes_[index];
        const auto [first, is_new] =
            first_routes.emplace(std::pair(route.host, route.prefix), index);
        const json& hosts = base_.at("hosts");
        if (is_new || hosts[first->second]["host"] == hosts[index]["host"])
            continue;
        report(severity::warning, "route-shadowed", item("/hosts", index),
               "the route has the host, without regard to case, and the prefix "
               "of " +
                   item("/hosts", first->second),
               "remove one of the two");
    }
}

void rule_checker::find_unmatchable_routes()
{
    for (std::size_t index = 0; index < host_routes_.size(); ++index) {
        const host_route& route = host_routes_[index];
        const std::string pointer = item("/hosts", index);
        if (route.host.find(':') != std::string::npos) {
            report(severity::warning, "host-with-port", pointer + "/host",
                   "the port of a call's host is not compared, so " +
                       quote("host", route.host) + " matches no call",
                   "remove the port");
        }
        if (route.prefix.find_first_of("?#") != std::string::npos) {
            report(severity::warning, "prefix-with-query", pointer + "/prefix",
                   "prefixes are compared with the path alone, so " +
                       quote("prefix", route.prefix) + " matches no call",
                   "end the prefix before the query or fragment");
        }
        for (const weighted_service& target : route.services) {
            if (target.weight > 0)
                continue;
            report(severity::note, "weight-zero", pointer + "/services",
                   quote("service", target.service) +
                       " has weight 0 and gets no calls of the route",
                   "raise the weight or remove the service from the route");
        }
    }
}

bool rule_checker::is_routed_to(std::string_view service) const
{
    return std::any_of(
        host_routes_.begin(), host_routes_.end(), [&](const host_route& route) {
            return std::any_of(route.services.begin(), route.services.end(),
                               [&](const weighted_service& target) {
                                   return target.service == service;
                               });
        });
}

void rule_checker::find_unused_services()
{
    for (std::size_t index = 0; index < services_.size(); ++index) {
        const service_policy& service = services_[index];
        if (!service.routes.empty() || is_routed_to(service.name))
            continue;
        report(severity::note, "service-not-routed", item("/services", index),
               "no route names " + quote("service", service.name),
               "add a route, or remove the service if nothing calls it by "
               "name");
    }
}

void rule_checker::find_unserved_organisations()
{
    for (std::size_t index = 0; index < organisations_.size(); ++index) {
        const organisation_policy& organisation = organisations_[index];
        const std::string pointer = item("/organisations", index);
        if (organisation.key_digests.empty()) {
            report(severity::note, "organisation-without-keys", pointer,
                   quote("organisation", organisation.name) +
                       " has no key, so no call is its own",
                   "add a key, or remove the organisation if it is gone");
        }
        const bool served = std::any_of(
            host_routes_.begin(), host_routes_.end(),
            [&](const host_route& route) {
                return have_common_region(route.regions, organisation.regions);
            });
        if (served || host_routes_.empty())
            continue;
        report(severity::warning, "organisation-without-route",
               pointer + "/regions",
               "no route has a region in common with " +
                   quote("organisation", organisation.name) +
                   ", so its calls are refused",
               "add a region to the organisation or to a route");
    }
}

void rule_checker::find_services_without_upstreams()
{
    if (input_.fleet == nullptr) {
        report(severity::note, "fleet-not-known", "",
               "upstreams of the services, and organisations' limits against "
               "what these can take, were not checked",
               "give --daemon to check against a running fleet");
        return;
    }
    for (std::size_t index = 0; index < services_.size(); ++index) {
        const service_policy& service = services_[index];
        const auto running = input_.fleet->find(service.name);
        const bool has_upstreams =
            running != input_.fleet->end() && running->second.upstreams > 0;
        const bool is_named =
            !service.routes.empty() || is_routed_to(service.name);
        if (has_upstreams || !is_named)
            continue;
        report(severity::warning, "service-without-upstreams",
               item("/services", index),
               "routes name " + quote("service", service.name) +
                   ", which has no upstream in the running fleet",
               "start upstreams of the service or correct its name");
    }
}

configuration rule_checker::effective(std::string_view site) const
{
    // The document conforms to its schema, so that it has a configuration.
    return effective_configuration(input_.checked, site).value();
}

/// The concurrency limit of an upstream cannot be above its connections.
void rule_checker::check_concurrency_floor(double floor,
                                           const std::string& pointer)
{
    for (const service_policy& service : services_) {
        if (service.connections == 0 || floor <= service.connections)
            continue;
        report(severity::warning, "floor-above-ceiling", pointer,
               "the smallest concurrency limit " + format_number(floor) +
                   " is above the " + std::to_string(service.connections) +
                   " connections of an upstream of " +
                   quote("service", service.name),
               "lower concurrency_min or raise the service's connections");
    }
}

void rule_checker::find_concurrency_contradictions()
{
    const std::string pointer = "/limits/concurrency_min";
    const configuration base = effective("");
    check_concurrency_floor(
        base.value(limit::concurrency_min),
        base_.contains(json::json_pointer(pointer)) ? pointer : "");
    // All ranks may use the slots that the least urgent one holds.
    unsigned held_slots = 0;
    for (std::size_t rank = 0; rank + 1 < base.ranks.size(); ++rank)
        held_slots += base.ranks[rank].held_slots;
    for (std::size_t index = 0; index < services_.size(); ++index) {
        const service_policy& service = services_[index];
        if (service.connections == 0 || held_slots < service.connections)
            continue;
        report(severity::warning, "held-slots-above-connections",
               item("/services", index) + "/connections",
               "more urgent ranks hold " + std::to_string(held_slots) +
                   " slots, but an upstream of " +
                   quote("service", service.name) + " has " +
                   std::to_string(service.connections) +
                   " connections, so that the least urgent rank gets one slot",
               "lower held_slots of some ranks");
    }
    for (const overlay_document& overlay : input_.checked.overlays) {
        if (!overlay.body.contains(json::json_pointer(pointer)))
            continue;
        site_ = overlay.site;
        check_concurrency_floor(
            effective(overlay.site).value(limit::concurrency_min), pointer);
    }
}

/// Returns the calls per second that the services of the organisation's routes
/// can process, or nothing if that of some service is not known.
std::optional<double>
rule_checker::capacity_for(const organisation_policy& organisation) const
{
    std::set<std::string_view> names;
    for (const host_route& route : host_routes_) {
        if (!have_common_region(route.regions, organisation.regions))
            continue;
        for (const weighted_service& target : route.services) {
            if (target.weight > 0)
                names.insert(target.service);
        }
    }
    double calls_per_s = 0;
    for (const std::string_view name : names) {
        const auto running = input_.fleet->find(name);
        // A service without upstreams takes no calls; another rule reports it.
        if (running == input_.fleet->end() || running->second.upstreams == 0)
            continue;
        if (running->second.calls_per_s <= 0)
            return std::nullopt;
        calls_per_s += running->second.calls_per_s;
    }
    return names.empty() ? std::nullopt : std::optional(calls_per_s);
}

void rule_checker::find_excessive_organisation_limits()
{
    if (input_.fleet == nullptr)
        return;
    for (std::size_t index = 0; index < organisations_.size(); ++index) {
        const organisation_policy& organisation = organisations_[index];
        const std::optional<double> capacity = capacity_for(organisation);
        if (!capacity || organisation.calls_per_s <= *capacity)
            continue;
        report(severity::warning, "organisation-limit-above-capacity",
               item("/organisations", index) + "/calls_per_s",
               "the limit of " + quote("organisation", organisation.name) +
                   ", " + format_number(organisation.calls_per_s) +
                   " calls/s, is above the " + format_number(*capacity) +
                   " calls/s that the services of its routes can take",
               "lower the limit or add upstreams");
    }
}

void rule_checker::find_idle_bursts()
{
    for (std::size_t index = 0; index < organisations_.size(); ++index) {
        const organisation_policy& organisation = organisations_[index];
        if (organisation.calls_per_s > 0 || organisation.burst <= 0)
            continue;
        report(severity::warning, "burst-without-rate",
               item("/organisations", index) + "/burst",
               "the burst of " + quote("organisation", organisation.name) +
                   " has no effect, since a rate of 0 is no limit",
               "set a rate or remove the burst");
    }
}

void rule_checker::find_goals_above_deadlines()
{
    for (std::size_t index = 0; index < host_routes_.size(); ++index) {
        const host_route& route = host_routes_[index];
        if (route.goal <= route.deadline)
            continue;
        report(severity::warning, "goal-above-deadline",
               item("/hosts", index) + "/goal_ms",
               "the expected latency " + format_ms(route.goal) +
                   " is above the " + format_ms(route.deadline) +
                   " that callers wait",
               "lower the goal or raise the deadline");
    }
}

/// A claim that ends while its call runs lets a repetition of the call run.
void rule_checker::check_claim_retention(double retention_ms,
                                         const std::string& pointer)
{
    const auto is_longer = [&](const auto& route) {
        return !route.repeatable &&
               static_cast<double>(route.deadline.count()) > retention_ms;
    };
    bool found =
        std::any_of(host_routes_.begin(), host_routes_.end(), is_longer);
    for (const service_policy& service : services_) {
        found = found || std::any_of(service.routes.begin(),
                                     service.routes.end(), is_longer);
    }
    if (!found)
        return;
    report(severity::warning, "claim-shorter-than-deadline", pointer,
           "claims of idempotency keys end after " +
               format_number(retention_ms) +
               " ms, before the deadline of a route whose calls must not "
               "repeat",
           "raise claim_retention_ms above the deadlines of these routes");
}

void rule_checker::find_short_claims()
{
    const std::string pointer = "/limits/claim_retention_ms";
    check_claim_retention(effective("").value(limit::claim_retention_ms),
                          base_.contains(json::json_pointer(pointer)) ? pointer
                                                                      : "");
    for (const overlay_document& overlay : input_.checked.overlays) {
        if (!overlay.body.contains(json::json_pointer(pointer)))
            continue;
        site_ = overlay.site;
        check_claim_retention(
            effective(overlay.site).value(limit::claim_retention_ms), pointer);
    }
}

/// An overlay's value that is the base document's does not follow a change of
/// the base document.
void rule_checker::find_repeated_settings()
{
    const configuration base = effective("");
    const auto check_group = [&](const overlay_document& overlay,
                                 const char* group, const auto& value_in_base) {
        const json settings = overlay.body.value(group, json::object());
        for (const auto& [name, value] : settings.items()) {
            if (value_in_base(name) != value)
                continue;
            report(severity::note, "overlay-repeats-base",
                   std::string("/").append(group).append("/").append(name),
                   quote("setting", name) + " has the base document's value",
                   "remove it unless it has to stay when the base changes");
        }
    };
    for (const overlay_document& overlay : input_.checked.overlays) {
        site_ = overlay.site;
        check_group(overlay, "limits", [&](const std::string& name) {
            const auto id = parse_limit(name);
            return id ? json(base.value(*id)) : json();
        });
        check_group(overlay, "automation", [&](const std::string& name) {
            const auto kind = parse_automation(name);
            return kind ? json(to_string(base.mode(*kind))) : json();
        });
    }
}

void append_schema_errors(const json& body,
                          const std::string& site,
                          const char* schema,
                          std::vector<finding>& findings)
{
    for (schema_violation& violation : find_schema_violations(body, schema)) {
        findings.push_back({"schema", severity::error, site,
                            std::move(violation.pointer),
                            std::move(violation.message),
                            "correct the value; docs/operators/"
                            "configuration.md lists all fields",
                            nullptr, nullptr});
    }
}

void append(std::vector<finding>& findings, std::vector<finding> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(findings));
}

} // namespace

std::vector<finding> find_schema_errors(const document& checked)
{
    std::vector<finding> findings;
    if (!checked.base.is_null())
        append_schema_errors(checked.base, "", base_schema, findings);
    for (const overlay_document& overlay : checked.overlays) {
        append_schema_errors(overlay.body, overlay.site, overlay_schema,
                             findings);
    }
    return findings;
}

std::string_view to_string(severity level)
{
    constexpr std::array<std::string_view, 3> names = {"note", "warning",
                                                       "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::vector<finding> check_configuration(const check_input& input)
{
    std::vector<finding> findings = find_schema_errors(input.checked);
    if (!findings.empty()) {
        findings.push_back({"rules-not-checked", severity::note, "", "",
                            "rules across documents and differences were not "
                            "checked",
                            "correct the other errors and check again", nullptr,
                            nullptr});
        return findings;
    }
    for (validation_error& violation :
         check_cross_document_rules(input.checked)) {
        findings.push_back({std::string(violation.code), severity::error,
                            std::move(violation.site),
                            std::move(violation.pointer),
                            std::move(violation.message),
                            std::move(violation.remedy), nullptr, nullptr});
    }
    append(findings, rule_checker(input).run());
    if (input.in_force != nullptr) {
        append(findings, find_changes(*input.in_force, input.checked,
                                      input.compare_overlays));
    }
    std::stable_sort(findings.begin(), findings.end(),
                     [](const finding& left, const finding& right) {
                         return left.level > right.level;
                     });
    return findings;
}

} // namespace galenarudder::config
