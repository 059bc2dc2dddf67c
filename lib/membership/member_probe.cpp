// Failure detection: direct probes, indirect probes through relays, and
// suspicion with local health awareness (Lifeguard).
#include "member_state.hpp"

#include <algorithm>

namespace galenarudder::membership {

namespace {

constexpr support::milliseconds probe_interval{1000};
constexpr support::milliseconds probe_timeout{300};
constexpr unsigned relays_per_probe = 3;
constexpr int max_health_penalty = 8;
constexpr std::size_t max_relayed_probes = 64;
/// A longer gap between two ticks means that the process did not run.
constexpr support::milliseconds pause_threshold{1500};

support::duration scaled(support::duration span, int penalty)
{
    return span * (penalty + 1);
}

} // namespace

void member::state::adjust_health_penalty(int steps)
{
    health_penalty = std::clamp(health_penalty + steps, 0, max_health_penalty);
}

void member::state::compensate_pause(support::time_point now)
{
    const bool is_first_tick = last_tick == support::time_point{};
    const support::duration gap =
        is_first_tick ? support::duration{} : now - last_tick;
    last_tick = now;
    if (is_first_tick) {
        first_tick = now;
        next_probe_at = now + jittered(probe_interval);
        return;
    }
    if (gap < pause_threshold)
        return;
    // Acks may still be unread in the socket, so no member is suspected because
    // of a pause of this process.
    ++counters.pauses;
    adjust_health_penalty(1);
    round.reset();
    relayed_probes.clear();
    next_probe_at = now + jittered(probe_interval);
    suspicions.postpone(gap);
}

void member::state::insert_into_probe_order(const peer& added)
{
    const std::size_t remaining = probe_order.size() - probe_position;
    const auto position = static_cast<std::ptrdiff_t>(
        probe_position + support::uniform_below(random, remaining + 1));
    probe_order.insert(probe_order.begin() + position, added.hash);
}

void member::state::probe_tick(support::time_point now)
{
    if (round && !round->indirect_requested && now >= round->indirect_at)
        request_indirect_probes(now);
    if (round && now >= round->ends_at)
        on_probe_failed(now);
    if (!round && now >= next_probe_at)
        start_probe(now);
}

void member::state::start_probe(support::time_point now)
{
    const support::duration interval = scaled(probe_interval, health_penalty);
    next_probe_at = now + interval;
    const peer* target = nullptr;
    for (std::size_t attempt = 0; attempt <= table.live().size(); ++attempt) {
        if (probe_position >= probe_order.size()) {
            probe_order.clear();
            probe_position = 0;
            for (const peer* known_peer : table.live())
                probe_order.push_back(known_peer->hash);
            std::shuffle(probe_order.begin(), probe_order.end(), random);
        }
        if (probe_order.empty())
            return;
        target = table.find(probe_order[probe_position++]);
        if (target != nullptr && is_live(target->last_state))
            break;
        target = nullptr;
    }
    if (target == nullptr)
        return;
    probe_round new_round;
    new_round.target = target->hash;
    new_round.number = next_probe_number++;
    new_round.indirect_at = now + scaled(probe_timeout, health_penalty);
    new_round.ends_at = now + interval;
    round = new_round;
    send(*target, probe{new_round.number}, now);
}

void member::state::request_indirect_probes(support::time_point now)
{
    round->indirect_requested = true;
    const peer* target = table.find(round->target);
    if (target == nullptr) {
        round.reset();
        return;
    }
    // Repeat the direct probe, since the first datagram or its ack may have
    // been lost.
    send(*target, probe{round->number}, now);
    std::vector<const peer*> relays;
    for (unsigned attempt = 0; attempt < 2 * relays_per_probe; ++attempt) {
        const peer* relay = table.random_live(random);
        const bool eligible =
            relay != target &&
            std::find(relays.begin(), relays.end(), relay) == relays.end();
        if (!eligible || relays.size() == relays_per_probe)
            continue;
        relays.push_back(relay);
        send(*relay, probe_request{round->number, target->hash}, now);
    }
    round->relay_count = static_cast<unsigned>(relays.size());
}

void member::state::on_probe_failed(support::time_point now)
{
    ++counters.probes_failed;
    // Relays that sent neither ack nor nack suggest a fault of the own network.
    const int unanswered =
        static_cast<int>(round->relay_count - round->nack_count);
    adjust_health_penalty(round->relay_count > 0 ? unanswered : 1);
    peer* target = table.find(round->target);
    round.reset();
    if (target == nullptr || !is_live(target->last_state))
        return;
    suspect(*target, table.self().hash, now);
    // If the target is alive, it is the first to learn of it and refutes.
    send(*target, gossip{}, now);
}

void member::state::on(const probe& body, const envelope& incoming)
{
    send(incoming.from, incoming.sender, ack{body.number}, {}, incoming.now);
}

void member::state::on(const ack& body, const envelope& incoming)
{
    if (round && round->number == body.number) {
        adjust_health_penalty(-1);
        round.reset();
        return;
    }
    const auto relayed =
        std::find_if(relayed_probes.begin(), relayed_probes.end(),
                     [&](const relayed_probe& probe_sent) {
                         return probe_sent.number == body.number;
                     });
    if (relayed == relayed_probes.end())
        return;
    send(relayed->requester, relayed->requester_hash,
         ack{relayed->requester_probe_number}, {}, incoming.now);
    relayed_probes.erase(relayed);
}

void member::state::on(const nack& body, const envelope&)
{
    if (round && round->number == body.number &&
        round->nack_count < round->relay_count)
        ++round->nack_count;
}

void member::state::on(const probe_request& body, const envelope& incoming)
{
    const peer* target = table.find(body.target);
    if (target == nullptr || target == &table.self() ||
        relayed_probes.size() >= max_relayed_probes)
        return;
    relayed_probe new_probe;
    new_probe.number = next_probe_number++;
    new_probe.requester = incoming.from;
    new_probe.requester_hash = incoming.sender;
    new_probe.requester_probe_number = body.number;
    new_probe.nack_at = incoming.now + probe_timeout;
    relayed_probes.push_back(new_probe);
    send(*target, probe{new_probe.number}, incoming.now);
}

void member::state::relay_tick(support::time_point now)
{
    std::erase_if(relayed_probes, [&](const relayed_probe& relayed) {
        if (now < relayed.nack_at)
            return false;
        send(relayed.requester, relayed.requester_hash,
             nack{relayed.requester_probe_number}, {}, now);
        return true;
    });
}

void member::state::suspect(peer& known_peer,
                            member_hash suspected_by,
                            support::time_point now)
{
    if (suspicions.find(known_peer.hash) != nullptr) {
        if (suspicions.confirm(known_peer.hash, suspected_by))
            updates.push({known_peer.hash, update_kind::status, suspected_by});
        return;
    }
    ++counters.suspicions;
    suspicions.open({known_peer.hash, known_peer.record.incarnation,
                     suspected_by, table.live().size() + 1, now});
    updates.push({known_peer.hash, update_kind::status, suspected_by});
    // A draining member is still shown as draining, so that it gets no new
    // calls.
    if (known_peer.last_state != member_state::alive)
        return;
    table.set_visible_state(known_peer, member_state::suspect, now);
    report_change(known_peer);
}

void member::state::suspicion_tick(support::time_point now)
{
    while (const std::optional<member_hash> expired = suspicions.expired(now)) {
        peer* known_peer = table.find(*expired);
        if (known_peer == nullptr) {
            suspicions.close(*expired);
            continue;
        }
        change_state(*known_peer, known_peer->record.incarnation,
                     member_state::dead, now);
    }
}

} // namespace galenarudder::membership
