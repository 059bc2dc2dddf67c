// Keeps one queue for each number of transmissions.
#include "galenarudder/membership/broadcast_queue.hpp"

namespace galenarudder::membership {

void broadcast_queue::append(const pending_update& pending)
{
    if (by_transmissions_.size() <= pending.transmissions)
        by_transmissions_.resize(pending.transmissions + 1);
    by_transmissions_[pending.transmissions].push_back(
        {pending.update.member, pending.generation});
}

void broadcast_queue::push(const queued_update& update)
{
    pending_update& pending = pending_[update.member];
    // If a record was queued and has not been sent often enough, the new update
    // includes it.
    const bool record_pending =
        pending.generation != 0 && pending.update.kind == update_kind::record;
    pending = {update, next_generation_++, 0};
    if (record_pending)
        pending.update.kind = update_kind::record;
    append(pending);
}

std::optional<queued_update> broadcast_queue::pop()
{
    for (auto& queue : by_transmissions_) {
        while (!queue.empty()) {
            const queue_reference next = queue.front();
            queue.pop_front();
            const auto found = pending_.find(next.member);
            const bool is_current = found != pending_.end() &&
                                    found->second.generation == next.generation;
            if (is_current)
                return found->second.update;
        }
    }
    return std::nullopt;
}

void broadcast_queue::mark_sent(const queued_update& update, unsigned limit)
{
    const auto found = pending_.find(update.member);
    if (found == pending_.end())
        return;
    pending_update& pending = found->second;
    ++pending.transmissions;
    if (pending.transmissions >= limit) {
        pending_.erase(found);
        return;
    }
    append(pending);
}

void broadcast_queue::put_back(const queued_update& update)
{
    const auto found = pending_.find(update.member);
    if (found != pending_.end())
        append(found->second);
}

} // namespace galenarudder::membership
