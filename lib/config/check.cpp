// Rules that span the base document and its overlays: unique and existing
// names, sums of shares, bounds, and which values an overlay may change.
#include "galenarudder/config/check.hpp"

#include "document_parts.hpp"
#include "galenarudder/config/schema.hpp"
#include "galenarudder/support/pause_point.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace galenarudder::config {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 5> strategies = {
    "expected_completion", "random", "round_robin", "least_outstanding",
    "power_of_two"};

constexpr double share_tolerance = 1e-9;

std::string format_number(double number)
{
    return json(number).dump();
}

/// Returns the table \p name, or an empty one if \p parent has none.
const json& table_of(const json& parent, const char* name)
{
    static const json empty = json::array();
    const auto found = parent.find(name);
    return found == parent.end() ? empty : *found;
}

/// Returns KIND "NAME".
std::string quote_name(std::string_view kind, std::string_view name)
{
    std::string text(kind);
    text.append(" \"").append(name).append("\"");
    return text;
}

std::string looser_mode_message(std::string_view mode, std::string_view loosest)
{
    std::string text("the mode ");
    text.append(mode).append(" is looser than the bound ").append(loosest);
    return text;
}

std::string format_range(double low, double high)
{
    return "[" + format_number(low) + ", " + format_number(high) + "]";
}

/// Returns how strict a mode is; the smaller the number, the more the system
/// may do on its own.
int strictness(std::string_view mode)
{
    return static_cast<int>(
        parse_automation_mode(mode).value_or(automation_mode::observe));
}

/// Collects the violations in a base document and its overlays.
class cross_document_checker
{
public:
    explicit cross_document_checker(const document& full_document)
        : full_document_(full_document)
    {
    }

    std::vector<validation_error> run() &&
    {
        check_ranks();
        check_services();
        check_hosts();
        check_organisations();
        check_base_limits();
        check_base_modes();
        check_overlays();
        return std::move(violations_);
    }

private:
    void report(std::string_view code,
                std::string pointer,
                std::string message,
                std::string remedy)
    {
        violations_.push_back({code, overlay_site_, std::move(pointer),
                               std::move(message), std::move(remedy)});
    }

    void check_ranks();
    void check_services();
    void check_routes(const json& service, const std::string& pointer);
    void check_hosts();
    void check_organisations();
    void check_base_limits();
    void check_base_limit(const std::string& name, const json& setting);
    void check_base_modes();
    void check_overlays();
    void check_overlay(const overlay_document& overlay);
    void check_overridden_limit(const std::string& name, double value);
    void check_overridden_mode(const std::string& name,
                               const std::string& mode);
    void report_unknown_limit(const std::string& name);

    const document& full_document_;
    /// Site of the overlay being checked; empty for the base document.
    std::string overlay_site_;
    std::set<std::string> ranks_;
    std::vector<validation_error> violations_;
};

void cross_document_checker::check_ranks()
{
    if (!full_document_.base.contains("ranks")) {
        for (const rank_policy& rank : default_configuration().ranks)
            ranks_.insert(rank.name);
        return;
    }
    double share_sum = 0;
    std::size_t index = 0;
    for (const json& rank : full_document_.base.at("ranks")) {
        const std::string pointer = "/ranks/" + std::to_string(index++);
        const std::string name = rank.at("name");
        if (!ranks_.insert(name).second) {
            report("duplicate-name", pointer + "/name",
                   quote_name("rank", name) + " is defined twice",
                   "remove or rename one of them");
        }
        share_sum += rank.value("minimum_share", 0.0);
    }
    if (share_sum <= 1 + share_tolerance)
        return;
    report("shares-above-one", "/ranks",
           "the minimum shares add up to " + format_number(share_sum) +
               ", above the bound 1",
           "lower minimum_share of some ranks");
}

void cross_document_checker::check_services()
{
    std::set<std::string> seen_names;
    std::size_t index = 0;
    for (const json& service : full_document_.base.at("services")) {
        support::pause_point();
        const std::string pointer = "/services/" + std::to_string(index++);
        const std::string name = service.at("name");
        if (!seen_names.insert(name).second) {
            report("duplicate-name", pointer + "/name",
                   quote_name("service", name) + " is defined twice",
                   "merge the two or rename one");
        }
        const std::string strategy = service.value("strategy", "");
        const bool exists =
            strategy.empty() || std::find(strategies.begin(), strategies.end(),
                                          strategy) != strategies.end();
        if (!exists) {
            report("unknown-strategy", pointer + "/strategy",
                   quote_name("strategy", strategy) + " does not exist",
                   "use expected_completion, random, round_robin, "
                   "least_outstanding or power_of_two, or leave it out");
        }
        check_routes(service, pointer);
    }
}

