// Dissemination of updates: piggybacks own updates on datagrams and applies
// received ones.
#include "member_state.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::membership {

namespace {

/// With up to this many other live members, new records received by
/// anti-entropy are disseminated too, so that groups that meet know each other
/// within seconds. In larger fleets these updates would use up the byte budget
/// of 2,000 bytes/s.
constexpr std::size_t small_fleet_members = 128;

/// Transmissions of one update for each decade of the number of members.
constexpr double transmissions_per_decade = 3;
/// With more updates in the queue than this, each is sent fewer times;
/// anti-entropy delivers the updates that are missed.
constexpr double uncrowded_queue_size = 32;
constexpr double min_transmissions = 2;
constexpr unsigned version_transmissions = 3;
constexpr std::size_t max_versions_sent = 10;

/// Of two states reported for the same incarnation, the one with the higher
/// precedence wins.
int precedence(member_state state)
{
    switch (state) {
    case member_state::joining:
    case member_state::alive:
    case member_state::draining:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::dead:
        return 2;
    case member_state::left:
        return 3;
    }
    return 0;
}

bool supersedes(std::uint64_t incarnation,
                member_state reported_state,
                const peer& known_peer)
{
    if (incarnation != known_peer.record.incarnation)
        return incarnation > known_peer.record.incarnation;
    return precedence(reported_state) > precedence(known_peer.last_state);
}

} // namespace

unsigned member::state::transmission_limit() const
{
    const auto member_count = static_cast<double>(table.live().size() + 2);
    const double uncrowded_limit =
        transmissions_per_decade * std::ceil(std::log10(member_count));
    const double crowding_factor = std::max(
        1.0, static_cast<double>(updates.size()) / uncrowded_queue_size);
    return static_cast<unsigned>(
        std::max(min_transmissions, uncrowded_limit / crowding_factor));
}

status_update member::state::make_status_update(const peer& known_peer,
                                                member_hash suspected_by) const
{
    status_update update;
    update.member = known_peer.hash;
    update.incarnation = known_peer.record.incarnation;
    update.content_hash = known_peer.content_hash;
    const bool suspected =
        suspected_by != 0 && suspicions.find(known_peer.hash) != nullptr;
    update.state = suspected ? member_state::suspect : known_peer.last_state;
    update.suspected_by = suspected ? suspected_by : 0;
    return update;
}

void member::state::add_updates(message& outgoing,
                                std::size_t room_bytes,
                                const peer* target)
{
    // A member that is recorded as suspect, dead or left must learn of it
    // first, so that it can refute.
    const bool target_has_to_refute =
        target != nullptr && target != &table.self() &&
        (suspicions.find(target->hash) != nullptr ||
         !is_live(target->last_state));
    if (target_has_to_refute && room_bytes >= status_bytes) {
        outgoing.status_updates.push_back(
            make_status_update(*target, table.self().hash));
        room_bytes -= status_bytes;
    }
    add_status_updates(outgoing, room_bytes);
    add_version_updates(outgoing, room_bytes);
}

void member::state::add_status_updates(message& outgoing,
                                       std::size_t& room_bytes)
{
    std::vector<queued_update> included;
    while (room_bytes >= status_bytes) {
        const std::optional<queued_update> queued = updates.pop();
        if (!queued)
            break;
        const peer* known_peer = table.find(queued->member);
        if (known_peer == nullptr) {
            // The limit 0 drops the update of a member that is unknown by now.
            updates.mark_sent(*queued, 0);
            continue;
        }
        const bool with_record = queued->kind == update_kind::record;
        // A suspicion is sent as a status update, in addition to the record if
        // that is queued too.
        const bool with_status = !with_record || queued->suspected_by != 0;
        const std::size_t size =
            (with_record ? record_bytes(known_peer->record) : 0) +
            (with_status ? status_bytes : 0);
        if (size > room_bytes) {
            updates.put_back(*queued);
            break;
        }
        room_bytes -= size;
        included.push_back(*queued);
        if (with_status)
            outgoing.status_updates.push_back(
                make_status_update(*known_peer, queued->suspected_by));
        if (!with_record)
            continue;
        outgoing.records.push_back(known_peer->record);
        outgoing.records.back().state = known_peer->last_state;
    }
    for (const queued_update& update : included)
        updates.mark_sent(update, transmission_limit());
}

void member::state::add_version_updates(message& outgoing,
                                        std::size_t& room_bytes)
{
    std::vector<queued_update> included;
    while (room_bytes >= version_bytes && included.size() < max_versions_sent) {
        const std::optional<queued_update> queued = version_updates.pop();
        if (!queued)
            break;
        included.push_back(*queued);
        const peer* known_peer = table.find(queued->member);
        if (known_peer == nullptr)
            continue;
        room_bytes -= version_bytes;
        outgoing.version_updates.push_back(
            {known_peer->hash, known_peer->record.configuration_version});
    }
    for (const queued_update& update : included)
        version_updates.mark_sent(update, version_transmissions);
}

void member::state::gossip_now(std::size_t fanout, support::time_point now)
{
    const std::size_t targets = std::min(fanout, table.live().size());
    std::vector<const peer*> receivers;
    for (std::size_t attempt = 0; attempt < 2 * targets; ++attempt) {
        const peer* target = table.random_live(random);
        if (std::find(receivers.begin(), receivers.end(), target) !=
            receivers.end())
            continue;
        receivers.push_back(target);
        send(*target, gossip{}, now);
        if (receivers.size() == targets)
            return;
    }
}

