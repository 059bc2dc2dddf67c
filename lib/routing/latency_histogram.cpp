// The bounds of the buckets are powers of a constant factor.
#include "galenarudder/routing/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::routing {

namespace {

/// Upper bound of the first bucket.
constexpr double first_bound_ms = 0.1;
/// Ratio of the bounds of neighbouring buckets.
constexpr double growth = 1.2;
/// Samples below which no percentile is returned: fewer do not determine a high
/// percentile.
constexpr std::uint32_t min_samples = 50;
/// Sum of the counts at which all of them are halved.
constexpr std::uint32_t halving_total = 2000;

std::size_t bucket_of(double ms)
{
    if (ms <= first_bound_ms)
        return 0;
    static const double log_growth = std::log(growth);
    const double steps = std::ceil(std::log(ms / first_bound_ms) / log_growth);
    return std::min(static_cast<std::size_t>(steps),
                    latency_histogram::bucket_count - 1);
}

} // namespace

void latency_histogram::record(support::duration latency)
{
    const std::size_t bucket = bucket_of(support::to_ms(latency));
    counts_.at(bucket).fetch_add(1, std::memory_order_relaxed);
    const std::uint32_t total =
        total_.fetch_add(1, std::memory_order_relaxed) + 1;
    if (total == halving_total)
        halve();
}

void latency_histogram::halve()
{
    std::uint32_t new_total = 0;
    for (std::atomic<std::uint32_t>& count : counts_) {
        const std::uint32_t half = count.load(std::memory_order_relaxed) / 2;
        count.store(half, std::memory_order_relaxed);
        new_total += half;
    }
    total_.store(new_total, std::memory_order_relaxed);
}

std::optional<support::duration>
latency_histogram::percentile(double share) const
{
    const std::uint32_t total = total_.load(std::memory_order_relaxed);
    if (total < min_samples)
        return std::nullopt;
    const double target_count = share * total;
    double cumulative_count = 0;
    double bound_ms = first_bound_ms;
    for (const std::atomic<std::uint32_t>& count : counts_) {
        cumulative_count += count.load(std::memory_order_relaxed);
        if (cumulative_count >= target_count)
            break;
        bound_ms *= growth;
    }
    return support::from_ms(bound_ms);
}

} // namespace galenarudder::routing
