// Gathers shares and issues tokens.
#include "galenarudder/organisations/limit_owner.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::organisations {

namespace {

constexpr double share_unit = 4294967296.0;
constexpr double token_unit = 1000.0;
/// A lease is renewed this long before it ends: several times the round trip
/// within a region.
constexpr support::duration renewal_time = std::chrono::milliseconds(400);
/// A holder that did not answer is polled again after this time.
constexpr support::duration poll_interval = std::chrono::milliseconds(200);
/// Requests wait this long for grants, so that the reply reaches the entry
/// within reply_time.
constexpr support::duration grant_time = std::chrono::milliseconds(15);
constexpr std::size_t max_pending = 4096;
/// Entries that were not given all tokens ask again after the time in which one
/// accrues, within these bounds. The lower one bounds the datagrams of an
/// organisation over its limit.
/// Entries are told to ask again at least as soon as if this part of the limit
/// were leased.
constexpr double least_hinted_part = 0.5;
constexpr double min_retry_ms = 100;
/// With less than this part of what the demand needs, up to the whole limit,
/// refusals are for lack of shares. A few members may be absent.
constexpr double required_part = 0.8;
constexpr double max_retry_ms = 5000;
constexpr std::uint32_t max_issued = 0xffff;

double seconds(support::duration interval)
{
    return support::to_ms(interval) / 1000;
}

} // namespace

std::uint32_t limit_owner::stamp(support::time_point now) const
{
    const auto ms =
        std::chrono::floor<support::milliseconds>(now.time_since_epoch());
    return static_cast<std::uint32_t>(ms.count()) + stamp_offset_;
}

void limit_owner::arrange_holders(organisation_hash organisation,
                                  const limit& in_force,
                                  owned& state,
                                  support::time_point now) const
{
    const std::size_t count = share_count(in_force, members_.known_count());
    if (state.members_current && state.share_count == count)
        return;
    std::vector<lease> arranged;
    for (const member_hash holder : members_.holders(organisation, count)) {
        const auto known = std::find_if(
            state.leases.begin(), state.leases.end(),
            [&](const lease& held) { return held.holder == holder; });
        arranged.push_back(known == state.leases.end() ? lease{holder}
                                                       : *known);
        arranged.back().is_holder = true;
    }
    // Former holders are kept for some time, to recognise repeated grants.
    for (lease& held : state.leases) {
        const bool kept = std::any_of(
            arranged.begin(), arranged.end(),
            [&](const lease& other) { return other.holder == held.holder; });
        if (kept || now - held.polled_at > lease_time)
            continue;
        held.is_holder = false;
        arranged.push_back(held);
    }
    state.leases = std::move(arranged);
    state.share_count = count;
    state.members_current = true;
}

/// Adds the tokens of the leases until \p now and removes what exceeds the
/// capacity of the leased shares.
void limit_owner::accrue(const limit& in_force,
                         owned& state,
                         support::time_point now)
{
    double capacity = 0;
    for (lease& held : state.leases) {
        const auto end = std::min(now, held.until);
        if (end > held.accrued_to) {
            state.tokens += in_force.calls_per_s * held.weight *
                            seconds(end - held.accrued_to);
            held.accrued_to = end;
        }
        // The holder's share fills again after the lease, so the part of it
        // here must shrink at the same rate.
        const double refilled =
            now > held.until ? in_force.calls_per_s * seconds(now - held.until)
                             : 0;
        capacity += held.weight * std::max(0.0, in_force.capacity - refilled);
    }
    state.tokens = std::min(state.tokens, capacity);
}

double limit_owner::leased_weight(const owned& state, support::time_point now)
{
    double sum = 0;
    for (const lease& held : state.leases) {
        if (held.until > now)
            sum += held.weight;
    }
    return sum;
}

void limit_owner::poll_holders(organisation_hash organisation,
                               const limit& in_force,
                               owned& state,
                               support::time_point now,
                               outbox& out) const
{
    const auto count = static_cast<double>(state.share_count);
    // Twice the demand, so that renewals and peaks find enough.
    double wanted_weight =
        std::min(1.0, 2 * state.demand.per_s(now) / in_force.calls_per_s);
    double wanted_tokens = 0;
    for (const pending_request& waiting : state.pending)
        wanted_tokens += waiting.tokens;
    wanted_tokens -= state.tokens;
    const bool has_spare = state.tokens > in_force.capacity / 2;
    double missing = has_spare ? 0 : wanted_weight * count;
    for (const lease& held : state.leases) {
        if (!held.is_holder)
            continue;
        const bool in_flight =
            held.awaits_grant && now - held.polled_at < poll_interval;
        if (in_flight)
            wanted_tokens -= in_force.capacity / count;
        if (in_flight || held.until > now + renewal_time)
            missing -= 1;
    }
    if (wanted_tokens > 0)
        missing =
            std::max(missing, 1 + wanted_tokens * count / in_force.capacity);
    for (std::size_t tried = 0; tried < state.leases.size() && missing > 0;
         ++tried) {
        lease& held = state.leases[state.next_holder % state.leases.size()];
        ++state.next_holder;
        if (!held.is_holder || held.until > now + renewal_time ||
            now - held.polled_at < poll_interval ||
            members_.find_live(held.holder) == nullptr)
            continue;
        held.polled_at = now;
        held.awaits_grant = true;
        missing -= 1;
        out.add(held.holder, message_kind::poll, {organisation, 0, 0},
                stamp(now));
    }
}