void cross_document_checker::check_routes(const json& service,
                                          const std::string& pointer)
{
    std::set<std::string> seen_routes;
    std::size_t index = 0;
    if (!service.contains("routes") && !full_document_.base.contains("hosts")) {
        report("service-without-routes", pointer,
               "the service has no routes and the base document has no hosts",
               "add routes to the service, or hosts that route to it");
    }
    for (const json& route : table_of(service, "routes")) {
        std::string route_pointer = pointer + "/routes/";
        route_pointer += std::to_string(index++);
        const std::string rank = route.at("rank");
        if (!ranks_.contains(rank)) {
            report("unknown-rank", route_pointer + "/rank",
                   quote_name("rank", rank) + " is not in /ranks",
                   "add the rank to /ranks or use a rank listed there");
        }
        const std::string route_key =
            route.value("method", "") + " " + route.value("prefix", "/");
        if (seen_routes.insert(route_key).second)
            continue;
        report("duplicate-route", route_pointer + "/prefix",
               quote_name("route", route_key) + " is defined twice",
               "remove one; the first route that matches is used");
    }
}

void cross_document_checker::check_hosts()
{
    std::set<std::string> services;
    for (const json& service : full_document_.base.at("services"))
        services.insert(service.at("name").get<std::string>());
    std::set<std::pair<std::string, std::string>> seen_routes;
    std::size_t index = 0;
    for (const json& route : table_of(full_document_.base, "hosts")) {
        support::pause_point();
        const std::string route_pointer = "/hosts/" + std::to_string(index++);
        const std::string rank = route.at("rank");
        if (!ranks_.contains(rank)) {
            report("unknown-rank", route_pointer + "/rank",
                   quote_name("rank", rank) + " is not in /ranks",
                   "add the rank to /ranks or use a rank listed there");
        }
        double weight_sum = 0;
        for (const json& service_json : route.at("services")) {
            const std::string service = service_json.at("service");
            weight_sum += service_json.value("weight", 1.0);
            if (services.contains(service))
                continue;
            report("unknown-service", route_pointer + "/services",
                   quote_name("service", service) + " is not in /services",
                   "add the service to /services or correct the name");
        }
        if (weight_sum <= 0) {
            report("weights-zero", route_pointer + "/services",
                   "the weights add up to 0",
                   "give at least one service a weight above 0");
        }
        if (!seen_routes.emplace(route.at("host"), route.at("prefix")).second) {
            report("duplicate-route", route_pointer + "/prefix",
                   "this host and prefix are defined twice",
                   "remove one of the two");
        }
    }
}

/// Keys are not named: whoever reads the error need not know even their
/// digests.
void cross_document_checker::check_organisations()
{
    std::set<std::string_view> seen_names;
    std::map<std::string_view, std::string_view> owners;
    std::size_t index = 0;
    for (const json& organisation :
         table_of(full_document_.base, "organisations")) {
        support::pause_point();
        const std::string pointer = "/organisations/" + std::to_string(index++);
        const auto& name =
            organisation.at("name").get_ref<const std::string&>();
        if (!seen_names.insert(name).second) {
            report("duplicate-name", pointer + "/name",
                   quote_name("organisation", name) + " is defined twice",
                   "merge the two or rename one");
        }
        const std::string rank = organisation.value("rank", "");
        if (!rank.empty() && !ranks_.contains(rank)) {
            report("unknown-rank", pointer + "/rank",
                   quote_name("rank", rank) + " is not in /ranks",
                   "add the rank to /ranks, use a rank listed there or leave "
                   "it out");
        }
        std::size_t key_index = 0;
        for (const json& key : table_of(organisation, "keys")) {
            const std::string key_pointer =
                pointer + "/keys/" + std::to_string(key_index++);
            const auto [owner, is_new] =
                owners.emplace(key.get_ref<const std::string&>(), name);
            if (is_new)
                continue;
            report("shared-key", key_pointer,
                   quote_name("organisation", owner->second) +
                       " has the same key",
                   "remove the key from all organisations but one");
        }
    }
}

void cross_document_checker::report_unknown_limit(const std::string& name)
{
    report(
        "unknown-limit", "/limits/" + name,
        quote_name("limit", name) + " does not exist",
        "correct the name; docs/operators/configuration.md lists all limits");
}

void cross_document_checker::check_base_limits()
{
    const json limits = full_document_.base.value("limits", json::object());
    for (const auto& [name, setting] : limits.items())
        check_base_limit(name, setting);
}

void cross_document_checker::check_base_limit(const std::string& name,
                                              const json& setting)
{
    const std::optional<limit> id = parse_limit(name);
    if (!id)
        return report_unknown_limit(name);
    const limit_definition& definition = definition_of(*id);
    const double min = setting.at("min");
    const double max = setting.at("max");
    const double value = setting.at("value");
    const std::string pointer = "/limits/" + name;
    if (min < definition.floor || max > definition.ceiling || min > max) {
        report("limit-bounds", pointer,
               "the bounds " + format_range(min, max) + " are not within " +
                   format_range(definition.floor, definition.ceiling),
               "set min and max within this range, with min not above max");
        return;
    }
    if (value < min || value > max) {
        report("limit-value", pointer + "/value",
               "the value " + format_number(value) + " is outside " +
                   format_range(min, max),
               "change the value or widen min and max");
    }
    const bool is_integer = value == std::floor(value);
    if (definition.unit == "count" && !is_integer) {
        report("limit-value", pointer + "/value",
               "the value " + format_number(value) + " is not a whole number",
               "use a whole number");
    }
}

