// A fleet has few services and ranks, so rows are found by scanning.
#include "galenarudder/telemetry/latency_table.hpp"

#include <algorithm>

namespace galenarudder::telemetry {

void latency_series::observe(support::duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const auto bound = std::lower_bound(latency_bounds_s.begin(),
                                        latency_bounds_s.end(), seconds);
    const auto bucket =
        static_cast<std::size_t>(bound - latency_bounds_s.begin());
    counts_[bucket].fetch_add(1, std::memory_order_relaxed);
    sum_ns_.fetch_add(latency.count(), std::memory_order_relaxed);
}

double latency_series::sum_s() const
{
    return std::chrono::duration<double>(support::duration(sum_ns_.load()))
        .count();
}

latency_series* latency_table::find(const row_list& rows,
                                    std::string_view service,
                                    std::string_view rank)
{
    for (const row& known : rows) {
        if (known.service == service && known.rank == rank)
            return known.series.get();
    }
    return nullptr;
}

void latency_table::observe(std::string_view service,
                            std::string_view rank,
                            support::duration latency)
{
    {
        const auto rows = rows_.read();
        latency_series* known = find(*rows, service, rank);
        if (known != nullptr)
            return known->observe(latency);
    }
    add(service, rank)->observe(latency);
}

std::shared_ptr<latency_series> latency_table::add(std::string_view service,
                                                   std::string_view rank)
{
    const std::lock_guard lock(adding_);
    row_list next = rows();
    for (const row& known : next) {
        if (known.service == service && known.rank == rank)
            return known.series;
    }
    auto series = std::make_shared<latency_series>();
    next.push_back({std::string(service), std::string(rank), series});
    rows_.replace(std::make_unique<row_list>(std::move(next)));
    return series;
}

std::vector<latency_table::row> latency_table::rows() const
{
    const auto current = rows_.read();
    return *current;
}

} // namespace galenarudder::telemetry
