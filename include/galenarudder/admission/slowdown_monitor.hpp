/// \file
/// Tracks slowdowns of the upstream. Its VM shares a machine with others, so
/// work can take several times as long for a fraction of a second. A call runs
/// at the speed at which it started, so one that waits for the end of the
/// slowdown can finish before one that started during it.
#pragma once

#include "galenarudder/support/time.hpp"

namespace galenarudder::admission {

/// A state machine without I/O that decides when calls wait for the end of a
/// slowdown and when the upstream is queried. Until the upstream has reported a
/// slowdown factor once, calls never wait and no query is made.
class slowdown_monitor
{
public:
    /// The upstream reported \p slowdown, the factor by which work takes longer
    /// than usual.
    void on_reported(double slowdown, support::time_point now);
    /// A query of the slowdown was sent.
    void on_query_sent(support::time_point now);
    /// A query ended without a report.
    void on_query_failed(support::time_point now);
    /// Discards all reports, since the upstream is gone.
    void reset() { *this = slowdown_monitor(); }

    /// Returns whether the upstream is in a slowdown, so that calls should
    /// wait.
    bool is_slow(support::time_point now) const;
    /// Returns whether the upstream is in a slowdown by a report too recent for
    /// another query to be useful.
    bool is_slow_by_fresh_report(support::time_point now) const;
    /// Returns the expected remaining duration of the slowdown; 0 when there is
    /// none.
    support::duration remaining(support::time_point now) const;
    /// Returns whether the last report is too old to start a call.
    bool is_report_stale(support::time_point now) const;
    /// Returns whether to query the upstream, if calls are waiting.
    bool needs_query(support::time_point now) const;

    /// The last reported factor by which work takes longer than usual; 1 before
    /// the first report.
    double slowdown() const { return slowdown_; }

private:
    bool has_report_ = false;
    bool query_pending_ = false;
    /// End of the time in which calls start without a report, because a query
    /// failed.
    support::time_point unmonitored_until_{};
    double slowdown_ = 1;
    /// The factor that counts as normal.
    double baseline_factor_ = 1;
    support::time_point reported_at_{};
    support::time_point queried_at_{};
    /// Time of the first of an unbroken series of slow reports; default when
    /// the last report was not slow.
    support::time_point slow_since_{};
};

} // namespace galenarudder::admission
