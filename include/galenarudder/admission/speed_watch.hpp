/// \file
/// How fast the upstream works at the moment. Its VM is shared, so that work
/// can take several times as long for a fraction of a second; a call keeps the
/// speed at which it began. Beginning it a little later is then faster.
#pragma once

#include "galenarudder/support/time.hpp"

namespace galenarudder::admission {

/// A state machine without I/O. It decides nothing until the upstream has
/// stated its speed once.
class speed_watch
{
public:
    /// The upstream stated that work takes \p slowdown times as long as usual.
    void on_stated(double slowdown, support::time_point now);
    /// A measurement was begun.
    void on_asked(support::time_point now);
    /// A measurement ended without a statement.
    void on_unanswered(support::time_point now);
    /// Another life of the upstream is there.
    void reset() { *this = speed_watch(); }

    /// Whether work is better held than begun.
    bool is_slow(support::time_point now) const;
    /// Whether a slow spell was stated so recently that it is no use to ask.
    bool is_surely_slow(support::time_point now) const;
    /// How long the slow spell should last from now on; 0 when there is none.
    support::duration spell_left(support::time_point now) const;
    /// Whether too little is known to begin work.
    bool is_uncertain(support::time_point now) const;
    /// Whether to measure, when work waits to begin.
    bool wants_measurement(support::time_point now) const;

    /// The last statement; 1 before the first.
    double slowdown() const { return slowdown_; }

private:
    bool stated_ = false;
    bool asked_ = false;
    /// A measurement failed; work begins without one for a while.
    support::time_point blind_until_{};
    double slowdown_ = 1;
    /// The slowdown that is taken for usual.
    double usual_ = 1;
    support::time_point stated_at_{};
    support::time_point asked_at_{};
    /// Since when every statement was a slow one.
    support::time_point slow_since_{};
};

} // namespace galenarudder::admission
