// The selection of the members that watch the store, and what they hand over.
#include "rollout_state.hpp"

#include "watcher_hash.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace galenarudder::rollout {

namespace {

/// The first watch waits until no new member of the failure domain was heard of
/// for this long, since a member that knows few others yet would consider
/// itself one of the first of its domain.
constexpr milliseconds watch_settling{600};
/// The longest that the first watch waits in a running fleet, and in a new one,
/// whose members have to find each other first.
constexpr milliseconds max_watch_delay{1500};
constexpr milliseconds max_watch_delay_of_new_fleet{4000};
/// How long a member watches the store in place of another that asked it to.
/// Membership knows by then that the other has gone.
constexpr milliseconds handover_time{10'000};
/// Interval at which a standby asks one of the watchers of its domain.
constexpr milliseconds watcher_check_interval{500};
/// How long a watcher that did not answer is passed over.
constexpr milliseconds silent_time{10'000};

} // namespace

/// Returns whether this member knows enough of its failure domain to tell
/// whether it is one of the watchers.
bool rollout::state::is_settled(time_point now) const
{
    const bool is_new_fleet = new_fleet.value_or(false);
    const bool too_long =
        now - started_at >=
        (is_new_fleet ? max_watch_delay_of_new_fleet : max_watch_delay);
    return too_long ||
           (!peers.empty() && now - heard_of_member_at >= watch_settling);
}

/// Returns the number of members of \p of_domain that are asked to watch the
/// store before \p id is.
std::size_t rollout::state::watchers_before(std::string_view id,
                                            std::string_view of_domain,
                                            time_point now) const
{
    const auto own = std::pair(watcher_hash(id), id);
    std::size_t lower_hash_count = 0;
    const auto count = [&](std::string_view other_id) {
        const auto other = std::pair(watcher_hash(other_id), other_id);
        lower_hash_count += other < own ? 1 : 0;
    };
    for (const auto& [other_id, peer] : peers) {
        if (peer.domain == of_domain && peer.accepts_transfers &&
            now >= peer.silent_until)
            count(other_id);
    }
    if (domain == of_domain)
        count(member);
    return lower_hash_count;
}

bool rollout::state::should_watch(time_point now) const
{
    return now < watches_for_other_until ||
           watchers_before(member, domain, now) < watchers;
}

bool rollout::state::watches(const known_peer& peer,
                             const support::member_id& id,
                             time_point now) const
{
    return now >= peer.silent_until &&
           watchers_before(id, peer.domain, now) < watchers;
}

/// Returns the other members of the own failure domain that may watch the
/// store, in the order in which they are asked to.
std::vector<support::member_id>
rollout::state::watch_order(time_point now) const
{
    std::vector<std::pair<std::uint64_t, support::member_id>> order;
    for (const auto& [id, peer] : peers) {
        const bool may_watch = peer.domain == domain &&
                               peer.accepts_transfers &&
                               now >= peer.silent_until;
        if (may_watch)
            order.emplace_back(watcher_hash(id), id);
    }
    std::sort(order.begin(), order.end());
    std::vector<support::member_id> ids;
    ids.reserve(order.size());
    for (auto& [hash, id] : order)
        ids.push_back(std::move(id));
    return ids;
}

/// Asks the first members that do not watch to do so from now on, as many as
/// there are watchers, since all of them may be stopping.
void rollout::state::hand_over(std::vector<action>& actions, time_point now)
{
    if (!watching || handed_over)
        return;
    handed_over = true;
    asked_to_watch.clear();
    std::size_t asked = 0;
    for (const support::member_id& id : watch_order(now)) {
        if (asked == watchers)
            return;
        if (watches(peers.at(id), id, now))
            continue;
        ++asked;
        ++counters.handovers;
        asked_to_watch.push_back(id);
        transfer request{{}, current_id, {}};
        request.asks_to_watch = true;
        actions.emplace_back(
            push_to_peer{id, peers.at(id).operators, encode(request)});
    }
}

/// Leaves a member that does not answer out of the watchers for a while.
void rollout::state::pass_over(const support::member_id& id, time_point now)
{
    const auto silent_peer = peers.find(id);
    if (silent_peer == peers.end())
        return;
    ++counters.silent_watchers;
    silent_peer->second.silent_until = now + silent_time;
}

void rollout::state::take_over(time_point now)
{
    watches_for_other_until = now + handover_time;
    settled = true;
    if (!watching)
        next_watch = now;
}

/// A standby, which is next in the order behind the watchers, asks one of them
/// for a newer document. One that does not answer is passed over, so that the
/// standby takes its place long before membership has declared it dead.
void rollout::state::check_watcher_tick(std::vector<action>& actions,
                                        time_point now)
{
    if (watching || !checked_watcher.empty() || now < next_watcher_check)
        return;
    const std::size_t before = watchers_before(member, domain, now);
    next_watcher_check = now + watcher_check_interval;
    if (before >= watchers + standbys_per_domain)
        return;
    const std::vector<support::member_id> order = watch_order(now);
    const std::size_t choices = std::min(watchers, order.size());
    if (choices == 0)
        return;
    checked_watcher = order[support::uniform_below(random, choices)];
    actions.emplace_back(pull_from_peer{
        checked_watcher, peers.at(checked_watcher).operators, current_id});
}

void rollout::state::watch_tick(std::vector<action>& actions, time_point now)
{
    settled = settled || is_settled(now);
    watching = settled && should_watch(now);
    if (!watching || watch_open || now < next_watch)
        return;
    watch_open = true;
    ++watch_number;
    ++counters.store_watches;
    actions.emplace_back(watch_store{watch_number, known_index});
}

} // namespace galenarudder::rollout
