// Announcements are ordered by the start of their instance, then by their
// sequence number, except where later announcements contradict that order: a
// clock may step back between two starts, and an announcement of another writer
// may state any start and any number.
#include "galenarudder/admission/upstream_presence.hpp"

#include <algorithm>

namespace galenarudder::admission {

namespace {

/// More than the instances whose announcements can be delayed at one time.
constexpr std::size_t max_known_starts = 8;
/// Announcements in order by which an instance shows that it runs.
constexpr unsigned regular_announcements = 2;
/// Delayed announcements arrive together. Those closer to each other than half
/// of a heartbeat, an eighth of the time to the lapse, count as one.
constexpr int spacings_per_lapse = 8;
constexpr int silences_per_lapse = 2;

} // namespace

upstream_presence::known_start*
upstream_presence::find_start(const std::string& instance,
                              std::uint64_t started_ms)
{
    const auto found = std::find_if(
        starts_.begin(), starts_.end(), [&](const known_start& known) {
            return known.instance == instance && known.started_ms == started_ms;
        });
    return found == starts_.end() ? nullptr : &*found;
}

upstream_presence::known_start&
upstream_presence::note_start(const announcement& announced,
                              support::time_point now)
{
    if (known_start* known =
            find_start(announced.instance, announced.started_ms)) {
        known->heard_at = now;
        return *known;
    }
    if (starts_.size() >= max_known_starts) {
        const auto is_current = [this](const known_start& known) {
            return last_ && known.instance == last_->instance &&
                   known.started_ms == last_->started_ms;
        };
        starts_.erase(std::min_element(
            starts_.begin(), starts_.end(),
            [&](const known_start& left, const known_start& right) {
                return std::pair(is_current(left), left.heard_at) <
                       std::pair(is_current(right), right.heard_at);
            }));
    }
    known_start added;
    added.instance = announced.instance;
    added.started_ms = announced.started_ms;
    added.heard_at = now;
    starts_.push_back(std::move(added));
    return starts_.back();
}

/// Counts an announcement that is not accepted. Returns whether its start has
/// announced itself so often that it must be running.
bool upstream_presence::announces_regularly(known_start& start,
                                            const announcement& announced,
                                            support::time_point now) const
{
    const bool in_order = start.pending_count == 0 || announced.sequence == 0 ||
                          announced.sequence > start.pending_sequence;
    if (!in_order)
        return false;
    const bool is_spaced =
        start.pending_count == 0 ||
        now - start.pending_counted_at >= lapse_after_ / spacings_per_lapse;
    start.pending_sequence = announced.sequence;
    if (is_spaced) {
        ++start.pending_count;
        start.pending_counted_at = now;
    }
    return start.pending_count >= regular_announcements;
}

/// Returns whether a start other than the current one becomes the current one.
bool upstream_presence::may_replace(known_start& start,
                                    bool is_known,
                                    const announcement& announced,
                                    support::time_point now) const
{
    if (start.leaving && !announced.leaving)
        return false;
    const bool is_later =
        announced.started_ms == 0 || announced.started_ms > last_->started_ms;
    if (!is_known && is_later)
        return true;
    return announces_regularly(start, announced, now) &&
           now - announced_at_ >= lapse_after_ / silences_per_lapse;
}

presence_change upstream_presence::ignore()
{
    ++stale_count_;
    return presence_change::stale;
}

presence_change
upstream_presence::on_announcement(const announcement& announced,
                                   support::time_point now)
{
    const bool same_instance = last_ && last_->instance == announced.instance &&
                               last_->started_ms == announced.started_ms;
    const bool is_known =
        find_start(announced.instance, announced.started_ms) != nullptr;
    known_start& start = note_start(announced, now);
    if (!last_)
        return accept(start, announced, now);
    if (same_instance) {
        const bool is_repeated =
            announced.sequence != 0 && announced.sequence <= start.sequence;
        if (!is_repeated)
            return accept(start, announced, now);
        if (announced.leaving && !leaving_)
            return leave();
        if (leaving_ || !announces_regularly(start, announced, now))
            return ignore();
        return accept(start, announced, now);
    }
    if (may_replace(start, is_known, announced, now))
        return accept(start, announced, now);
    return announced.leaving ? on_other_start_leaving(start) : ignore();
}

presence_change upstream_presence::accept(known_start& start,
                                          const announcement& announced,
                                          support::time_point now)
{
    const bool same_instance = last_ && last_->instance == announced.instance &&
                               last_->started_ms == announced.started_ms;
    const bool came_back =
        announced.started_ms == 0 && now - announced_at_ >= lapse_after_;
    start.sequence = announced.sequence;
    start.pending_count = 0;
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
    if (known_start* current = find_start(last_->instance, last_->started_ms))
        current->leaving = last_->started_ms != 0;
    const bool was_serving = serves_;
    serves_ = false;
    return was_serving ? presence_change::left : presence_change::none;
}

/// Another start than the current one accepts no more calls. Under the current
/// instance's name it may be the one that runs. If the current one runs, its
/// next announcement shows it.
presence_change upstream_presence::on_other_start_leaving(known_start& start)
{
    const bool repeated = start.leaving;
    start.leaving = true;
    if (repeated || start.instance != last_->instance)
        return ignore();
    if (start.pending_count >= regular_announcements)
        return leave();
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
    if (is_current)
        return leave();
    known_start* known =
        started_ms ? find_start(instance, *started_ms) : nullptr;
    return known == nullptr ? ignore() : on_other_start_leaving(*known);
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