/// Answers the pending requests, except while grants are expected that may
/// provide the tokens.
void limit_owner::serve(organisation_hash organisation,
                        const limit& in_force,
                        owned& state,
                        support::time_point now,
                        outbox& out)
{
    const bool awaits_grants = std::any_of(
        state.leases.begin(), state.leases.end(), [&](const lease& held) {
            return held.awaits_grant && now - held.polled_at < grant_time;
        });
    // While the shares of most holders are missing, as after a restart of the
    // whole fleet, they can arrive at any moment.
    const double leased = leased_weight(state, now);
    const double rate =
        in_force.calls_per_s * std::max(leased, least_hinted_part);
    const bool shares_missing =
        leased < required_part * std::min(1.0, state.demand.per_s(now) /
                                                   in_force.calls_per_s);
    while (!state.pending.empty()) {
        const pending_request& next = state.pending.front();
        const bool enough = state.tokens >= next.tokens;
        if (!enough && awaits_grants)
            return;
        const auto issued = static_cast<std::uint32_t>(std::min(
            {std::floor(state.tokens), static_cast<double>(next.tokens),
             static_cast<double>(max_issued)}));
        state.tokens -= issued;
        const auto hinted_ms = static_cast<std::uint32_t>(
            std::clamp(1000 / rate, min_retry_ms, max_retry_ms));
        const std::uint32_t retry_ms =
            enough ? 0 : (hinted_ms & ~1U) | (shares_missing ? 1U : 0U);
        out.add(next.entry, message_kind::reply,
                {organisation, next.number, issued | (retry_ms << 16)});
        state.pending.pop_front();
    }
}

void limit_owner::on_request(organisation_hash organisation,
                             member_hash entry,
                             std::uint32_t number,
                             std::uint32_t tokens,
                             support::time_point now,
                             outbox& out)
{
    const auto found = limits_.find(organisation);
    if (found == limits_.end() || tokens == 0 || tokens > max_issued)
        return;
    const limit& in_force = found->second;
    owned& state = owned_[organisation];
    arrange_holders(organisation, in_force, state, now);
    accrue(in_force, state, now);
    state.demand.add(tokens, now);
    state.last_request = now;
    state.released = false;
    if (state.pending.size() < max_pending)
        state.pending.push_back({entry, number, tokens});
    poll_holders(organisation, in_force, state, now, out);
    serve(organisation, in_force, state, now, out);
}

void limit_owner::on_grant(member_hash holder,
                           std::uint32_t stamp_of_poll,
                           const item& grant,
                           support::time_point now,
                           outbox& out)
{
    const auto position = owned_.find(grant.organisation);
    const auto found = limits_.find(grant.organisation);
    if (position == owned_.end() || found == limits_.end())
        return;
    owned& state = position->second;
    const auto held = std::find_if(
        state.leases.begin(), state.leases.end(),
        [&](const lease& candidate) { return candidate.holder == holder; });
    const support::milliseconds age(stamp(now) - stamp_of_poll);
    if (held == state.leases.end() || age >= lease_time)
        return;
    const bool repeated =
        held->was_granted &&
        static_cast<std::int32_t>(stamp_of_poll - held->stamp) <= 0;
    if (repeated)
        return;
    accrue(found->second, state, now);
    held->awaits_grant = false;
    if (grant.first != 0) {
        // The tokens that accrued after the end of the former lease come with
        // the grant.
        if (held->until < now)
            held->accrued_to = now;
        // The holder leaves its share for lease_time from the grant, which is
        // later than the poll.
        held->until = std::max(held->until, now - age + lease_time);
        held->weight = grant.first / share_unit;
        held->stamp = stamp_of_poll;
        held->was_granted = true;
        state.tokens += grant.second / token_unit;
        accrue(found->second, state, now);
    }
    // Grants may bring less than expected.
    if (!state.pending.empty())
        poll_holders(grant.organisation, found->second, state, now, out);
    serve(grant.organisation, found->second, state, now, out);
}

void limit_owner::on_tick(support::time_point now, outbox& out)
{
    std::erase_if(owned_, [&](const auto& entry) {
        return now - entry.second.last_request > idle_time ||
               !limits_.contains(entry.first);
    });
    for (auto& [organisation, state] : owned_) {
        if (state.released)
            continue;
        const limit& in_force = limits_.at(organisation);
        arrange_holders(organisation, in_force, state, now);
        accrue(in_force, state, now);
        poll_holders(organisation, in_force, state, now, out);
        serve(organisation, in_force, state, now, out);
    }
}

void limit_owner::on_fleet_changed(support::time_point now, outbox& out)
{
    for (auto& [organisation, state] : owned_) {
        state.members_current = false;
        const auto found = limits_.find(organisation);
        if (found == limits_.end() ||
            members_.owner(organisation) == members_.self())
            continue;
        accrue(found->second, state, now);
        const double weight = leased_weight(state, now);
        for (lease& held : state.leases) {
            if (held.until <= now)
                continue;
            const double tokens = state.tokens * held.weight / weight;
            out.add(held.holder, message_kind::release,
                    {organisation, held.stamp,
                     static_cast<std::uint32_t>(tokens * token_unit)});
            held.until = now;
            held.weight = 0;
        }
        // Entries ask the new owner again.
        state.pending.clear();
        state.tokens = 0;
        state.released = true;
    }
}

} // namespace galenarudder::organisations
