// Announcements are ordered by the start of their instance, then by their
// sequence number.
#include "galenarudder/admission/upstream_presence.hpp"

namespace galenarudder::admission {

presence_change
upstream_presence::on_announcement(const announcement& announced,
                                   support::time_point now)
{
    const bool is_first = !last_;
    const bool same_instance = !is_first &&
                               last_->instance == announced.instance &&
                               last_->started_ms == announced.started_ms;
    const bool has_start_time = announced.started_ms != 0;
    const bool is_older = !is_first && !same_instance && has_start_time &&
                          announced.started_ms <= last_->started_ms;
    const bool has_sequence = announced.sequence != 0;
    const bool is_repeated =
        same_instance && has_sequence && announced.sequence <= last_->sequence;
    if (is_older || is_repeated) {
        ++stale_count_;
        return presence_change::stale;
    }
    const bool came_back =
        !has_start_time && now - announced_at_ >= lapse_after_;
    last_ = announced;
    announced_at_ = now;
    if (!same_instance || came_back)
        leaving_ = false;
    if (announced.leaving || leaving_)
        return leave();
    if (same_instance && serves_)
        return presence_change::none;
    serves_ = true;
    return presence_change::arrived;
}

presence_change upstream_presence::leave()
{
    leaving_ = true;
    const bool was_serving = serves_;
    serves_ = false;
    return was_serving ? presence_change::left : presence_change::none;
}

presence_change
upstream_presence::on_leave(const std::string& instance,
                            std::optional<std::uint64_t> started_ms,
                            support::time_point)
{
    const bool is_current = last_ && last_->instance == instance &&
                            (!started_ms || *started_ms == last_->started_ms);
    if (!is_current) {
        ++stale_count_;
        return presence_change::stale;
    }
    return leave();
}

void upstream_presence::on_absent()
{
    serves_ = false;
    // Without a start time the next announcement cannot be told from one of the
    // instance that left.
    if (last_ && last_->started_ms == 0)
        leaving_ = false;
}

presence_change upstream_presence::on_tick(support::time_point now)
{
    if (!serves_ || now - announced_at_ < lapse_after_)
        return presence_change::none;
    serves_ = false;
    return presence_change::lapsed;
}

} // namespace galenarudder::admission
