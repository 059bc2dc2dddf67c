// Sends and receives datagrams: authentication, replay, budget and dispatch.
#include "galenarudder/membership/member.hpp"

#include "member_state.hpp"

#include <algorithm>

namespace galenarudder::membership {

namespace {

/// Sustained sending rate; with as much received, 4 KB a second in all.
constexpr double budget_bytes_per_second = 2000;
/// Room for a whole fleet that starts or a partition that heals.
constexpr double budget_burst_bytes = 128 * 1024;
constexpr std::size_t max_introducers = 64;
/// Members told at once of a change of the own record.
constexpr std::size_t change_fanout = 4;
/// Members told at once that this one leaves.
constexpr std::size_t leave_fanout = 8;

std::uint64_t member_counters::*drop_counter(support::error_kind kind)
{
    switch (kind) {
    case support::error_kind::too_large:
        return &member_counters::oversized;
    case support::error_kind::unauthenticated:
        return &member_counters::unauthenticated;
    default:
        return &member_counters::malformed;
    }
}

bool same_but_version(const member_record& left, const member_record& right)
{
    return left.state == right.state && left.service == right.service &&
           left.slots == right.slots;
}

} // namespace

member::state::state(const member_record& self,
                     std::vector<config::endpoint> first_introducers,
                     std::vector<config::shared_key> shared_keys,
                     std::uint64_t seed)
    : table(self), introducers(std::move(first_introducers)),
      keys(std::move(shared_keys)), random(seed), life(self.incarnation),
      budget(budget_bytes_per_second, budget_burst_bytes)
{
}

support::duration member::state::jittered(support::duration span)
{
    const double share = 0.5 + support::uniform_unit(random);
    return support::from_ms(support::to_ms(span) * share);
}

bool member::state::may_send(support::time_point now)
{
    if (budget.holds(max_datagram_bytes, now))
        return true;
    ++counters.held_back;
    return false;
}

std::size_t member::state::send(const config::endpoint& to,
                                member_hash target,
                                message_body body,
                                std::span<const peer* const> first,
                                support::time_point now)
{
    const peer& self = table.self();
    message sent;
    sent.sender = self.record.id;
    sent.life = life;
    sent.incarnation = self.record.incarnation;
    sent.sequence = next_sequence++;
    sent.target = target;
    sent.configuration_version = self.record.configuration_version;
    sent.body = std::move(body);
    std::size_t room = max_datagram_bytes - base_bytes(sent, keys.front().id);
    for (const peer* known : first) {
        const std::size_t size = record_bytes(known->record);
        if (size > room)
            break;
        room -= size;
        sent.records.push_back(known->record);
        sent.records.back().state = known->stated;
    }
    const std::size_t fitted = sent.records.size();
    fill(sent, room, table.find(target));
    std::string payload = encode(sent, keys.front());
    const std::size_t bytes = payload.size() + header_overhead_bytes;
    budget.take(static_cast<double>(bytes), now);
    ++counters.datagrams_sent;
    counters.bytes_sent += bytes;
    actions.emplace_back(send_datagram{to, std::move(payload)});
    return fitted;
}

void member::state::send(const peer& to,
                         message_body body,
                         support::time_point now)
{
    send(to.record.gossip, to.hash, std::move(body), {}, now);
}

std::vector<action> member::state::take_actions()
{
    std::vector<action> taken;
    taken.swap(actions);
    return taken;
}

bool member::state::admit(const message& received,
                          const config::endpoint& from,
                          support::time_point now)
{
    const peer& self = table.self();
    if (received.sender == self.record.id ||
        (received.target != 0 && received.target != self.hash)) {
        ++counters.misdirected;
        return false;
    }
    peer* sender = table.find(hash_of(received.sender));
    if (sender == nullptr)
        return true;
    // A restarted member starts again without a configuration.
    const std::uint64_t former_life = sender->window.life();
    if (former_life != 0 && received.life > former_life)
        sender->record.configuration_version = 0;
    switch (sender->window.admit(received.life, received.sequence)) {
    case freshness::fresh:
        return true;
    case freshness::replayed:
        ++counters.replayed;
        return false;
    case freshness::former_life:
        ++counters.former_life;
        if (may_send(now))
            send(from, sender->hash, stale{sender->window.life()}, {}, now);
        return false;
    }
    return false;
}

void member::state::receive(const message& received,
                            const config::endpoint& from,
                            support::time_point now)
{
    const bool pass_on = !std::holds_alternative<sync>(received.body);
    refuted = false;
    wanted.clear();
    for (const member_record& heard : received.records)
        take_record(heard, pass_on, now);
    for (const status_news& heard : received.statuses)
        take_status(heard, now);
    take_sender(received, now);
    for (const version_news& heard : received.versions) {
        if (peer* known = table.find(heard.member))
            take_version(*known, heard.version);
    }
    const envelope in{received, from, hash_of(received.sender), now};
    std::visit([&](const auto& body) { on(body, in); }, received.body);
    if (!wanted.empty() && may_send(now))
        send(from, in.sender, fetch{std::move(wanted)}, {}, now);
    wanted.clear();
    // The accuser learns at once that it is wrong.
    if (refuted)
        send(from, in.sender, gossip{}, {}, now);
}

void member::state::on(const stale& body, const envelope&)
{
    if (body.life < life)
        return;
    life = body.life + 1;
    next_sequence = 1;
    raise_incarnation(body.life);
}

member::member(member_record self,
               std::vector<config::endpoint> introducers,
               std::vector<config::shared_key> keys,
               std::uint64_t seed)
    : state_(std::make_unique<state>(
          self, std::move(introducers), std::move(keys), seed))
{
}

member::~member() = default;

std::vector<action> member::on_datagram(const config::endpoint& from,
                                        std::string_view payload,
                                        support::time_point now)
{
    member_counters& counters = state_->counters;
    ++counters.datagrams_received;
    counters.bytes_received += payload.size() + header_overhead_bytes;
    const support::result<message> received = decode(payload, state_->keys);
    if (!received) {
        ++counters.datagrams_dropped;
        ++(counters.*drop_counter(received.error().kind));
        return {};
    }
    if (state_->table.self().record.state == member_state::left)
        return {};
    if (state_->admit(received.value(), from, now))
        state_->receive(received.value(), from, now);
    else
        ++counters.datagrams_dropped;
    return state_->take_actions();
}

std::vector<action> member::on_tick(support::time_point now)
{
    state_->forgive_pause(now);
    if (state_->table.self().record.state == member_state::left)
        return {};
    state_->join_tick(now);
    state_->greet_tick(now);
    state_->probe_tick(now);
    state_->relay_tick(now);
    state_->suspicion_tick(now);
    state_->sync_tick(now);
    state_->reconnect_tick(now);
    state_->purge_tick(now);
    if (!state_->news.empty() && state_->may_send(now)) {
        constexpr std::size_t gossip_fanout = 3;
        state_->gossip_at_once(gossip_fanout, now);
    }
    return state_->take_actions();
}

std::vector<action> member::update_self(const member_record& changed,
                                        support::time_point now)
{
    peer& self = state_->table.self();
    member_record next = self.record;
    next.service = changed.service;
    next.slots = changed.slots;
    next.state = changed.state;
    next.configuration_version = changed.configuration_version;
    const bool only_version = same_but_version(self.record, next);
    if (only_version &&
        next.configuration_version == self.record.configuration_version)
        return {};
    const std::uint32_t content_before = self.content;
    if (!only_version)
        ++next.incarnation;
    state_->table.replace(self, std::move(next), now);
    if (!only_version) {
        const bool new_content = self.content != content_before;
        state_->news.push(
            {self.hash, new_content ? news_kind::record : news_kind::status});
    }
    state_->changed(self, only_version);
    const bool leaving = self.record.state == member_state::left;
    state_->gossip_at_once(leaving ? leave_fanout : change_fanout, now);
    return state_->take_actions();
}

void member::add_introducers(std::span<const config::endpoint> found)
{
    std::vector<config::endpoint>& known = state_->introducers;
    for (const config::endpoint& where : found) {
        state_->greet(where);
        if (std::find(known.begin(), known.end(), where) != known.end())
            continue;
        if (known.size() >= max_introducers)
            known.erase(known.begin());
        known.push_back(where);
    }
}

std::vector<action> member::load(std::span<const member_record> records,
                                 support::time_point now)
{
    for (const member_record& known : records)
        state_->take_record(known, false, now);
    return state_->take_actions();
}

const member_record& member::self() const
{
    return state_->table.self().record;
}

const member_record* member::find(std::string_view id) const
{
    const peer* known = state_->table.find(hash_of(id));
    return known != nullptr && known->record.id == id ? &known->record
                                                      : nullptr;
}

std::size_t member::live_count() const
{
    return state_->table.live().size() + 1;
}

std::size_t member::rank_in_domain() const
{
    const peer& self = state_->table.self();
    const auto& live = state_->table.live();
    return static_cast<std::size_t>(
        std::count_if(live.begin(), live.end(), [&](const peer* known) {
            return known->record.domain == self.record.domain &&
                   known->hash < self.hash;
        }));
}

double member::budget_left() const
{
    return state_->budget.tokens();
}

std::vector<member_record> member::records() const
{
    return state_->table.records();
}

const member_counters& member::counters() const
{
    return state_->counters;
}

} // namespace galenarudder::membership
