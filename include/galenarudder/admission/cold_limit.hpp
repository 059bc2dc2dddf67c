/// \file
/// The limit on calls per second while an upstream is cold.
#pragma once

#include "galenarudder/support/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>

namespace galenarudder::admission {

/// Where an upstream states that it is cold.
enum class cold_source
{
    announcement,
    response
};

/// Spaces the starts of calls while the upstream is cold, and tells when to ask
/// whether it has become cold again. In any second at most the permitted number
/// of calls starts, those from before the upstream was known to be cold
/// included. Keeps the times of the last second's starts, and nothing for an
/// upstream without such a limit.
class cold_limit
{
public:
    /// Sets the calls per second that the cold upstream takes; 0 for no limit.
    void set_rate(double calls_per_s);
    double calls_per_s() const { return calls_per_s_; }
    /// The upstream stated that it is cold for \p remaining; 0 if it is not.
    void on_stated(cold_source source,
                   support::milliseconds remaining,
                   support::time_point now);
    /// Another instance replaces the upstream: what was stated and started
    /// before does not count. The limit applies until the instance states
    /// whether it is cold.
    void on_new_instance(support::time_point now);
    /// A query got no statement of the upstream. One that has just started is
    /// likely to be cold, so the limit applies until the next statement.
    void on_query_failed(support::time_point now);

    /// Returns how long the upstream is still cold by its statements.
    support::duration remaining(support::time_point now) const;
    /// Returns whether the limit applies.
    bool applies(support::time_point now) const
    {
        return calls_per_s_ > 0 &&
               (is_unknown(now) || remaining(now) > support::duration(0));
    }
    /// Returns for how long entries are to expect that the limit applies; 0 if
    /// it does not. While the state is unknown, until the next query.
    support::duration reported_remaining(support::time_point now) const
    {
        if (!applies(now))
            return support::duration(0);
        return is_unknown(now)
                   ? std::max<support::duration>(remaining(now), query_interval)
                   : remaining(now);
    }
    /// Returns how long the call that starts after \p ahead others must wait.
    support::duration wait(std::size_t ahead, support::time_point now) const;
    /// Counts a call that starts.
    void on_start(support::time_point now);

    /// Returns whether a query is due: more calls started in the last second
    /// than a cold upstream takes, or any while its state is unknown.
    bool needs_query(support::time_point now) const;
    void on_query_sent(support::time_point now) { queried_at_ = now; }

    /// Least time between two queries: each has a cost for the operators.
    static constexpr support::milliseconds query_interval{250};
    /// How long an instance counts as just started. Counted from when the gate
    /// learned of it, since the start time of the upstream is by a clock that
    /// may be set. Upstreams are cold for some seconds after a start.
    static constexpr support::milliseconds start_span{30'000};

private:
    bool is_unknown(support::time_point now) const
    {
        return is_unknown_ && now - instance_since_ < start_span;
    }
    support::duration interval() const;
    std::size_t started_in_last_second(support::time_point now) const;

    double calls_per_s_ = 0;
    /// End of the cold time by each source.
    std::array<support::time_point, 2> cold_until_{};
    support::time_point instance_since_{};
    /// Whether the instance has stated nothing since it started, or since a
    /// query failed.
    bool is_unknown_ = false;
    /// Starts of the last second.
    std::deque<support::time_point> starts_;
    /// When the next call may start by the spacing of calls.
    support::time_point next_start_{};
    support::time_point queried_at_{};
};

} // namespace galenarudder::admission
