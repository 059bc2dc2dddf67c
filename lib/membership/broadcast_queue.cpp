// One queue for each number of transmissions.
#include "galenarudder/membership/broadcast_queue.hpp"

namespace galenarudder::membership {

void broadcast_queue::enqueue(const item& waiting)
{
    if (by_transmissions_.size() <= waiting.transmissions)
        by_transmissions_.resize(waiting.transmissions + 1);
    by_transmissions_[waiting.transmissions].push_back(
        {waiting.news.member, waiting.generation});
}

void broadcast_queue::push(const queued_news& news)
{
    item& waiting = current_[news.member];
    // A record that was not told yet is still owed.
    const bool owed =
        waiting.generation != 0 && waiting.news.kind == news_kind::record;
    waiting = {news, next_generation_++, 0};
    if (owed)
        waiting.news.kind = news_kind::record;
    enqueue(waiting);
}

std::optional<queued_news> broadcast_queue::pop()
{
    for (auto& queue : by_transmissions_) {
        while (!queue.empty()) {
            const reference next = queue.front();
            queue.pop_front();
            const auto found = current_.find(next.member);
            const bool current = found != current_.end() &&
                                 found->second.generation == next.generation;
            if (current)
                return found->second.news;
        }
    }
    return std::nullopt;
}

void broadcast_queue::sent(const queued_news& news, unsigned limit)
{
    const auto found = current_.find(news.member);
    if (found == current_.end())
        return;
    item& waiting = found->second;
    ++waiting.transmissions;
    if (waiting.transmissions >= limit) {
        current_.erase(found);
        return;
    }
    enqueue(waiting);
}

void broadcast_queue::unsent(const queued_news& news)
{
    const auto found = current_.find(news.member);
    if (found != current_.end())
        enqueue(found->second);
}

} // namespace galenarudder::membership
