// Definitions of the limits and automations, and the built-in configuration.
#include "galenarudder/config/configuration.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>

namespace galenarudder::config {

namespace {

constexpr double day_ms = 86'400'000;
constexpr double no_floor = 0;
constexpr auto no_automation = std::nullopt;

constexpr std::array<limit_definition, limit_count> limit_definitions = {{
    {"retry_share", "share", 0.1, no_floor, 1, automation::retry, true},
    {"hedge_share", "share", 0.05, no_floor, 1, automation::hedge, true},
    {"hedge_percentile", "share", 0.95, 0.5, 1, no_automation, true},
    {"eject_share", "share", 0.5, no_floor, 1, automation::eject, true},
    {"eject_error_rate", "share", 0.5, 0.01, 1, no_automation, true},
    {"eject_ms", "ms", 2000, no_floor, 600'000, no_automation, true},
    {"slow_start_ms", "ms", 5000, no_floor, 600'000, no_automation, true},
    {"probe_share", "share", 0.01, no_floor, 0.1, no_automation, true},
    {"load_queries_per_s", "1/s", 20, no_floor, 1000, no_automation, true},
    {"pick_samples", "count", 3, 1, 64, no_automation, true},
    {"subset_size", "count", 24, 1, 1000, no_automation, true},
    {"queue_length", "count", 128, 1, 100'000, no_automation, true},
    {"concurrency_min", "count", 2, 1, 10'000, automation::adapt_limit, false},
    {"share_window_ms", "ms", 1000, 10, 60'000, no_automation, true},
    {"claim_retention_ms", "ms", day_ms, 60'000, 30 * day_ms, no_automation,
     true},
    {"leave_share", "share", 0.5, no_floor, 1, automation::reroute, true},
}};

constexpr std::array<std::string_view, automation_count> automation_names = {
    "eject",
    "shed",
    "hedge",
    "retry",
    "adapt_limit",
    "reroute",
    "organisation_limit",
    "cold_admission",
    "organisation_turns"};

constexpr std::array<std::string_view, 3> mode_names = {"automatic", "bounded",
                                                        "observe"};

template <typename Enum, typename Names>
std::optional<Enum> parse_enum(const Names& names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

bool matches(const route_policy& route,
             std::string_view method,
             std::string_view path)
{
    const bool any_method = route.method.empty();
    return (any_method || route.method == method) &&
           path.starts_with(route.prefix);
}

} // namespace

double configuration::automation_limit(limit id) const
{
    const std::size_t index = static_cast<std::size_t>(id);
    const limit_definition& definition = definition_of(id);
    const bool may_use_loosest_bound =
        definition.restricted_automation &&
        mode(*definition.restricted_automation) == automation_mode::automatic;
    if (!may_use_loosest_bound)
        return limits.at(index);
    return definition.smaller_is_tighter ? bounds.at(index).max
                                         : bounds.at(index).min;
}

const service_policy* configuration::find_service(std::string_view name) const
{
    for (const service_policy& service : services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

std::optional<std::size_t>
configuration::rank_index(std::string_view name) const
{
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        if (ranks[index].name == name)
            return index;
    }
    return std::nullopt;
}

const route_policy* find_route(const service_policy& service,
                               std::string_view method,
                               std::string_view path)
{
    for (const route_policy& route : service.routes) {
        if (matches(route, method, path))
            return &route;
    }
    return nullptr;
}

bool precedes(const host_route& left, const host_route& right)
{
    if (left.host != right.host)
        return left.host < right.host;
    if (left.prefix.size() != right.prefix.size())
        return left.prefix.size() > right.prefix.size();
    return left.prefix < right.prefix;
}

const host_route* find_host_route(const configuration& in_force,
                                  std::string_view host,
                                  std::string_view path)
{
    const std::string lower_case_host = boost::algorithm::to_lower_copy(
        std::string(host.substr(0, host.find(':'))));
    const auto& routes = in_force.host_routes;
    auto route =
        std::lower_bound(routes.begin(), routes.end(), lower_case_host,
                         [](const auto& candidate, const std::string& name) {
                             return candidate->host < name;
                         });
    for (; route != routes.end() && (*route)->host == lower_case_host;
         ++route) {
        if (path.starts_with((*route)->prefix))
            return route->get();
    }
    return nullptr;
}

std::string_view to_string(automation_mode mode)
{
    return mode_names.at(static_cast<std::size_t>(mode));
}

std::string_view to_string(automation kind)
{
    return automation_names.at(static_cast<std::size_t>(kind));
}

const limit_definition& definition_of(limit id)
{
    return limit_definitions.at(static_cast<std::size_t>(id));
}

std::string_view to_string(limit id)
{
    return definition_of(id).name;
}

std::optional<limit> parse_limit(std::string_view name)
{
    for (std::size_t index = 0; index < limit_count; ++index) {
        if (limit_definitions[index].name == name)
            return static_cast<limit>(index);
    }
    return std::nullopt;
}

std::optional<automation> parse_automation(std::string_view name)
{
    return parse_enum<automation>(automation_names, name);
}

std::optional<automation_mode> parse_automation_mode(std::string_view name)
{
    return parse_enum<automation_mode>(mode_names, name);
}

configuration default_configuration()
{
    configuration built_in;
    built_in.ranks = {{"urgent", 0, 1}, {"normal", 0.10, 0}, {"bulk", 0.05, 0}};
    for (std::size_t index = 0; index < limit_count; ++index) {
        const double value = limit_definitions[index].default_value;
        built_in.limits[index] = value;
        built_in.bounds[index] = {value, value};
    }
    built_in.modes.fill(automation_mode::automatic);
    return built_in;
}

} // namespace galenarudder::config
