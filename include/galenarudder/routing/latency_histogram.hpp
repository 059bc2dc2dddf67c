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

    /// Returns the latency that a \p share, 0 to 1, of the recorded latencies
    /// do not exceed, rounded up to the bound of its bucket, or \c nullopt
    /// until there are enough samples.
    std::optional<support::duration> percentile(double share) const;

private:
    void halve();

    std::array<std::atomic<std::uint32_t>, bucket_count> counts_{};
    std::atomic<std::uint32_t> total_{0};
};

} // namespace galenarudder::routing
