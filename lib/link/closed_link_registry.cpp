// Closed links are found by a linear search, since queries are rare.
#include "galenarudder/link/closed_link_registry.hpp"

#include <algorithm>

namespace galenarudder::link {

void closed_link_registry::on_closed(closed_link link)
{
    links_.push_back({std::move(link), {}});
    if (links_.size() > max_links)
        links_.pop_front();
}

void closed_link_registry::on_ended(link_id link,
                                    support::attempt_id call,
                                    bool dropped)
{
    for (recorded_link& recorded : links_) {
        if (recorded.link.id != link)
            continue;
        const auto unfinished = recorded.link.unfinished.find(call);
        if (unfinished == recorded.link.unfinished.end())
            return;
        if (dropped)
            recorded.dropped.insert(unfinished->second);
        recorded.link.unfinished.erase(unfinished);
        return;
    }
}

bool closed_link_registry::has_unfinished(
    const support::member_id& entry,
    std::uint64_t epoch,
    std::span<const std::uint64_t> numbers) const
{
    const recorded_link* recorded = find(entry, epoch);
    if (recorded == nullptr)
        return false;
    return std::any_of(recorded->link.unfinished.begin(),
                       recorded->link.unfinished.end(), [&](const auto& call) {
                           return std::find(numbers.begin(), numbers.end(),
                                            call.second) != numbers.end();
                       });
}

std::vector<std::uint64_t>
closed_link_registry::find_not_run(const support::member_id& entry,
                                   std::uint64_t epoch,
                                   std::span<const std::uint64_t> numbers) const
{
    std::vector<std::uint64_t> not_run_numbers;
    const recorded_link* recorded = find(entry, epoch);
    if (recorded == nullptr)
        return not_run_numbers;
    for (const std::uint64_t number : numbers) {
        const bool never_received =
            number > recorded->link.last_sequence_number;
        if (never_received || recorded->dropped.contains(number))
            not_run_numbers.push_back(number);
    }
    return not_run_numbers;
}

const closed_link_registry::recorded_link*
closed_link_registry::find(const support::member_id& entry,
                           std::uint64_t epoch) const
{
    for (const recorded_link& recorded : links_) {
        if (recorded.link.entry == entry && recorded.link.epoch == epoch)
            return &recorded;
    }
    return nullptr;
}

} // namespace galenarudder::link
