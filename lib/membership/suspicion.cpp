// The timeout shrinks from longest to shortest with the logarithm of the
// confirmations.
#include "galenarudder/membership/suspicion.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace galenarudder::membership {

namespace {

constexpr support::milliseconds timeout_per_decade{2000};
constexpr double longest_to_shortest = 4;
/// Accusers beyond the first that shorten the timeout.
constexpr std::size_t confirmations_wanted = 3;

support::duration shortest_timeout(std::size_t fleet)
{
    const double decades =
        std::max(1.0, std::log10(static_cast<double>(fleet + 1)));
    return support::from_ms(support::to_ms(timeout_per_decade) * decades);
}

} // namespace

suspicion::suspicion(member_hash suspect,
                     std::uint64_t incarnation,
                     member_hash accuser,
                     std::size_t fleet,
                     support::time_point now)
    : suspect_(suspect), incarnation_(incarnation), accusers_({accuser}),
      shortest_(shortest_timeout(fleet)), started_(now)
{
}

bool suspicion::confirm(member_hash accuser)
{
    if (accusers_.size() > confirmations_wanted)
        return false;
    if (std::find(accusers_.begin(), accusers_.end(), accuser) !=
        accusers_.end())
        return false;
    accusers_.push_back(accuser);
    return true;
}

support::time_point suspicion::deadline() const
{
    const double shortest = support::to_ms(shortest_);
    const double longest = shortest * longest_to_shortest;
    const auto confirmations = static_cast<double>(accusers_.size() - 1);
    const double share = std::log(confirmations + 1) /
                         std::log(double{confirmations_wanted} + 1);
    return started_ + support::from_ms(longest - (longest - shortest) * share);
}

const suspicion* suspicion_list::find(member_hash suspect) const
{
    const auto found = open_.find(suspect);
    return found == open_.end() ? nullptr : &found->second;
}

void suspicion_list::open(suspicion opened)
{
    const member_hash suspect = opened.suspect();
    assert(!open_.contains(suspect) && "the member is not suspect yet");
    by_deadline_.insert({opened.deadline(), suspect});
    open_.emplace(suspect, std::move(opened));
}

bool suspicion_list::confirm(member_hash suspect, member_hash accuser)
{
    const auto found = open_.find(suspect);
    if (found == open_.end())
        return false;
    const support::time_point before = found->second.deadline();
    if (!found->second.confirm(accuser))
        return false;
    by_deadline_.erase({before, suspect});
    by_deadline_.insert({found->second.deadline(), suspect});
    return true;
}

void suspicion_list::close(member_hash suspect)
{
    const auto found = open_.find(suspect);
    if (found == open_.end())
        return;
    by_deadline_.erase({found->second.deadline(), suspect});
    open_.erase(found);
}

void suspicion_list::postpone(support::duration span)
{
    by_deadline_.clear();
    for (auto& [suspect, opened] : open_) {
        opened.postpone(span);
        by_deadline_.insert({opened.deadline(), suspect});
    }
}

std::optional<member_hash>
suspicion_list::expired(support::time_point now) const
{
    if (by_deadline_.empty() || by_deadline_.begin()->at > now)
        return std::nullopt;
    return by_deadline_.begin()->suspect;
}

} // namespace galenarudder::membership
