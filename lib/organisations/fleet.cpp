// Known members, and how organisations are assigned to them.
#include "galenarudder/organisations/fleet.hpp"

#include <algorithm>
#include <set>

namespace galenarudder::organisations {

namespace {

/// Returns the weight of a member in the rendezvous hash of an organisation:
/// the finalizer of splitmix64.
std::uint64_t score(organisation_hash organisation, member_hash member)
{
    std::uint64_t mixed = organisation ^ (member * 0x9e3779b97f4a7c15U);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31);
}

} // namespace

fleet::fleet(support::member_id self, peer_expectation expects_peers)
    : self_(hash_of(self)), expects_peers_(expects_peers)
{
    members_[self_].id = std::move(self);
}

std::size_t fleet::live_count() const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [](const auto& entry) { return entry.second.live; }));
}

bool fleet::update(std::span<const observed_member> members,
                   support::time_point now)
{
    bool changed = false;
    std::set<member_hash> live;
    for (const observed_member& observed : members) {
        const member_hash hash = hash_of(observed.id);
        if (hash == self_)
            continue;
        if (observed.state == presence::left) {
            const auto leaving = members_.find(hash);
            if (leaving != members_.end() && !leaving->second.left)
                leaving->second.left = true;
            continue;
        }
        if (observed.state == presence::live)
            live.insert(hash);
        // A member that was never live here counts too: it may still have the
        // share that it got while others knew it.
        removed_.erase(hash);
        const auto [position, added] = members_.try_emplace(hash);
        if (added) {
            position->second.id = observed.id;
            position->second.live = false;
            position->second.absent_since = now;
            last_addition_ = now;
            changed = true;
        }
        position->second.left = false;
    }
    for (auto& [hash, known] : members_) {
        const bool is_live = hash == self_ || live.contains(hash);
        if (known.live == is_live)
            continue;
        known.live = is_live;
        known.absent_since = now;
        changed = true;
    }
    return on_tick(now) || changed;
}

void fleet::on_known_count(std::size_t known, support::time_point now)
{
    if (now - stated_at_ > settling_time || known >= stated_count_) {
        stated_count_ = known;
        stated_at_ = now;
    }
}

void fleet::on_known_count_asked(support::time_point now)
{
    first_asked_at_ = std::min(first_asked_at_, now);
}

/// Returns whether members were asked for their count, none with a share has
/// answered, and no further member was found for \c steady_time.
bool fleet::is_steady_without_shares(support::time_point now) const
{
    return stated_count_ == 0 && first_asked_at_ <= now - steady_time &&
           last_addition_ <= now - steady_time;
}

bool fleet::is_complete(support::time_point now) const
{
    // A new member that a part m of the fleet cannot see adds m/N of its own
    // share to the sum of all shares, so a few absent members are tolerated.
    // Otherwise one that stays dead would keep restarted ones from a share.
    constexpr double required_part = 0.8;
    const std::size_t live = live_count();
    const bool expects_peers = expects_peers_ == peer_expectation::certain ||
                               (expects_peers_ == peer_expectation::searched &&
                                now - first_tick_ < search_time);
    const bool alone = live == 1 && expects_peers;
    const std::size_t known = std::max(members_.size(), stated_count_);
    return !alone && static_cast<double>(live) >=
                         required_part * static_cast<double>(known);
}

bool fleet::on_tick(support::time_point now)
{
    first_tick_ = std::min(first_tick_, now);
    bool removed_any = false;
    for (auto position = members_.begin(); position != members_.end();) {
        const known_member& known = position->second;
        // An owner may hold the lease of a share for some time after its
        // holder has left.
        const support::duration kept = known.left ? removal_delay : memory;
        if (known.live || now - known.absent_since <= kept) {
            ++position;
            continue;
        }
        removed_[position->first] = now;
        last_removal_ = now;
        position = members_.erase(position);
        removed_any = true;
    }
    std::erase_if(removed_, [&](const auto& entry) {
        return now - entry.second > growth_time;
    });
    if (!is_complete(now))
        complete_since_ = support::time_point::max();
    else if (complete_since_ == support::time_point::max())
        complete_since_ = now;
    const bool is_settled =
        complete_since_ <= now - settling_time ||
        (complete_since_ <= now - steady_time && is_steady_without_shares(now));
    if (!established_ && is_settled) {
        established_ = true;
        established_at_ = now;
    }
    return removed_any;
}

const support::member_id* fleet::find_live(member_hash member) const
{
    const auto position = members_.find(member);
    const bool found = position != members_.end() && position->second.live;
    return found ? &position->second.id : nullptr;
}

member_hash fleet::owner(organisation_hash organisation) const
{
    member_hash best = self_;
    for (const auto& [hash, known] : members_) {
        if (known.live && score(organisation, hash) > score(organisation, best))
            best = hash;
    }
    return best;
}

std::vector<member_hash> fleet::live_peers() const
{
    std::vector<member_hash> live;
    for (const auto& [hash, known] : members_) {
        if (known.live && hash != self_)
            live.push_back(hash);
    }
    return live;
}

std::vector<member_hash> fleet::holders(organisation_hash organisation,
                                        std::size_t count) const
{
    std::vector<member_hash> all;
    all.reserve(members_.size());
    for (const auto& [hash, known] : members_)
        all.push_back(hash);
    if (count >= all.size())
        return all;
    std::nth_element(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count),
        all.end(), [&](member_hash left, member_hash right) {
            return score(organisation, left) > score(organisation, right);
        });
    all.resize(count);
    return all;
}

double fleet::share_of(organisation_hash organisation,
                       const limit& in_force) const
{
    return share_among(organisation, in_force, {});
}

double fleet::former_share_of(organisation_hash organisation,
                              const limit& in_force) const
{
    return share_among(organisation, in_force, removed_);
}

/// Returns the share that this member has if \p others exist too.
double fleet::share_among(
    organisation_hash organisation,
    const limit& in_force,
    const std::map<member_hash, support::time_point>& others) const
{
    if (!established_)
        return 0;
    const std::size_t known = members_.size() + others.size();
    const std::size_t count = share_count(in_force, known);
    const double share = 1 / static_cast<double>(count);
    if (count >= known)
        return share;
    const std::uint64_t own = score(organisation, self_);
    const auto is_ahead = [&](const auto& entry) {
        return score(organisation, entry.first) > own;
    };
    const auto ahead =
        std::count_if(members_.begin(), members_.end(), is_ahead) +
        std::count_if(others.begin(), others.end(), is_ahead);
    return static_cast<std::size_t>(ahead) < count ? share : 0;
}

} // namespace galenarudder::organisations
