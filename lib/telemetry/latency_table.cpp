// Rows are found by a linear search, since a fleet has few services and ranks.
#include "galenarudder/telemetry/latency_table.hpp"

#include <algorithm>

namespace galenarudder::telemetry {

void latency_histogram::observe(support::duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const auto bound = std::lower_bound(latency_bounds_s.begin(),
                                        latency_bounds_s.end(), seconds);
    const auto bucket =
        static_cast<std::size_t>(bound - latency_bounds_s.begin());
    counts_[bucket].fetch_add(1, std::memory_order_relaxed);
    sum_ns_.fetch_add(latency.count(), std::memory_order_relaxed);
}

double latency_histogram::sum_s() const
{
    return std::chrono::duration<double>(support::duration(sum_ns_.load()))
        .count();
}

latency_histogram* latency_table::find(const row_list& rows,
                                       std::string_view service,
                                       std::string_view rank)
{
    for (const row& existing : rows) {
        if (existing.service == service && existing.rank == rank)
            return existing.series.get();
    }
    return nullptr;
}

void latency_table::observe(std::string_view service,
                            std::string_view rank,
                            support::duration latency)
{
    {
        const auto rows = rows_.read();
        latency_histogram* histogram = find(*rows, service, rank);
        if (histogram != nullptr)
            return histogram->observe(latency);
    }
    add(service, rank)->observe(latency);
}

std::shared_ptr<latency_histogram> latency_table::add(std::string_view service,
                                                      std::string_view rank)
{
    const std::lock_guard lock(add_mutex_);
    row_list new_rows = rows();
    for (const row& existing : new_rows) {
        if (existing.service == service && existing.rank == rank)
            return existing.series;
    }
    auto histogram = std::make_shared<latency_histogram>();
    new_rows.push_back({std::string(service), std::string(rank), histogram});
    rows_.replace(std::make_unique<row_list>(std::move(new_rows)));
    return histogram;
}

std::vector<latency_table::row> latency_table::rows() const
{
    const auto current = rows_.read();
    return *current;
}

} // namespace galenarudder::telemetry
