/// \file
/// Recent latencies of one service and rank, for percentiles on the path of
/// a call.
#pragma once

#include "galenarudder/support/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace galenarudder::routing {

/// Counts latencies in buckets whose bounds grow by a constant factor. Old
/// counts fade: all are halved each time their sum reaches a bound. Safe from
/// several threads; a count lost in a race does no harm.
class latency_histogram
{
public:
    static constexpr std::size_t bucket_count = 64;

    void record(support::duration latency);

    /// Returns the upper bound of the bucket that holds \p percentile, 0 to
    /// 1, or nothing until there are enough samples.
    std::optional<support::duration> percentile(double percentile) const;

private:
    void halve();

    std::array<std::atomic<std::uint32_t>, bucket_count> counts_{};
    std::atomic<std::uint32_t> total_{0};
};

} // namespace galenarudder::routing
