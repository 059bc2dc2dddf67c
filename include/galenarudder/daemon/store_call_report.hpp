/// \file
/// Sums up in the log what the calls of the store were made for.
#pragma once

#include "galenarudder/store/call_purpose.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::daemon {

/// Writes a line `store.calls` at most once in \c interval, with the calls
/// since the line before; none if there were none.
class store_call_report
{
public:
    void on_tick(const store::call_counts& counts, support::time_point now);
    /// Writes the line of the last calls, as the process stops.
    void finish(const store::call_counts& counts);

    static constexpr support::milliseconds interval{30'000};

private:
    void write(const store::call_counts& counts);

    store::call_counts reported_{};
    support::time_point next_line_{};
};

} // namespace galenarudder::daemon
