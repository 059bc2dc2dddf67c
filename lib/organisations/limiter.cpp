// Passes messages between the sides, without datagrams within one daemon.
#include "galenarudder/organisations/limiter.hpp"

#include <algorithm>

namespace galenarudder::organisations {

namespace {

/// The organisation of polls that only ask how many members others know.
constexpr organisation_hash no_organisation = 0;
constexpr support::duration greeting_interval = std::chrono::milliseconds(500);
constexpr std::size_t greeted_members = 3;
constexpr double release_unit = 1000;

} // namespace

limiter::limiter(support::member_id self,
                 peer_expectation expects_peers,
                 const tolerance& allowed,
                 std::uint64_t seed)
    : allowed_(allowed), members_(std::move(self), expects_peers),
      shares_(members_, limits_), client_(members_, limits_, shares_, seed),
      owner_(members_, limits_, static_cast<std::uint32_t>(seed >> 32))
{
}

void limiter::configure(std::span<const organisation_rate> rates,
                        support::time_point now)
{
    limit_table next;
    for (const organisation_rate& rate : rates) {
        if (rate.calls_per_s <= 0)
            continue;
        const organisation_hash hash = hash_of(rate.name);
        const auto before = limits_.find(hash);
        const auto since = before == limits_.end() ? now : before->second.since;
        next[hash] = make_limit(rate.calls_per_s, rate.burst, allowed_, since);
    }
    limits_ = std::move(next);
}

std::vector<action>
limiter::on_members(std::span<const observed_member> members,
                    support::time_point now)
{
    if (!members_.update(members, now))
        return {};
    owner_.on_fleet_changed(now, outbox_);
    client_.on_fleet_changed();
    return flush(now);
}

std::vector<action> limiter::on_message(std::string_view peer,
                                        std::string_view payload,
                                        support::time_point now)
{
    const std::optional<message> received = decode(payload);
    if (!received) {
        ++counters_.malformed;
        return {};
    }
    if (received->known > 0)
        members_.on_known_count(received->known, now);
    deliver(hash_of(peer), *received, now);
    return flush(now);
}

void limiter::deliver(member_hash from,
                      const message& received,
                      support::time_point now)
{
    for (const item& entry : received.items) {
        switch (received.kind) {
        case message_kind::request:
            owner_.on_request(entry.organisation, from, entry.first,
                              entry.second, now, outbox_);
            break;
        case message_kind::reply:
            client_.on_reply(from, entry, now);
            break;
        case message_kind::poll:
            outbox_.add(
                from, message_kind::grant,
                shares_.on_poll(entry.organisation, from, received.stamp, now),
                received.stamp);
            break;
        case message_kind::grant:
            owner_.on_grant(from, received.stamp, entry, now, outbox_);
            break;
        case message_kind::release:
            shares_.on_release(entry.organisation, from, entry.first,
                               entry.second / release_unit, now);
            break;
        }
    }
}

std::vector<action> limiter::on_tick(support::time_point now)
{
    if (members_.on_tick(now)) {
        owner_.on_fleet_changed(now, outbox_);
        client_.on_fleet_changed();
    }
    ask_for_known_count(now);
    owner_.on_tick(now, outbox_);
    shares_.on_tick(now);
    client_.on_tick(now);
    return flush(now);
}

/// A member that restarted learns from others of members that are absent now
/// but have shares.
void limiter::ask_for_known_count(support::time_point now)
{
    if (limits_.empty() || members_.has_share() ||
        now - last_greeting_ < greeting_interval)
        return;
    last_greeting_ = now;
    const std::vector<member_hash> peers = members_.live_peers();
    if (!peers.empty())
        members_.on_known_count_asked(now);
    for (std::size_t count = 0; count < std::min(greeted_members, peers.size());
         ++count)
        outbox_.add(peers[next_greeted_++ % peers.size()], message_kind::poll,
                    {no_organisation, 0, 0});
}

std::vector<action> limiter::flush(support::time_point now)
{
    client_.send_requests(now, outbox_);
    return take_actions(now);
}

std::vector<action> limiter::take_actions(support::time_point now)
{
    const auto known = static_cast<std::uint16_t>(
        members_.has_share()
            ? std::min<std::size_t>(members_.known_count(), 0xffff)
            : 0);
    std::vector<action> actions;
    while (!outbox_.empty()) {
        for (const auto& [to, outgoing] : outbox_.take(known)) {
            if (to == members_.self()) {
                deliver(to, outgoing, now);
                client_.send_requests(now, outbox_);
                continue;
            }
            const support::member_id* peer = members_.find_live(to);
            if (peer == nullptr)
                continue;
            std::string payload = encode(outgoing);
            ++counters_.messages_sent;
            counters_.bytes_sent += payload.size();
            actions.emplace_back(send_message{*peer, std::move(payload)});
        }
    }
    for (const admission& decided : client_.take_decided())
        actions.emplace_back(call_decided{decided});
    return actions;
}

} // namespace galenarudder::organisations
