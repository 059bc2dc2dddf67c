// Looks closed links up by scanning: questions about them are rare.
#include "galenarudder/link/fate_record.hpp"

#include <algorithm>

namespace galenarudder::link {

void fate_record::on_closed(closed_link closed)
{
    links_.push_back({std::move(closed), {}});
    if (links_.size() > max_links)
        links_.pop_front();
}

void fate_record::on_ended(link_key key, support::call_id id, bool not_run)
{
    for (remembered_link& known : links_) {
        if (known.link.key != key)
            continue;
        const auto call = known.link.open.find(id);
        if (call == known.link.open.end())
            return;
        if (not_run)
            known.dropped.insert(call->second);
        known.link.open.erase(call);
        return;
    }
}

bool fate_record::undecided(const support::member_id& entry,
                            std::uint64_t epoch,
                            std::span<const std::uint64_t> numbers) const
{
    const remembered_link* known = find(entry, epoch);
    if (known == nullptr)
        return false;
    return std::any_of(known->link.open.begin(), known->link.open.end(),
                       [&](const auto& call) {
                           return std::find(numbers.begin(), numbers.end(),
                                            call.second) != numbers.end();
                       });
}

std::vector<std::uint64_t>
fate_record::not_run(const support::member_id& entry,
                     std::uint64_t epoch,
                     std::span<const std::uint64_t> numbers) const
{
    std::vector<std::uint64_t> found;
    const remembered_link* known = find(entry, epoch);
    if (known == nullptr)
        return found;
    for (const std::uint64_t number : numbers) {
        const bool never_received = number > known->link.last_number;
        if (never_received || known->dropped.contains(number))
            found.push_back(number);
    }
    return found;
}

const fate_record::remembered_link*
fate_record::find(const support::member_id& entry, std::uint64_t epoch) const
{
    for (const remembered_link& known : links_) {
        if (known.link.entry == entry && known.link.epoch == epoch)
            return &known;
    }
    return nullptr;
}

} // namespace galenarudder::link
