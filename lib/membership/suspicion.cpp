// The timeout shrinks from longest to shortest with the logarithm of the
// confirmations.
#include "galenarudder/membership/suspicion.hpp"

#include <algorithm>
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

} // namespace galenarudder::membership
