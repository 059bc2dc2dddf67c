// Orders check-ins by the birth of their life and their sequence.
#include "galenarudder/admission/upstream_presence.hpp"

namespace galenarudder::admission {

presence_change upstream_presence::on_check_in(const check_in& heard,
                                               support::time_point now)
{
    const bool first = !known_;
    const bool same_life = !first && known_->instance == heard.instance &&
                           known_->born_ms == heard.born_ms;
    const bool dated = heard.born_ms != 0;
    const bool older =
        !first && !same_life && dated && heard.born_ms <= known_->born_ms;
    const bool numbered = heard.sequence != 0;
    const bool repeated =
        same_life && numbered && heard.sequence <= known_->sequence;
    if (older || repeated) {
        ++stale_;
        return presence_change::stale;
    }
    known_ = heard;
    heard_at_ = now;
    if (!same_life)
        leaving_ = false;
    if (heard.leaving || leaving_)
        return leave();
    if (same_life && serves_)
        return presence_change::none;
    serves_ = true;
    return presence_change::arrived;
}

presence_change upstream_presence::leave()
{
    leaving_ = true;
    const bool served = serves_;
    serves_ = false;
    return served ? presence_change::left : presence_change::none;
}

presence_change
upstream_presence::on_leave(const std::string& instance,
                            std::optional<std::uint64_t> born_ms,
                            support::time_point)
{
    const bool meant = known_ && known_->instance == instance &&
                       (!born_ms || *born_ms == known_->born_ms);
    if (!meant) {
        ++stale_;
        return presence_change::stale;
    }
    return leave();
}

void upstream_presence::on_absent()
{
    serves_ = false;
}

presence_change upstream_presence::on_tick(support::time_point now)
{
    if (!serves_ || now - heard_at_ < lapse_after_)
        return presence_change::none;
    serves_ = false;
    return presence_change::lapsed;
}

} // namespace galenarudder::admission
