// Shares accrue tokens while they are not leased.
#include "galenarudder/organisations/share_book.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::organisations {

namespace {

constexpr double share_unit = 4294967296.0;
constexpr double token_unit = 1000.0;

double seconds(support::duration interval)
{
    return support::to_ms(interval) / 1000;
}

std::uint32_t to_units(double value, double unit)
{
    constexpr double largest = 4294967295.0;
    return static_cast<std::uint32_t>(
        std::clamp(std::floor(value * unit), 0.0, largest));
}

} // namespace

/// Returns the share with the tokens accrued until \p now, or null if this
/// member has none.
share_book::share* share_book::find(organisation_hash organisation,
                                    support::time_point now)
{
    const auto found = limits_.find(organisation);
    if (found == limits_.end())
        return nullptr;
    const limit& in_force = found->second;
    const double part = members_.share_of(organisation, in_force);
    if (part == 0)
        return nullptr;
    const auto [position, added] = shares_.try_emplace(organisation);
    share& own = position->second;
    own.part = part;
    if (added) {
        // A share starts empty, as an earlier start of this daemon may have
        // used it, and so does the part that members which left had before.
        const double former = members_.former_share_of(organisation, in_force);
        const auto begin = std::max(members_.share_since(), in_force.since);
        const auto grown = std::max(begin, members_.last_removal());
        own.tokens =
            former * std::min(in_force.capacity,
                              in_force.calls_per_s * seconds(now - begin));
        own.accrued_to = former < part ? grown : now;
    }
    const auto begin = std::max(own.accrued_to, own.leased_until);
    if (now > begin) {
        own.tokens += in_force.calls_per_s * part * seconds(now - begin);
        own.accrued_to = now;
    }
    own.tokens = std::min(own.tokens, part * in_force.capacity);
    return &own;
}

item share_book::on_poll(organisation_hash organisation,
                         member_hash owner,
                         std::uint32_t stamp,
                         support::time_point now)
{
    share* own = find(organisation, now);
    if (own == nullptr || (own->leased_until > now && own->owner != owner))
        return {organisation, 0, 0};
    const item grant{organisation,
                     to_units(own->part - 1 / share_unit, share_unit),
                     to_units(own->tokens, token_unit)};
    own->tokens = 0;
    own->owner = owner;
    own->stamp = stamp;
    own->leased_until = now + lease_time;
    return grant;
}

void share_book::on_release(organisation_hash organisation,
                            member_hash owner,
                            std::uint32_t stamp,
                            double tokens,
                            support::time_point now)
{
    const auto position = shares_.find(organisation);
    if (position == shares_.end())
        return;
    share& own = position->second;
    const bool current = own.owner == owner && own.stamp == stamp;
    if (!current || own.leased_until <= now)
        return;
    own.owner = 0;
    own.leased_until = now;
    own.accrued_to = now;
    own.tokens = tokens;
    find(organisation, now);
}

bool share_book::try_take(organisation_hash organisation,
                          support::time_point now)
{
    share* own = find(organisation, now);
    if (own == nullptr || own->leased_until > now || own->tokens < 1)
        return false;
    own->tokens -= 1;
    return true;
}

support::duration share_book::wait(organisation_hash organisation,
                                   support::time_point now)
{
    constexpr support::duration longest = std::chrono::seconds(5);
    const share* own = find(organisation, now);
    if (own == nullptr)
        return longest;
    const limit& in_force = limits_.at(organisation);
    if (own->part * in_force.capacity < 1)
        return longest;
    const double missing_ms = std::max(0.0, 1 - own->tokens) * 1000 /
                              (own->part * in_force.calls_per_s);
    const auto leased = std::max(own->leased_until - now, support::duration(0));
    return std::min(longest, leased + support::from_ms(missing_ms));
}

void share_book::on_tick(support::time_point now)
{
    std::erase_if(shares_, [&](const auto& entry) {
        const auto& [organisation, own] = entry;
        const auto found = limits_.find(organisation);
        if (found == limits_.end())
            return true;
        // A share without state is counted as having accrued since the start,
        // so it must not be removed before it is full.
        const double refill_s =
            found->second.capacity / found->second.calls_per_s;
        const auto begin = std::max(own.accrued_to, own.leased_until);
        return seconds(now - begin) > refill_s;
    });
}

} // namespace galenarudder::organisations
