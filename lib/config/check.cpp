// Rules over the whole set: names, shares, bounds, and what a site may move.
#include "galenarudder/config/check.hpp"

#include "document_schemas.hpp"
#include "galenarudder/config/schema.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace galenarudder::config {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 5> known_strategies = {
    "expected_completion", "random", "round_robin", "least_outstanding",
    "power_of_two"};

constexpr double share_tolerance = 1e-9;

std::string number_text(double number)
{
    return json(number).dump();
}

/// KIND "NAME"
std::string quoted(std::string_view kind, std::string_view name)
{
    std::string text(kind);
    text.append(" \"").append(name).append("\"");
    return text;
}

std::string looser_text(std::string_view mode, std::string_view loosest)
{
    std::string text("the mode ");
    text.append(mode).append(" is looser than the bound ").append(loosest);
    return text;
}

std::string range_text(double low, double high)
{
    return "[" + number_text(low) + ", " + number_text(high) + "]";
}

/// How far a mode lets the system act; smaller is looser.
int tightness(std::string_view mode)
{
    return static_cast<int>(
        automation_mode_from(mode).value_or(automation_mode::observe));
}

class set_checker
{
public:
    explicit set_checker(const document& whole) : whole_(whole) {}

    std::vector<finding> run() &&
    {
        check_ranks();
        check_services();
        check_hosts();
        check_base_limits();
        check_base_modes();
        check_overlays();
        return std::move(findings_);
    }

private:
    void add(std::string pointer, std::string message, std::string remedy)
    {
        findings_.push_back(
            {site_, std::move(pointer), std::move(message), std::move(remedy)});
    }

    void check_ranks();
    void check_services();
    void check_routes(const json& service, const std::string& pointer);
    void check_hosts();
    void check_base_limits();
    void check_base_limit(const std::string& name, const json& stated);
    void check_base_modes();
    void check_overlays();
    void check_overlay(const overlay_document& overlay);
    void check_moved_limit(const std::string& name, double value);
    void check_moved_mode(const std::string& name, const std::string& mode);
    void unknown_limit(const std::string& name);

    const document& whole_;
    /// The overlay under check; empty for the base document.
    std::string site_;
    std::set<std::string> ranks_;
    std::vector<finding> findings_;
};

void set_checker::check_ranks()
{
    if (!whole_.base.contains("ranks")) {
        for (const rank_policy& rank : default_configuration().ranks)
            ranks_.insert(rank.name);
        return;
    }
    double shares = 0;
    std::size_t index = 0;
    for (const json& rank : whole_.base.at("ranks")) {
        const std::string pointer = "/ranks/" + std::to_string(index++);
        const std::string name = rank.at("name");
        if (!ranks_.insert(name).second) {
            add(pointer + "/name", quoted("rank", name) + " is stated twice",
                "remove or rename one of them");
        }
        shares += rank.value("minimum_share", 0.0);
    }
    if (shares <= 1 + share_tolerance)
        return;
    add("/ranks",
        "the minimum shares add up to " + number_text(shares) +
            ", above the bound 1",
        "lower minimum_share of some ranks");
}

void set_checker::check_services()
{
    std::set<std::string> names;
    std::size_t index = 0;
    for (const json& service : whole_.base.at("services")) {
        const std::string pointer = "/services/" + std::to_string(index++);
        const std::string name = service.at("name");
        if (!names.insert(name).second) {
            add(pointer + "/name", quoted("service", name) + " is stated twice",
                "merge the two or rename one");
        }
        const std::string strategy = service.value("strategy", "");
        const bool known =
            strategy.empty() ||
            std::find(known_strategies.begin(), known_strategies.end(),
                      strategy) != known_strategies.end();
        if (!known) {
            add(pointer + "/strategy",
                quoted("strategy", strategy) + " does not exist",
                "use expected_completion, random, round_robin, "
                "least_outstanding or power_of_two, or leave it out");
        }
        check_routes(service, pointer);
    }
}

void set_checker::check_routes(const json& service, const std::string& pointer)
{
    std::set<std::string> seen;
    std::size_t index = 0;
    if (!service.contains("routes") && !whole_.base.contains("hosts")) {
        add(pointer, "the service has no routes and there are no hosts",
            "state routes of the service or hosts that lead to it");
    }
    for (const json& route : service.value("routes", json::array())) {
        std::string here = pointer + "/routes/";
        here += std::to_string(index++);
        const std::string rank = route.at("rank");
        if (!ranks_.contains(rank)) {
            add(here + "/rank", quoted("rank", rank) + " is not in /ranks",
                "state the rank in /ranks or use one that is there");
        }
        const std::string matched =
            route.value("method", "") + " " + route.value("prefix", "/");
        if (seen.insert(matched).second)
            continue;
        add(here + "/prefix", quoted("route", matched) + " is stated twice",
            "remove one; the first route that matches is used");
    }
}

void set_checker::check_hosts()
{
    std::set<std::string> services;
    for (const json& service : whole_.base.at("services"))
        services.insert(service.at("name").get<std::string>());
    std::set<std::pair<std::string, std::string>> seen;
    std::size_t index = 0;
    for (const json& route : whole_.base.value("hosts", json::array())) {
        const std::string here = "/hosts/" + std::to_string(index++);
        const std::string rank = route.at("rank");
        if (!ranks_.contains(rank)) {
            add(here + "/rank", quoted("rank", rank) + " is not in /ranks",
                "state the rank in /ranks or use one that is there");
        }
        double weights = 0;
        for (const json& part : route.at("services")) {
            const std::string service = part.at("service");
            weights += part.value("weight", 1.0);
            if (services.contains(service))
                continue;
            add(here + "/services",
                quoted("service", service) + " is not in /services",
                "state the service in /services or correct the name");
        }
        if (weights <= 0) {
            add(here + "/services", "the weights add up to 0",
                "give at least one service a weight above 0");
        }
        if (!seen.emplace(route.at("host"), route.at("prefix")).second) {
            add(here + "/prefix", "this host and prefix are stated twice",
                "remove one of the two");
        }
    }
}

