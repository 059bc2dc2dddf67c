// The calls by which observers ask the store, and what they state to others.
#include "rollout_state.hpp"

#include "watcher_hash.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace galenarudder::rollout {

namespace {

/// How long the order of the observers is used before it is made anew.
constexpr milliseconds observer_selection_interval{500};
/// Bounds what one member sends each second to all observers. A datagram has
/// about 142 bytes, of 4 KB/s that control may use.
constexpr std::size_t max_observers = 24;

} // namespace

/// Returns the place of this member in the order of the observers; their number
/// if it is none.
std::size_t rollout::state::observer_rank(time_point now)
{
    if (now >= next_observer_selection) {
        next_observer_selection = now + observer_selection_interval;
        std::vector<observer_candidate> candidates;
        candidates.reserve(peers.size() + 1);
        candidates.push_back({member, domain, watcher_hash(member)});
        for (const auto& [id, peer] : peers) {
            if (!peer.accepts_transfers || now < peer.silent_until)
                continue;
            candidates.push_back({id, peer.domain, watcher_hash(id)});
        }
        observers =
            select_observers(candidates, watchers + standbys_per_domain);
        observers.resize(std::min(observers.size(), max_observers));
    }
    const auto own = std::find(observers.begin(), observers.end(), member);
    return static_cast<std::size_t>(own - observers.begin());
}

void rollout::state::observe_tick(std::vector<action>& actions, time_point now)
{
    if (!settled)
        return;
    confirmed.start(now);
    share_answer(actions, now);
    if (asked_at || now < next_ask ||
        confirmed.age(now) < store_confirmation::interval)
        return;
    const std::size_t rank = observer_rank(now);
    if (!confirmed.is_due(rank, observers.size(), current_id.version, now))
        return;
    ++counters.store_asks;
    asked_at = now;
    asked_index = known_index;
    actions.emplace_back(ask_store{known_index});
}

/// Tells the other observers what the store answered, once its document has
/// been built.
void rollout::state::share_answer(std::vector<action>& actions, time_point now)
{
    if (!unshared_answer || next_from_store ||
        (building && building->index.has_value()))
        return;
    const time_point as_of = *std::exchange(unshared_answer, {});
    confirmed.on_confirmed(current_id.version, as_of);
    const confirmation stated{current_id.version,
                              std::chrono::ceil<milliseconds>(now - as_of)};
    static_cast<void>(observer_rank(now));
    for (const support::member_id& observer : observers) {
        if (observer != member)
            actions.emplace_back(send_confirmation{observer, stated});
    }
}

std::vector<action> rollout::on_store_asked(std::string_view text,
                                            const store::change_index& index,
                                            time_point now)
{
    std::vector<action> actions;
    if (!state_->asked_at)
        return actions;
    state_->unshared_answer = std::exchange(state_->asked_at, {});
    state_->last_contact = now;
    state_->handed_over = state_->stopping;
    // Otherwise a watch has answered meanwhile.
    const bool changed = index != state_->asked_index &&
                         state_->known_index == state_->asked_index;
    if (changed) {
        state_->known_index = index;
        if (index.is_absent())
            state_->restore(index, actions);
        else
            state_->take_document_of_store(text, index, actions, now);
        // The answer to a watch that was open is lost, or is the same.
        state_->watch_open = false;
        ++state_->watch_number;
    }
    state_->share_answer(actions, now);
    return actions;
}

std::vector<action> rollout::on_ask_failed(time_point now)
{
    std::vector<action> actions;
    state_->asked_at.reset();
    ++state_->counters.store_asks_failed;
    const std::size_t rank = state_->observer_rank(now);
    state_->next_ask =
        state_->confirmed.next_turn(rank, state_->observers.size(), now);
    state_->hand_over(actions, now);
    return actions;
}

void rollout::on_confirmation(const confirmation& heard, time_point now)
{
    ++state_->counters.confirmations_heard;
    state_->confirmed.on_confirmed(heard.version, now - heard.age);
}

std::optional<support::duration> rollout::confirmation_age(time_point now) const
{
    const auto own = std::ranges::find(state_->observers, state_->member);
    if (own == state_->observers.end())
        return std::nullopt;
    return state_->confirmed.age(now);
}

} // namespace galenarudder::rollout
