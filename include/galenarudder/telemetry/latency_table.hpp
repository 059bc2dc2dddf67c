/// \file
/// Latency histograms by service and rank that are observed without a lock.
#pragma once

#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/support/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::telemetry {

/// Upper bounds of the buckets, in seconds; one more bucket has none.
inline constexpr std::array latency_bounds_s = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1.0,   2.0,   5.0,  10.0, 30.0};

/// One histogram; safe from any thread.
class latency_series
{
public:
    void observe(support::duration latency);

    /// Observations of one bucket, not cumulated.
    std::uint64_t count(std::size_t bucket) const
    {
        return counts_[bucket].load(std::memory_order_relaxed);
    }
    double sum_s() const;

private:
    std::array<std::atomic<std::uint64_t>, latency_bounds_s.size() + 1>
        counts_{};
    std::atomic<std::int64_t> sum_ns_{0};
};

/// Readers see the rows by read-copy-update; only a new row takes a lock.
class latency_table
{
public:
    struct row
    {
        std::string service;
        std::string rank;
        std::shared_ptr<latency_series> series;
    };

    void observe(std::string_view service,
                 std::string_view rank,
                 support::duration latency);

    std::vector<row> rows() const;

private:
    using row_list = std::vector<row>;

    static latency_series*
    find(const row_list& rows, std::string_view service, std::string_view rank);
    std::shared_ptr<latency_series> add(std::string_view service,
                                        std::string_view rank);

    support::rcu_cell<row_list> rows_{std::make_unique<row_list>()};
    std::mutex adding_;
};

} // namespace galenarudder::telemetry
