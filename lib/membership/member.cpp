// Sends and receives datagrams: authentication, replay protection, byte budget
// and dispatch.
#include "galenarudder/membership/member.hpp"

#include "member_state.hpp"

#include <algorithm>
#include <cassert>

namespace galenarudder::membership {

namespace {

/// Sustained sending rate; with as much received, 4 KB/s in total.
constexpr double budget_bytes_per_second = 2000;
/// Covers the start of a whole fleet and the healing of a partition.
constexpr double budget_burst_bytes = 128 * 1024;
/// Below this balance ticks send no gossip and messages of other parts carry
/// few updates, so that a starting member of a large fleet can still pull the
/// records that it lacks.
constexpr double pull_reserve_bytes = 32 * 1024;
constexpr std::size_t max_introducers = 64;
/// Members that are sent a change of the own record at once.
constexpr std::size_t change_fanout = 4;
/// Members that are sent the update at once when this member leaves.
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

bool same_state_and_service(const member_record& left,
                            const member_record& right)
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
      keys(std::move(shared_keys)), random(seed),
      start_incarnation(self.incarnation),
      budget(budget_bytes_per_second, budget_burst_bytes)
{
}

support::duration member::state::jittered(support::duration span)
{
    const double factor = 0.5 + support::uniform_unit(random);
    return support::from_ms(support::to_ms(span) * factor);
}

bool member::state::may_send(support::time_point now)
{
    if (budget.can_take(max_datagram_bytes, now))
        return true;
    ++counters.held_back;
    return false;
}

std::size_t member::state::send(const config::endpoint& to,
                                member_hash target,
                                message_body body,
                                std::span<const peer* const> leading_records,
                                support::time_point now)
{
    const peer& self = table.self();
    message outgoing;
    outgoing.sender = self.record.id;
    outgoing.start_incarnation = start_incarnation;
    outgoing.incarnation = self.record.incarnation;
    outgoing.sequence = next_sequence++;
    outgoing.target = target;
    outgoing.configuration_version = self.record.configuration_version;
    outgoing.body = std::move(body);
    const std::size_t own_bytes = base_bytes(outgoing, keys.front().id);
    std::size_t room_bytes = max_datagram_bytes - own_bytes;
    const bool for_other_part =
        std::holds_alternative<extension>(outgoing.body);
    if (for_other_part && !budget.can_take(pull_reserve_bytes, now))
        room_bytes = std::min(room_bytes, status_bytes);
    for (const peer* known_peer : leading_records) {
        const std::size_t size = record_bytes(known_peer->record);
        if (size > room_bytes)
            break;
        room_bytes -= size;
        outgoing.records.push_back(known_peer->record);
        outgoing.records.back().state = known_peer->last_state;
    }
    const std::size_t fitted_count = outgoing.records.size();
    add_updates(outgoing, room_bytes, table.find(target));
    std::string payload = encode(outgoing, keys.front());
    const std::size_t bytes = payload.size() + header_overhead_bytes;
    // Messages of other parts are as many as these need. Counted here, the
    // limits of organisations kept the budget of 300 starting members in debt,
    // and digests and pulls were held back for good.
    const std::size_t others_bytes =
        for_other_part ? std::min(bytes, own_bytes + header_overhead_bytes) : 0;
    budget.charge(static_cast<double>(bytes - others_bytes), now);
    ++counters.datagrams_sent;
    counters.bytes_sent += bytes;
    actions.emplace_back(send_datagram{to, std::move(payload)});
    return fitted_count;
}

void member::state::send(const peer& to,
                         message_body body,
                         support::time_point now)
{
    send(to.record.gossip, to.hash, std::move(body), {}, now);
}

std::vector<action> member::state::take_actions()
{
    std::vector<action> pending;
    pending.swap(actions);
    return pending;
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
    // A restarted member has no configuration yet.
    const std::uint64_t previous_start = sender->window.start_incarnation();
    if (previous_start != 0 && received.start_incarnation > previous_start)
        sender->record.configuration_version = 0;
    switch (
        sender->window.admit(received.start_incarnation, received.sequence)) {
    case freshness::fresh:
        return true;
    case freshness::replayed:
        ++counters.replayed;
        return false;
    case freshness::earlier_incarnation:
        ++counters.former_life;
        if (may_send(now))
            send(from, sender->hash,
                 stale_incarnation{sender->window.start_incarnation()}, {},
                 now);
        return false;
    }
    return false;
}

void member::state::receive(const message& received,
                            const config::endpoint& from,
                            support::time_point now)
{
    const bool disseminate = !std::holds_alternative<sync>(received.body);
    incarnation_raised = false;
    members_to_fetch.clear();
    for (const member_record& record : received.records)
        apply_record(record, disseminate, now);
    for (const status_update& update : received.status_updates)
        apply_status_update(update, now);
    apply_sender_state(received, now);
    for (const version_update& update : received.version_updates) {
        if (peer* known_peer = table.find(update.member))
            apply_version(*known_peer, update.version);
    }
    const envelope incoming{received, from, hash_of(received.sender), now};
    std::visit([&](const auto& body) { on(body, incoming); }, received.body);
    if (!members_to_fetch.empty() && may_send(now))
        send(from, incoming.sender, fetch{std::move(members_to_fetch)}, {},
             now);
    members_to_fetch.clear();
    // Tell the sender the new incarnation at once.
    if (incarnation_raised)
        send(from, incoming.sender, gossip{}, {}, now);
}

void member::state::on(const stale_incarnation& body, const envelope&)
{
    if (body.highest_start_incarnation < start_incarnation)
        return;
    start_incarnation = body.highest_start_incarnation + 1;
    next_sequence = 1;
    raise_incarnation(body.highest_start_incarnation);
}

void member::state::on(const extension& body, const envelope& incoming)
{
    actions.emplace_back(
        extension_received{incoming.received.sender, body.topic, body.payload});
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
    state_->compensate_pause(now);
    if (state_->table.self().record.state == member_state::left)
        return {};
    state_->join_tick(now);
    state_->pending_join_tick(now);
    state_->probe_tick(now);
    state_->relay_tick(now);
    state_->suspicion_tick(now);
    state_->sync_tick(now);
    state_->reconnect_tick(now);
    state_->purge_tick(now);
    if (!state_->updates.empty() &&
        state_->budget.can_take(pull_reserve_bytes, now)) {
        constexpr std::size_t gossip_fanout = 3;
        state_->gossip_now(gossip_fanout, now);
    }
    return state_->take_actions();
}

std::vector<action> member::update_self(const member_record& changed,
                                        support::time_point now)
{
    peer& self = state_->table.self();
    member_record next_record = self.record;
    next_record.service = changed.service;
    next_record.slots = changed.slots;
    next_record.state = changed.state;
    next_record.configuration_version = changed.configuration_version;
    const bool only_version = same_state_and_service(self.record, next_record);
    if (only_version &&
        next_record.configuration_version == self.record.configuration_version)
        return {};
    const std::uint32_t content_hash_before = self.content_hash;
    if (!only_version)
        ++next_record.incarnation;
    state_->table.replace(self, std::move(next_record), now);
    if (!only_version) {
        const bool content_changed = self.content_hash != content_hash_before;
        state_->updates.push({self.hash, content_changed
                                             ? update_kind::record
                                             : update_kind::status});
    }
    state_->report_change(self, only_version);
    const bool leaving = self.record.state == member_state::left;
    state_->gossip_now(leaving ? leave_fanout : change_fanout, now);
    return state_->take_actions();
}

std::vector<action> member::send_extension(std::string_view peer,
                                           std::string topic,
                                           std::string payload,
                                           support::time_point now)
{
    assert(payload.size() <= max_extension_bytes);
    const auto* const known_peer = state_->table.find(hash_of(peer));
    const bool reachable = known_peer != nullptr &&
                           known_peer->record.id == peer &&
                           known_peer->record.state != member_state::left &&
                           known_peer->record.state != member_state::dead;
    if (reachable)
        state_->send(*known_peer,
                     extension{std::move(topic), std::move(payload)}, now);
    return state_->take_actions();
}

void member::add_introducers(std::span<const config::endpoint> introducers)
{
    std::vector<config::endpoint>& known_introducers = state_->introducers;
    for (const config::endpoint& introducer : introducers) {
        state_->queue_join(introducer);
        if (std::find(known_introducers.begin(), known_introducers.end(),
                      introducer) != known_introducers.end())
            continue;
        if (known_introducers.size() >= max_introducers)
            known_introducers.erase(known_introducers.begin());
        known_introducers.push_back(introducer);
    }
}

std::vector<action> member::add_records(std::span<const member_record> records,
                                        support::time_point now)
{
    for (const member_record& record : records)
        state_->apply_record(record, false, now);
    return state_->take_actions();
}

const member_record& member::self() const
{
    return state_->table.self().record;
}

const member_record* member::find(std::string_view id) const
{
    const peer* known_peer = state_->table.find(hash_of(id));
    return known_peer != nullptr && known_peer->record.id == id
               ? &known_peer->record
               : nullptr;
}

std::size_t member::live_count() const
{
    return state_->table.live().size() + 1;
}

std::size_t member::position_in_domain() const
{
    const peer& self = state_->table.self();
    const auto& live = state_->table.live();
    return static_cast<std::size_t>(
        std::count_if(live.begin(), live.end(), [&](const peer* known_peer) {
            return known_peer->record.domain == self.record.domain &&
                   known_peer->hash < self.hash;
        }));
}

double member::available_budget_bytes() const
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
