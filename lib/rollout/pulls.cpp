// From which peers, and when, a newer document is fetched.
#include "rollout_state.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>

namespace galenarudder::rollout {

namespace {

/// Maximum random delay of a pull after membership reports a newer version,
/// since a push is probably already in flight.
constexpr milliseconds pull_jitter{150};
/// Time after which another peer is asked beside one that has not answered, and
/// how many are asked at once.
constexpr milliseconds pull_patience{600};
constexpr std::size_t max_pulls = 3;
/// How long a peer that has not answered in that time comes last.
constexpr milliseconds slow_time{10'000};
/// Time for which a daemon with an open watch waits for the store's answer
/// before it pulls a version that it heard of: the store sends the same.
constexpr milliseconds watch_head_start{700};

} // namespace

/// Returns a random peer that has a newer version and is not being asked. Peers
/// that were slow come last, and behind others those that are behind the newest
/// version and those in a failure domain that is being asked, since the members
/// of a domain are often slow together.
std::optional<support::member_id> rollout::state::next_pull_peer(time_point now)
{
    if (highest_seen_version <= current_id.version)
        return std::nullopt;
    std::set<std::string_view> asked_domains;
    for (const support::member_id& id : pull_peers) {
        const auto asked = peers.find(id);
        if (asked != peers.end())
            asked_domains.insert(asked->second.domain);
    }
    using preference = std::tuple<bool, bool, bool>;
    std::map<preference, std::vector<support::member_id>> newer_peers;
    for (const auto& [id, peer] : peers) {
        if (!peer.accepts_transfers || peer.version <= current_id.version ||
            std::ranges::find(pull_peers, id) != pull_peers.end())
            continue;
        newer_peers[{now < peer.slow_until, peer.version < highest_seen_version,
                     asked_domains.contains(peer.domain)}]
            .push_back(id);
    }
    if (newer_peers.empty())
        return std::nullopt;
    const auto& preferred = newer_peers.begin()->second;
    return preferred[support::uniform_below(random, preferred.size())];
}

/// Records that a peer has \p version. It is pulled later: a push, or the
/// store's answer to an open watch, is probably in flight.
void rollout::state::hear_of(std::uint64_t version, time_point now)
{
    if (version <= highest_seen_version)
        return;
    highest_seen_version = version;
    if (version > current_id.version)
        lag.on_known(version, now);
    // Without a document nothing is served: it is pulled at once.
    if (current_id.version == 0) {
        first_heard_at = first_heard_at.value_or(now);
        return;
    }
    // Without a recent word of the store the watch may be lost.
    const milliseconds head_start = watch_open && confirmed.is_recent(now)
                                        ? watch_head_start
                                        : milliseconds(0);
    next_pull = std::max(next_pull, now + head_start + jitter(pull_jitter));
}

void rollout::state::pull_tick(std::vector<action>& actions, time_point now)
{
    if (pull_peers.size() >= max_pulls || building || now < next_pull)
        return;
    // Those that were asked before have not answered in time.
    for (const support::member_id& id : pull_peers) {
        const auto asked = peers.find(id);
        if (asked != peers.end())
            asked->second.slow_until = now + slow_time;
    }
    const auto newer_peer = next_pull_peer(now);
    if (!newer_peer)
        return;
    pull_peers.push_back(*newer_peer);
    next_pull = now + pull_patience;
    ++counters.pulls;
    actions.emplace_back(pull_from_peer{
        *newer_peer, peers.at(*newer_peer).operators, current_id});
}

std::vector<action> rollout::on_pull_answer(const support::member_id& peer,
                                            std::string_view encoded,
                                            time_point now)
{
    std::vector<action> actions;
    const bool is_check = peer == state_->checked_watcher;
    if (is_check)
        state_->checked_watcher.clear();
    const bool is_pull = std::erase(state_->pull_peers, peer) != 0;
    if (!is_check && !is_pull)
        return actions;
    if (is_pull)
        state_->next_pull = now + first_backoff;
    state_->last_contact = now;
    if (!encoded.empty())
        state_->take_transfer(encoded, peer, actions, now);
    return actions;
}

std::vector<action> rollout::on_pull_failed(const support::member_id& peer,
                                            time_point now)
{
    if (peer == state_->checked_watcher) {
        state_->checked_watcher.clear();
        state_->pass_over(peer, now);
        if (!state_->watching)
            state_->next_watch = now;
    }
    if (std::erase(state_->pull_peers, peer) == 0)
        return {};
    ++state_->counters.pulls_failed;
    state_->next_pull = now + state_->jitter(first_backoff);
    return {};
}

} // namespace galenarudder::rollout
