// Names of limits and automations, and the product's first values.
#include "galenarudder/config/configuration.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>

namespace galenarudder::config {

namespace {

constexpr double day_ms = 86'400'000;
constexpr double no_floor = 0;
constexpr auto binds_none = std::nullopt;

constexpr std::array<limit_facts, limit_count> limit_rows = {{
    {"retry_share", "share", 0.1, no_floor, 1, automation::retry, true},
    {"hedge_share", "share", 0.05, no_floor, 1, automation::hedge, true},
    {"hedge_percentile", "share", 0.95, 0.5, 1, binds_none, true},
    {"eject_share", "share", 0.5, no_floor, 1, automation::eject, true},
    {"eject_error_rate", "share", 0.5, 0.01, 1, binds_none, true},
    {"eject_ms", "ms", 2000, no_floor, 600'000, binds_none, true},
    {"slow_start_ms", "ms", 5000, no_floor, 600'000, binds_none, true},
    {"probe_share", "share", 0.01, no_floor, 0.1, binds_none, true},
    {"load_queries_per_s", "1/s", 20, no_floor, 1000, binds_none, true},
    {"pick_samples", "count", 3, 1, 64, binds_none, true},
    {"subset_size", "count", 24, 1, 1000, binds_none, true},
    {"queue_length", "count", 128, 1, 100'000, binds_none, true},
    {"concurrency_min", "count", 2, 1, 10'000, automation::adapt_limit, false},
    {"share_window_ms", "ms", 1000, 10, 60'000, binds_none, true},
    {"claim_retention_ms", "ms", day_ms, 60'000, 30 * day_ms, binds_none, true},
}};

constexpr std::array<std::string_view, automation_count> automation_names = {
    "eject", "shed", "hedge", "retry", "adapt_limit", "reroute"};

constexpr std::array<std::string_view, 3> mode_names = {"automatic", "bounded",
                                                        "observe"};

template <typename Enum, typename Names>
std::optional<Enum> enum_from(const Names& names, std::string_view name)
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

double configuration::binding(limit which) const
{
    const std::size_t index = static_cast<std::size_t>(which);
    const limit_facts& row = facts(which);
    const bool free =
        row.binds && mode(*row.binds) == automation_mode::automatic;
    if (!free)
        return limits.at(index);
    return row.smaller_is_tighter ? bounds.at(index).max : bounds.at(index).min;
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

const host_route* find_host_route(const configuration& in_force,
                                  std::string_view host,
                                  std::string_view path)
{
    const std::string wanted = boost::algorithm::to_lower_copy(
        std::string(host.substr(0, host.find(':'))));
    const auto& routes = in_force.host_routes;
    auto route =
        std::lower_bound(routes.begin(), routes.end(), wanted,
                         [](const host_route& known, const std::string& name) {
                             return known.host < name;
                         });
    for (; route != routes.end() && route->host == wanted; ++route) {
        if (path.starts_with(route->prefix))
            return &*route;
    }
    return nullptr;
}

std::string_view to_string(automation_mode mode)
{
    return mode_names.at(static_cast<std::size_t>(mode));
}

std::string_view to_string(automation which)
{
    return automation_names.at(static_cast<std::size_t>(which));
}

const limit_facts& facts(limit which)
{
    return limit_rows.at(static_cast<std::size_t>(which));
}

std::string_view to_string(limit which)
{
    return facts(which).name;
}

std::optional<limit> limit_from(std::string_view name)
{
    for (std::size_t index = 0; index < limit_count; ++index) {
        if (limit_rows[index].name == name)
            return static_cast<limit>(index);
    }
    return std::nullopt;
}

std::optional<automation> automation_from(std::string_view name)
{
    return enum_from<automation>(automation_names, name);
}

std::optional<automation_mode> automation_mode_from(std::string_view name)
{
    return enum_from<automation_mode>(mode_names, name);
}

configuration default_configuration()
{
    configuration first;
    first.ranks = {{"urgent", 0, 1}, {"normal", 0.10, 0}, {"bulk", 0.05, 0}};
    for (std::size_t index = 0; index < limit_count; ++index) {
        const double value = limit_rows[index].first_value;
        first.limits[index] = value;
        first.bounds[index] = {value, value};
    }
    first.modes.fill(automation_mode::automatic);
    return first;
}

} // namespace galenarudder::config
