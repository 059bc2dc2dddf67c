/// \file
/// Latency histograms by service and rank. Recording a latency takes no lock.
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

/// Upper bounds of the buckets, in seconds. One further bucket has no bound.
inline constexpr std::array latency_bounds_s = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1.0,   2.0,   5.0,  10.0, 30.0};

/// A histogram. Safe from any thread.
class latency_histogram
{
public:
    void observe(support::duration latency);

    /// Returns the number of observations in one bucket, not cumulative.
    std::uint64_t count(std::size_t bucket) const
    {
        return counts_[bucket].load(std::memory_order_relaxed);
    }
    /// Returns the sum of all observations in seconds.
    double sum_s() const;

private:
    std::array<std::atomic<std::uint64_t>, latency_bounds_s.size() + 1>
        counts_{};
    std::atomic<std::int64_t> sum_ns_{0};
};

/// A table of histograms. Rows are read by read-copy-update; only adding a row
/// takes a lock. Safe from any thread.
class latency_table
{
public:
    struct row
    {
        std::string service;
        std::string rank;
        std::shared_ptr<latency_histogram> series;
    };

    /// Adds \p latency to the histogram of the service and rank, which is
    /// created at its first use.
    void observe(std::string_view service,
                 std::string_view rank,
                 support::duration latency);

    std::vector<row> rows() const;

private:
    using row_list = std::vector<row>;

    static latency_histogram*
    find(const row_list& rows, std::string_view service, std::string_view rank);
    std::shared_ptr<latency_histogram> add(std::string_view service,
                                           std::string_view rank);

    support::rcu_cell<row_list> rows_{std::make_unique<row_list>()};
    std::mutex add_mutex_;
};

} // namespace galenarudder::telemetry
