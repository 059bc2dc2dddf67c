// Finds failed members: direct probes, probes through relays, suspicion with
// local-health awareness (Lifeguard).
#include "member_state.hpp"

#include <algorithm>

namespace galenarudder::membership {

namespace {

constexpr support::milliseconds probe_interval{1000};
constexpr support::milliseconds probe_timeout{300};
constexpr unsigned relays_per_probe = 3;
constexpr int max_health_penalty = 8;
constexpr std::size_t max_relayed = 64;
/// A tick later than this means that the process did not run.
constexpr support::milliseconds pause_threshold{1500};

support::duration scaled(support::duration span, int penalty)
{
    return span * (penalty + 1);
}

} // namespace

void member::state::change_health(int steps)
{
    health_penalty = std::clamp(health_penalty + steps, 0, max_health_penalty);
}

void member::state::forgive_pause(support::time_point now)
{
    const bool first = last_tick == support::time_point{};
    const support::duration gap = first ? support::duration{} : now - last_tick;
    last_tick = now;
    if (first) {
        first_tick = now;
        next_probe = now + jittered(probe_interval);
        return;
    }
    if (gap < pause_threshold)
        return;
    // Acks may wait unread in the socket; blame nobody for the own pause.
    ++counters.pauses;
    change_health(1);
    round.reset();
    relayed.clear();
    next_probe = now + jittered(probe_interval);
    suspicions.postpone(gap);
}

void member::state::expect_probe_of(const peer& added)
{
    const std::size_t left = probe_order.size() - probe_position;
    const auto place = static_cast<std::ptrdiff_t>(
        probe_position + support::uniform_below(random, left + 1));
    probe_order.insert(probe_order.begin() + place, added.hash);
}

void member::state::probe_tick(support::time_point now)
{
    if (round && !round->asked_relays && now >= round->relays_at)
        ask_relays(now);
    if (round && now >= round->ends_at)
        probe_failed(now);
    if (!round && now >= next_probe)
        start_probe(now);
}

void member::state::start_probe(support::time_point now)
{
    const support::duration interval = scaled(probe_interval, health_penalty);
    next_probe = now + interval;
    const peer* target = nullptr;
    for (std::size_t tries = 0; tries <= table.live().size(); ++tries) {
        if (probe_position >= probe_order.size()) {
            probe_order.clear();
            probe_position = 0;
            for (const peer* known : table.live())
                probe_order.push_back(known->hash);
            std::shuffle(probe_order.begin(), probe_order.end(), random);
        }
        if (probe_order.empty())
            return;
        target = table.find(probe_order[probe_position++]);
        if (target != nullptr && is_live(target->stated))
            break;
        target = nullptr;
    }
    if (target == nullptr)
        return;
    probe_round started;
    started.target = target->hash;
    started.number = next_probe_number++;
    started.relays_at = now + scaled(probe_timeout, health_penalty);
    started.ends_at = now + interval;
    round = started;
    send(*target, probe{started.number}, now);
}

void member::state::ask_relays(support::time_point now)
{
    round->asked_relays = true;
    const peer* target = table.find(round->target);
    if (target == nullptr) {
        round.reset();
        return;
    }
    // A second direct probe, since one datagram may simply be lost.
    send(*target, probe{round->number}, now);
    std::vector<const peer*> asked;
    for (unsigned tries = 0; tries < 2 * relays_per_probe; ++tries) {
        const peer* relay = table.random_live(random);
        const bool usable =
            relay != target &&
            std::find(asked.begin(), asked.end(), relay) == asked.end();
        if (!usable || asked.size() == relays_per_probe)
            continue;
        asked.push_back(relay);
        send(*relay, probe_request{round->number, target->hash}, now);
    }
    round->relays = static_cast<unsigned>(asked.size());
}

void member::state::probe_failed(support::time_point now)
{
    ++counters.probes_failed;
    // Relays that answered nothing hint at a fault of the own network.
    const int silent = static_cast<int>(round->relays - round->nacks);
    change_health(round->relays > 0 ? silent : 1);
    peer* target = table.find(round->target);
    round.reset();
    if (target == nullptr || !is_live(target->stated))
        return;
    suspect(*target, table.self().hash, now);
    // If it lives, it is the first to hear and refutes.
    send(*target, gossip{}, now);
}

void member::state::on(const probe& body, const envelope& in)
{
    send(in.from, in.sender, ack{body.number}, {}, in.now);
}

void member::state::on(const ack& body, const envelope& in)
{
    if (round && round->number == body.number) {
        change_health(-1);
        round.reset();
        return;
    }
    const auto waiting = std::find_if(
        relayed.begin(), relayed.end(),
        [&](const relayed_probe& one) { return one.number == body.number; });
    if (waiting == relayed.end())
        return;
    send(waiting->asker, waiting->asker_hash, ack{waiting->asker_number}, {},
         in.now);
    relayed.erase(waiting);
}

void member::state::on(const nack& body, const envelope&)
{
    if (round && round->number == body.number && round->nacks < round->relays)
        ++round->nacks;
}

void member::state::on(const probe_request& body, const envelope& in)
{
    const peer* subject = table.find(body.subject);
    if (subject == nullptr || subject == &table.self() ||
        relayed.size() >= max_relayed)
        return;
    relayed_probe made;
    made.number = next_probe_number++;
    made.asker = in.from;
    made.asker_hash = in.sender;
    made.asker_number = body.number;
    made.nack_at = in.now + probe_timeout;
    relayed.push_back(made);
    send(*subject, probe{made.number}, in.now);
}

void member::state::relay_tick(support::time_point now)
{
    std::erase_if(relayed, [&](const relayed_probe& waiting) {
        if (now < waiting.nack_at)
            return false;
        send(waiting.asker, waiting.asker_hash, nack{waiting.asker_number}, {},
             now);
        return true;
    });
}

void member::state::suspect(peer& known,
                            member_hash accuser,
                            support::time_point now)
{
    if (suspicions.find(known.hash) != nullptr) {
        if (suspicions.confirm(known.hash, accuser))
            news.push({known.hash, news_kind::status, accuser});
        return;
    }
    ++counters.suspicions;
    suspicions.open({known.hash, known.record.incarnation, accuser,
                     table.live().size() + 1, now});
    news.push({known.hash, news_kind::status, accuser});
    // A draining member stays draining, so that it gets no new work.
    if (known.stated != member_state::alive)
        return;
    table.show_state(known, member_state::suspect, now);
    changed(known);
}

void member::state::suspicion_tick(support::time_point now)
{
    while (const std::optional<member_hash> expired = suspicions.expired(now)) {
        peer* known = table.find(*expired);
        if (known == nullptr) {
            suspicions.close(*expired);
            continue;
        }
        change_state(*known, known->record.incarnation, member_state::dead,
                     now);
    }
}

} // namespace galenarudder::membership
