/// \file
/// Percentiles of the recent latencies of one service and rank, cheap enough to
/// compute for each call.
#pragma once

#include "galenarudder/support/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace galenarudder::routing {

/// Counts latencies in buckets whose bounds grow by a constant factor. All
/// counts are halved whenever their sum reaches a limit, so that old samples
/// lose weight. Thread-safe; the loss of a count in a race is accepted.
class latency_histogram
{
public:
    static constexpr std::size_t bucket_count = 64;

    void record(support::duration latency);

    /// Returns the upper bound of the bucket that contains \p percentile, 0 to
    /// 1, or \c nullopt until there are enough samples.
    std::optional<support::duration> percentile(double percentile) const;

private:
    void halve();

    std::array<std::atomic<std::uint32_t>, bucket_count> counts_{};
    std::atomic<std::uint32_t> total_{0};
};

} // namespace galenarudder::routing