void set_checker::unknown_limit(const std::string& name)
{
    add("/limits/" + name, quoted("limit", name) + " does not exist",
        "correct the name; docs/operators/configuration.md lists all limits");
}

void set_checker::check_base_limits()
{
    const json limits = whole_.base.value("limits", json::object());
    for (const auto& [name, stated] : limits.items())
        check_base_limit(name, stated);
}

void set_checker::check_base_limit(const std::string& name, const json& stated)
{
    const std::optional<limit> which = limit_from(name);
    if (!which)
        return unknown_limit(name);
    const limit_facts& known = facts(*which);
    const double min = stated.at("min");
    const double max = stated.at("max");
    const double value = stated.at("value");
    const std::string pointer = "/limits/" + name;
    if (min < known.floor || max > known.ceiling || min > max) {
        add(pointer,
            "the bounds " + range_text(min, max) + " are not inside of " +
                range_text(known.floor, known.ceiling),
            "state min and max inside of these, min not above max");
        return;
    }
    if (value < min || value > max) {
        add(pointer + "/value",
            "the value " + number_text(value) + " is outside of " +
                range_text(min, max),
            "move the value inside or widen min and max");
    }
    const bool whole_number = value == std::floor(value);
    if (known.unit == "count" && !whole_number) {
        add(pointer + "/value",
            "the value " + number_text(value) + " is not a whole number",
            "state a whole number");
    }
}

void set_checker::check_base_modes()
{
    const json modes = whole_.base.value("automation", json::object());
    for (const auto& [name, stated] : modes.items()) {
        if (!stated.is_object())
            continue;
        const std::string mode = stated.at("mode");
        const std::string loosest = stated.at("loosest");
        if (tightness(mode) >= tightness(loosest))
            continue;
        std::string pointer = "/automation/";
        pointer.append(name).append("/mode");
        add(std::move(pointer), looser_text(mode, loosest),
            "tighten the mode or loosen the bound beside it");
    }
}

void set_checker::check_overlays()
{
    std::set<std::string> sites;
    for (const overlay_document& overlay : whole_.overlays) {
        site_ = overlay.site;
        if (!sites.insert(overlay.site).second) {
            add("/site", "site \"" + overlay.site + "\" has two overlays",
                "merge the two");
        }
        check_overlay(overlay);
    }
}

void set_checker::check_overlay(const overlay_document& overlay)
{
    const std::string stated = overlay.body.at("site");
    if (stated != overlay.site) {
        add("/site",
            "site \"" + stated + "\" does not match the overlay's name \"" +
                overlay.site + "\"",
            "name the file " + stated + ".json or correct the site");
    }
    const json limits = overlay.body.value("limits", json::object());
    for (const auto& [name, value] : limits.items())
        check_moved_limit(name, value);
    const json modes = overlay.body.value("automation", json::object());
    for (const auto& [name, mode] : modes.items())
        check_moved_mode(name, mode);
}

void set_checker::check_moved_limit(const std::string& name, double value)
{
    const std::optional<limit> which = limit_from(name);
    if (!which)
        return unknown_limit(name);
    const json limits = whole_.base.value("limits", json::object());
    const std::string pointer = "/limits/" + name;
    if (!limits.contains(name)) {
        add(pointer, "the base document does not state this limit",
            "state it in the base with value, min, max and mover \"site\"");
        return;
    }
    const json& stated = limits.at(name);
    if (stated.at("mover") != "site") {
        add(pointer, "only the base document may move this limit",
            "remove it from the overlay or set its mover to \"site\" in the "
            "base");
        return;
    }
    const double min = stated.at("min");
    const double max = stated.at("max");
    if (value < min || value > max) {
        add(pointer,
            "the value " + number_text(value) + " is outside of " +
                range_text(min, max) + " that the base states",
            "move the value inside or ask for wider bounds in the base");
    }
    const bool whole_number = value == std::floor(value);
    if (facts(*which).unit == "count" && !whole_number) {
        add(pointer,
            "the value " + number_text(value) + " is not a whole number",
            "state a whole number");
    }
}

void set_checker::check_moved_mode(const std::string& name,
                                   const std::string& mode)
{
    const json modes = whole_.base.value("automation", json::object());
    const json stated = modes.value(name, json("automatic"));
    const bool detailed = stated.is_object();
    const std::string pointer = "/automation/" + name;
    if (detailed && stated.at("mover") != "site") {
        add(pointer, "only the base document may move this mode",
            "remove it from the overlay or set its mover to \"site\" in the "
            "base");
        return;
    }
    const std::string loosest =
        (detailed ? stated.at("loosest") : stated).get<std::string>();
    if (tightness(mode) >= tightness(loosest))
        return;
    add(pointer,
        "the mode " + mode + " is looser than the bound " + loosest +
            " that the base states",
        "use " + loosest + " or a tighter mode (automatic, bounded, observe)");
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

std::vector<finding> check_set(const document& whole)
{
    return set_checker(whole).run();
}

std::span<const std::string_view> strategy_names()
{
    return known_strategies;
}

} // namespace galenarudder::config