void member::state::report_change(const peer& known_peer, bool only_version)
{
    actions.emplace_back(record_changed{known_peer.record, only_version});
}

void member::state::request_record(member_hash unknown_member)
{
    const bool full = members_to_fetch.size() >= max_fetched_members;
    if (!full && std::find(members_to_fetch.begin(), members_to_fetch.end(),
                           unknown_member) == members_to_fetch.end())
        members_to_fetch.push_back(unknown_member);
}

void member::state::apply_record(const member_record& received,
                                 bool disseminate,
                                 support::time_point now)
{
    if (received.id == table.self().record.id) {
        refute_report_about_self(received.incarnation, received.state);
        return;
    }
    const member_hash hash = hash_of(received.id);
    peer* known_peer = table.find(hash);
    if (known_peer != nullptr && known_peer->record.id != received.id)
        return;
    // Suspicions are sent as status updates, not in records. A record of an
    // unknown member that left or died is useless.
    const bool allowed_in_record = received.state != member_state::suspect;
    if (!allowed_in_record ||
        (known_peer == nullptr && !is_live(received.state)))
        return;
    if (known_peer == nullptr) {
        known_peer = &table.add(received, now);
        insert_into_probe_order(*known_peer);
        disseminate = disseminate || is_small_fleet();
    } else {
        if (!supersedes(received.incarnation, received.state, *known_peer))
            return;
        const bool returned =
            !is_live(known_peer->last_state) && is_live(received.state);
        member_record next_record = received;
        if (!returned) {
            next_record.configuration_version =
                std::max(received.configuration_version,
                         known_peer->record.configuration_version);
        }
        suspicions.close(hash);
        table.replace(*known_peer, std::move(next_record), now);
        if (returned)
            insert_into_probe_order(*known_peer);
    }
    if (disseminate)
        updates.push({hash, update_kind::record});
    report_change(*known_peer);
}

bool member::state::is_small_fleet() const
{
    return table.live().size() <= small_fleet_members;
}

void member::state::change_state(peer& known_peer,
                                 std::uint64_t incarnation,
                                 member_state reported_state,
                                 support::time_point now)
{
    const bool returned =
        !is_live(known_peer.last_state) && is_live(reported_state);
    if (reported_state == member_state::dead)
        ++counters.deaths;
    suspicions.close(known_peer.hash);
    member_record next_record = known_peer.record;
    next_record.incarnation = incarnation;
    next_record.state = reported_state;
    table.replace(known_peer, std::move(next_record), now);
    if (returned)
        insert_into_probe_order(known_peer);
    updates.push({known_peer.hash, update_kind::status});
    report_change(known_peer);
}

void member::state::apply_status_update(const status_update& update,
                                        support::time_point now)
{
    if (update.member == table.self().hash) {
        refute_report_about_self(update.incarnation, update.state);
        return;
    }
    peer* known_peer = table.find(update.member);
    if (known_peer == nullptr) {
        if (is_live(update.state))
            request_record(update.member);
        return;
    }
    const bool newer = update.incarnation > known_peer->record.incarnation;
    if (update.state == member_state::suspect) {
        if (newer)
            request_record(update.member);
        else if (update.incarnation == known_peer->record.incarnation &&
                 is_live(known_peer->last_state))
            suspect(*known_peer, update.suspected_by, now);
        return;
    }
    if (!supersedes(update.incarnation, update.state, *known_peer))
        return;
    if (is_live(update.state) &&
        update.content_hash != known_peer->content_hash) {
        request_record(update.member);
        return;
    }
    change_state(*known_peer, update.incarnation, update.state, now);
}

void member::state::apply_version(peer& known_peer, std::uint64_t version)
{
    if (&known_peer == &table.self() ||
        version <= known_peer.record.configuration_version)
        return;
    known_peer.record.configuration_version = version;
    // The kind is not used in this queue.
    version_updates.push({known_peer.hash, update_kind::status});
    report_change(known_peer, true);
}

void member::state::apply_sender_state(const message& received,
                                       support::time_point now)
{
    const member_hash hash = hash_of(received.sender);
    peer* sender = table.find(hash);
    if (sender == nullptr) {
        request_record(hash);
        return;
    }
    if (sender->window.start_incarnation() == 0)
        sender->window.admit(received.start_incarnation, received.sequence);
    apply_version(*sender, received.configuration_version);
    if (received.incarnation > sender->record.incarnation) {
        request_record(hash);
        return;
    }
    // The member refutes when it learns that it is recorded as dead.
    const bool recorded_dead = sender->last_state == member_state::dead;
    if (recorded_dead && may_send(now))
        send(*sender, gossip{}, now);
}

void member::state::raise_incarnation(std::uint64_t above)
{
    peer& self = table.self();
    member_record next_record = self.record;
    next_record.incarnation = std::min(max_incarnation, above + 1);
    table.replace(self, std::move(next_record), self.changed_at);
    updates.push({self.hash, update_kind::status});
    incarnation_raised = true;
}

void member::state::refute_report_about_self(std::uint64_t incarnation,
                                             member_state reported_state)
{
    const peer& self = table.self();
    if (self.last_state == member_state::left)
        return;
    const bool newer = incarnation > self.record.incarnation;
    const bool contradicted =
        incarnation == self.record.incarnation &&
        precedence(reported_state) > precedence(self.last_state);
    if (!newer && !contradicted)
        return;
    ++counters.refutations;
    if (reported_state == member_state::suspect)
        adjust_health_penalty(1);
    raise_incarnation(incarnation);
}

} // namespace galenarudder::membership
