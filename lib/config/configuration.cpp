// Names of limits and automations, and the product's first values.
#include "galenarudder/config/configuration.hpp"

#include <algorithm>

namespace galenarudder::config {

namespace {

struct limit_row
{
    std::string_view name;
    double first_value;
};

constexpr std::array<limit_row, limit_count> limit_rows = {{
    {"retry_share", 0.1},
    {"hedge_share", 0.05},
    {"hedge_percentile", 0.95},
    {"eject_share", 0.5},
    {"eject_error_rate", 0.5},
    {"eject_ms", 2000},
    {"slow_start_ms", 5000},
    {"probe_share", 0.01},
    {"load_queries_per_s", 20},
    {"pick_samples", 3},
    {"subset_size", 24},
    {"queue_length", 128},
    {"concurrency_min", 2},
    {"share_window_ms", 1000},
    {"claim_retention_ms", 86'400'000},
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

std::string_view to_string(automation_mode mode)
{
    return mode_names.at(static_cast<std::size_t>(mode));
}

std::string_view to_string(automation which)
{
    return automation_names.at(static_cast<std::size_t>(which));
}

std::string_view to_string(limit which)
{
    return limit_rows.at(static_cast<std::size_t>(which)).name;
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
    for (std::size_t index = 0; index < limit_count; ++index)
        first.limits[index] = limit_rows[index].first_value;
    first.modes.fill(automation_mode::automatic);
    return first;
}

} // namespace galenarudder::config
