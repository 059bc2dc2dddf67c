// Tells short slow spells from a change that lasts.
#include "galenarudder/admission/speed_watch.hpp"

#include <algorithm>

namespace galenarudder::admission {

namespace {

/// Beyond this ratio to the usual speed waiting costs less than working.
constexpr double slow_ratio = 1.5;
/// A statement of this age is taken for the present: spells of a shared VM
/// last about ten times as long.
constexpr support::milliseconds fresh_for{12};
/// Between two measurements while work waits for a slow spell to end.
constexpr support::milliseconds measure_interval{20};
/// A measurement that takes longer counts as unanswered.
constexpr support::milliseconds measure_timeout{150};
/// Work is begun without a measurement for this long after one failed.
constexpr support::milliseconds blind_time{500};
/// Slowness that lasts longer is no spell but the new usual speed.
constexpr support::milliseconds longest_spell{700};

/// Spells of shared VMs last about this long.
constexpr support::milliseconds usual_spell{150};
/// A spell that outlasts the usual one is looked at again after this.
constexpr support::milliseconds least_spell_left{25};

} // namespace

void speed_watch::on_stated(double slowdown, support::time_point now)
{
    stated_ = true;
    asked_ = false;
    slowdown_ = slowdown;
    stated_at_ = now;
    blind_until_ = {};
    if (slowdown < usual_)
        usual_ = std::max(1.0, slowdown);
    if (slowdown <= slow_ratio * usual_) {
        slow_since_ = {};
        return;
    }
    if (slow_since_ == support::time_point())
        slow_since_ = now;
    if (now - slow_since_ > longest_spell)
        usual_ = slowdown;
}

void speed_watch::on_asked(support::time_point now)
{
    asked_ = true;
    asked_at_ = now;
}

void speed_watch::on_unanswered(support::time_point now)
{
    asked_ = false;
    blind_until_ = now + blind_time;
}

bool speed_watch::is_slow(support::time_point now) const
{
    return stated_ && now >= blind_until_ && slowdown_ > slow_ratio * usual_;
}

bool speed_watch::is_surely_slow(support::time_point now) const
{
    return is_slow(now) && now - stated_at_ < measure_interval;
}

support::duration speed_watch::spell_left(support::time_point now) const
{
    if (!is_slow(now))
        return support::duration(0);
    return std::max<support::duration>(usual_spell - (now - slow_since_),
                                       least_spell_left);
}

bool speed_watch::is_uncertain(support::time_point now) const
{
    if (!stated_ || now < blind_until_)
        return false;
    return now - stated_at_ > fresh_for;
}

bool speed_watch::wants_measurement(support::time_point now) const
{
    if (asked_ && now - asked_at_ < measure_timeout)
        return false;
    if (is_slow(now))
        return now - stated_at_ >= measure_interval;
    return is_uncertain(now);
}

} // namespace galenarudder::admission
