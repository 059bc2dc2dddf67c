/// \file
/// What one entry knows of one upstream; safe from several threads.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/time.hpp"

#include <atomic>
#include <cstdint>

namespace galenarudder::routing {

/// Counts and the last load report, written by atomics on a call's path.
struct upstream_state
{
    /// Calls that this entry sent and that have not ended.
    std::atomic<std::uint32_t> outstanding{0};
    /// Calls sent since the last load report.
    std::atomic<std::uint32_t> sent_since_report{0};
    std::atomic<std::uint32_t> reported_running{0};
    std::atomic<std::uint32_t> reported_waiting{0};
    std::atomic<double> reported_service_ms{0};
    /// Nanoseconds of the monotonic clock; 0 before the first report.
    std::atomic<std::int64_t> reported_at_ns{0};
};

} // namespace galenarudder::routing
