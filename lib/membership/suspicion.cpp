// The timeout decreases from its maximum to its minimum with the logarithm of
// the number of confirmations.
#include "galenarudder/membership/suspicion.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace galenarudder::membership {

namespace {

constexpr support::milliseconds timeout_per_decade{2000};
constexpr double max_to_min_ratio = 4;
/// Suspecting members after the first that shorten the timeout.
constexpr std::size_t max_confirmations = 3;

support::duration min_timeout(std::size_t live_members)
{
    const double decades =
        std::max(1.0, std::log10(static_cast<double>(live_members + 1)));
    return support::from_ms(support::to_ms(timeout_per_decade) * decades);
}

} // namespace

suspicion::suspicion(member_hash suspect,
                     std::uint64_t incarnation,
                     member_hash suspecting_member,
                     std::size_t live_members,
                     support::time_point now)
    : suspect_(suspect), incarnation_(incarnation),
      suspecting_members_({suspecting_member}),
      min_timeout_(min_timeout(live_members)), started_(now)
{
}

bool suspicion::confirm(member_hash suspecting_member)
{
    if (suspecting_members_.size() > max_confirmations)
        return false;
    if (std::find(suspecting_members_.begin(), suspecting_members_.end(),
                  suspecting_member) != suspecting_members_.end())
        return false;
    suspecting_members_.push_back(suspecting_member);
    return true;
}

support::time_point suspicion::deadline() const
{
    const double min_ms = support::to_ms(min_timeout_);
    const double max_ms = min_ms * max_to_min_ratio;
    const auto confirmations =
        static_cast<double>(suspecting_members_.size() - 1);
    const double confirmed_share =
        std::log(confirmations + 1) / std::log(double{max_confirmations} + 1);
    return started_ +
           support::from_ms(max_ms - (max_ms - min_ms) * confirmed_share);
}

const suspicion* suspicion_list::find(member_hash suspect) const
{
    const auto found = open_.find(suspect);
    return found == open_.end() ? nullptr : &found->second;
}

void suspicion_list::open(suspicion added)
{
    const member_hash suspect = added.suspect();
    assert(!open_.contains(suspect) && "the member is not suspect yet");
    by_deadline_.insert({added.deadline(), suspect});
    open_.emplace(suspect, std::move(added));
}

bool suspicion_list::confirm(member_hash suspect, member_hash suspecting_member)
{
    const auto found = open_.find(suspect);
    if (found == open_.end())
        return false;
    const support::time_point previous_deadline = found->second.deadline();
    if (!found->second.confirm(suspecting_member))
        return false;
    by_deadline_.erase({previous_deadline, suspect});
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
    if (by_deadline_.empty() || by_deadline_.begin()->deadline > now)
        return std::nullopt;
    return by_deadline_.begin()->suspect;
}

} // namespace galenarudder::membership
