// What is told of members: piggybacking own news and taking others'.
#include "member_state.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::membership {

namespace {

/// Up to this many members a record that anti-entropy brings is passed on as
/// news, so that groups that meet know each other within seconds. In larger
/// fleets such news would use up the byte budget of 2,000 bytes a second.
constexpr std::size_t small_fleet = 128;

/// Transmissions of one piece of news for each decade of the fleet's size.
constexpr double transmissions_per_decade = 3;
/// With more news waiting than this, each is sent less often; anti-entropy
/// brings what is missed.
constexpr double calm_queue = 32;
constexpr double fewest_transmissions = 2;
constexpr unsigned version_transmissions = 3;
constexpr std::size_t max_versions_sent = 10;

/// Which of two claims at the same incarnation wins.
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

bool supersedes(std::uint64_t incarnation, member_state told, const peer& known)
{
    if (incarnation != known.record.incarnation)
        return incarnation > known.record.incarnation;
    return precedence(told) > precedence(known.stated);
}

} // namespace

unsigned member::state::transmit_limit() const
{
    const auto fleet = static_cast<double>(table.live().size() + 2);
    const double calm = transmissions_per_decade * std::ceil(std::log10(fleet));
    const double crowding =
        std::max(1.0, static_cast<double>(news.size()) / calm_queue);
    return static_cast<unsigned>(
        std::max(fewest_transmissions, calm / crowding));
}

status_news member::state::status_of(const peer& known,
                                     member_hash accuser) const
{
    status_news told;
    told.member = known.hash;
    told.incarnation = known.record.incarnation;
    told.content = known.content;
    const bool suspected =
        accuser != 0 && suspicions.find(known.hash) != nullptr;
    told.state = suspected ? member_state::suspect : known.stated;
    told.accuser = suspected ? accuser : 0;
    return told;
}

void member::state::fill(message& sent, std::size_t room, const peer* target)
{
    // A member that is held for suspect or dead has to hear of it first.
    const bool accused =
        target != nullptr && target != &table.self() &&
        (suspicions.find(target->hash) != nullptr || !is_live(target->stated));
    if (accused && room >= status_bytes) {
        sent.statuses.push_back(status_of(*target, table.self().hash));
        room -= status_bytes;
    }
    add_statuses(sent, room);
    add_versions(sent, room);
}

void member::state::add_statuses(message& sent, std::size_t& room)
{
    std::vector<queued_news> told;
    while (room >= status_bytes) {
        const std::optional<queued_news> next = news.pop();
        if (!next)
            break;
        const peer* known = table.find(next->member);
        if (known == nullptr) {
            news.sent(*next, 0);
            continue;
        }
        const bool whole = next->kind == news_kind::record;
        // A suspicion travels as a status, beside the record if need be.
        const bool status = !whole || next->accuser != 0;
        const std::size_t size = (whole ? record_bytes(known->record) : 0) +
                                 (status ? status_bytes : 0);
        if (size > room) {
            news.unsent(*next);
            break;
        }
        room -= size;
        told.push_back(*next);
        if (status)
            sent.statuses.push_back(status_of(*known, next->accuser));
        if (!whole)
            continue;
        sent.records.push_back(known->record);
        sent.records.back().state = known->stated;
    }
    for (const queued_news& one : told)
        news.sent(one, transmit_limit());
}

void member::state::add_versions(message& sent, std::size_t& room)
{
    std::vector<queued_news> told;
    while (room >= version_bytes && told.size() < max_versions_sent) {
        const std::optional<queued_news> next = version_news_queue.pop();
        if (!next)
            break;
        told.push_back(*next);
        const peer* known = table.find(next->member);
        if (known == nullptr)
            continue;
        room -= version_bytes;
        sent.versions.push_back(
            {known->hash, known->record.configuration_version});
    }
    for (const queued_news& one : told)
        version_news_queue.sent(one, version_transmissions);
}

void member::state::gossip_at_once(std::size_t fanout, support::time_point now)
{
    const std::size_t targets = std::min(fanout, table.live().size());
    std::vector<const peer*> told;
    for (std::size_t tries = 0; tries < 2 * targets; ++tries) {
        const peer* target = table.random_live(random);
        if (std::find(told.begin(), told.end(), target) != told.end())
            continue;
        told.push_back(target);
        send(*target, gossip{}, now);
        if (told.size() == targets)
            return;
    }
}

void member::state::changed(const peer& known, bool only_version)
{
    actions.emplace_back(record_changed{known.record, only_version});
}