void cross_document_checker::check_base_modes()
{
    const json modes = full_document_.base.value("automation", json::object());
    for (const auto& [name, setting] : modes.items()) {
        if (!setting.is_object())
            continue;
        const std::string mode = setting.at("mode");
        const std::string loosest = setting.at("loosest");
        if (strictness(mode) >= strictness(loosest))
            continue;
        std::string pointer = "/automation/";
        pointer.append(name).append("/mode");
        report("mode-too-loose", std::move(pointer),
               looser_mode_message(mode, loosest),
               "use a stricter mode or a looser mode in \"loosest\"");
    }
}

void cross_document_checker::check_overlays()
{
    std::set<std::string> seen_sites;
    for (const overlay_document& overlay : full_document_.overlays) {
        overlay_site_ = overlay.site;
        if (!seen_sites.insert(overlay.site).second) {
            report("duplicate-overlay", "/site",
                   "site \"" + overlay.site + "\" has two overlays",
                   "merge the two");
        }
        check_overlay(overlay);
    }
}

void cross_document_checker::check_overlay(const overlay_document& overlay)
{
    const std::string declared_site = overlay.body.at("site");
    if (declared_site != overlay.site) {
        report("site-mismatch", "/site",
               "site \"" + declared_site +
                   "\" does not match the overlay's name \"" + overlay.site +
                   "\"",
               "name the file " + declared_site + ".json or correct the site");
    }
    const json limits = overlay.body.value("limits", json::object());
    for (const auto& [name, value] : limits.items())
        check_overridden_limit(name, value);
    const json modes = overlay.body.value("automation", json::object());
    for (const auto& [name, mode] : modes.items())
        check_overridden_mode(name, mode);
}

void cross_document_checker::check_overridden_limit(const std::string& name,
                                                    double value)
{
    const std::optional<limit> id = parse_limit(name);
    if (!id)
        return report_unknown_limit(name);
    const json limits = full_document_.base.value("limits", json::object());
    const std::string pointer = "/limits/" + name;
    if (!limits.contains(name)) {
        report("limit-not-in-base", pointer,
               "the base document does not set this limit",
               "set it in the base document with value, min, max and mover "
               "\"site\"");
        return;
    }
    const json& setting = limits.at(name);
    if (setting.at("mover") != "site") {
        report("not-movable", pointer,
               "only the base document may change this limit",
               "remove it from the overlay or set its mover to \"site\" in the "
               "base");
        return;
    }
    const double min = setting.at("min");
    const double max = setting.at("max");
    if (value < min || value > max) {
        report("limit-value", pointer,
               "the value " + format_number(value) + " is outside " +
                   format_range(min, max) + ", which the base document sets",
               "change the value or widen its bounds in the base document");
    }
    const bool is_integer = value == std::floor(value);
    if (definition_of(*id).unit == "count" && !is_integer) {
        report("limit-value", pointer,
               "the value " + format_number(value) + " is not a whole number",
               "use a whole number");
    }
}

void cross_document_checker::check_overridden_mode(const std::string& name,
                                                   const std::string& mode)
{
    const json modes = full_document_.base.value("automation", json::object());
    const json setting = modes.value(name, json("automatic"));
    const bool has_details = setting.is_object();
    const std::string pointer = "/automation/" + name;
    if (has_details && setting.at("mover") != "site") {
        report("not-movable", pointer,
               "only the base document may change this mode",
               "remove it from the overlay or set its mover to \"site\" in the "
               "base");
        return;
    }
    const std::string loosest =
        (has_details ? setting.at("loosest") : setting).get<std::string>();
    if (strictness(mode) >= strictness(loosest))
        return;
    report("mode-too-loose", pointer,
           "the mode " + mode + " is looser than the bound " + loosest +
               ", which the base document sets",
           "use " + loosest +
               " or a stricter mode (automatic, bounded, observe)");
}

} // namespace

support::result<json> parse_base(std::string_view text, std::string_view file)
{
    return parse_and_check(text, file, base_schema);
}

support::result<json> parse_overlay(std::string_view text,
                                    std::string_view file)
{
    return parse_and_check(text, file, overlay_schema);
}

std::vector<validation_error>
check_cross_document_rules(const document& full_document)
{
    return cross_document_checker(full_document).run();
}

std::span<const std::string_view> strategy_names()
{
    return strategies;
}

} // namespace galenarudder::config