void member::state::want(member_hash unknown)
{
    const bool full = wanted.size() >= max_fetched;
    if (!full &&
        std::find(wanted.begin(), wanted.end(), unknown) == wanted.end())
        wanted.push_back(unknown);
}

void member::state::take_record(const member_record& heard,
                                bool pass_on,
                                support::time_point now)
{
    if (heard.id == table.self().record.id) {
        take_word_of_self(heard.incarnation, heard.state);
        return;
    }
    const member_hash hash = hash_of(heard.id);
    peer* known = table.find(hash);
    if (known != nullptr && known->record.id != heard.id)
        return;
    // Suspicions travel as statuses; a tombstone of a stranger is of no use.
    const bool takes_states = heard.state != member_state::suspect;
    if (!takes_states || (known == nullptr && !is_live(heard.state)))
        return;
    if (known == nullptr) {
        known = &table.add(heard, now);
        expect_probe_of(*known);
        pass_on = pass_on || is_small_fleet();
    } else {
        if (!supersedes(heard.incarnation, heard.state, *known))
            return;
        const bool returned = !is_live(known->stated) && is_live(heard.state);
        member_record next = heard;
        if (!returned) {
            next.configuration_version =
                std::max(heard.configuration_version,
                         known->record.configuration_version);
        }
        suspicions.close(hash);
        table.replace(*known, std::move(next), now);
        if (returned)
            expect_probe_of(*known);
    }
    if (pass_on)
        news.push({hash, news_kind::record});
    changed(*known);
}

bool member::state::is_small_fleet() const
{
    return table.live().size() <= small_fleet;
}

void member::state::change_state(peer& known,
                                 std::uint64_t incarnation,
                                 member_state told,
                                 support::time_point now)
{
    const bool returned = !is_live(known.stated) && is_live(told);
    if (told == member_state::dead)
        ++counters.deaths;
    suspicions.close(known.hash);
    member_record next = known.record;
    next.incarnation = incarnation;
    next.state = told;
    table.replace(known, std::move(next), now);
    if (returned)
        expect_probe_of(known);
    news.push({known.hash, news_kind::status});
    changed(known);
}

void member::state::take_status(const status_news& told,
                                support::time_point now)
{
    if (told.member == table.self().hash) {
        take_word_of_self(told.incarnation, told.state);
        return;
    }
    peer* known = table.find(told.member);
    if (known == nullptr) {
        if (is_live(told.state))
            want(told.member);
        return;
    }
    const bool newer = told.incarnation > known->record.incarnation;
    if (told.state == member_state::suspect) {
        if (newer)
            want(told.member);
        else if (told.incarnation == known->record.incarnation &&
                 is_live(known->stated))
            suspect(*known, told.accuser, now);
        return;
    }
    if (!supersedes(told.incarnation, told.state, *known))
        return;
    if (is_live(told.state) && told.content != known->content) {
        want(told.member);
        return;
    }
    change_state(*known, told.incarnation, told.state, now);
}

void member::state::take_version(peer& known, std::uint64_t version)
{
    if (&known == &table.self() ||
        version <= known.record.configuration_version)
        return;
    known.record.configuration_version = version;
    version_news_queue.push({known.hash, news_kind::status});
    changed(known, true);
}

void member::state::take_sender(const message& received,
                                support::time_point now)
{
    const member_hash hash = hash_of(received.sender);
    peer* sender = table.find(hash);
    if (sender == nullptr) {
        want(hash);
        return;
    }
    if (sender->window.life() == 0)
        sender->window.admit(received.life, received.sequence);
    take_version(*sender, received.configuration_version);
    if (received.incarnation > sender->record.incarnation) {
        want(hash);
        return;
    }
    // It will refute when it learns that it is held for dead.
    const bool wrongly_dead = sender->stated == member_state::dead;
    if (wrongly_dead && may_send(now))
        send(*sender, gossip{}, now);
}

void member::state::raise_incarnation(std::uint64_t above)
{
    peer& self = table.self();
    member_record next = self.record;
    next.incarnation = std::min(max_incarnation, above + 1);
    table.replace(self, std::move(next), self.changed);
    news.push({self.hash, news_kind::status});
    refuted = true;
}

void member::state::take_word_of_self(std::uint64_t incarnation,
                                      member_state told)
{
    const peer& self = table.self();
    if (self.stated == member_state::left)
        return;
    const bool newer = incarnation > self.record.incarnation;
    const bool accused = incarnation == self.record.incarnation &&
                         precedence(told) > precedence(self.stated);
    if (!newer && !accused)
        return;
    ++counters.refutations;
    if (told == member_state::suspect)
        change_health(1);
    raise_incarnation(incarnation);
}

} // namespace galenarudder::membership
