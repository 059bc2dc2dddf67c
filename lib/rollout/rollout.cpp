// Adoption, pushes and reads.
#include "rollout_state.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace galenarudder::rollout {

using membership::member_record;
using membership::member_state;

namespace {

/// The first read waits up to this long, the first watch between one and two
/// times as long, each a random time, so that the members of a fleet that
/// starts at once do not call the store at the same time.
constexpr milliseconds start_jitter{500};
/// Interval of reads in a new fleet while the store seems to have no document.
constexpr milliseconds absent_read_interval{500};
/// Contact is a message from a peer or an answer of the store. After this time
/// without contact the store is read.
constexpr milliseconds contact_timeout{5000};
/// Time for which a member without a document that has heard of one waits for a
/// peer before it reads the store.
constexpr milliseconds first_pull_time{300};
/// Adoptions whose patches are kept for peers that are behind.
constexpr std::size_t max_recent_changes = 8;
/// Pushes of one document that are repeated with another peer.
constexpr unsigned max_push_retries = 4;

bool accepts_transfers(member_state state)
{
    return state == member_state::joining || state == member_state::alive;
}

} // namespace

milliseconds rollout::state::jitter(milliseconds max_wait)
{
    const auto bound = static_cast<std::uint64_t>(max_wait.count()) + 1;
    return milliseconds(support::uniform_below(random, bound));
}

/// Returns a random wait between 50% and 100% of \p backoff and doubles \p
/// backoff up to max_backoff.
milliseconds rollout::state::back_off(milliseconds& backoff)
{
    const milliseconds wait = backoff / 2 + jitter(backoff / 2);
    backoff = std::min(backoff * 2, max_backoff);
    return wait;
}

std::vector<support::member_id> rollout::state::peers_with_older_version() const
{
    std::vector<support::member_id> older_peers;
    for (const auto& [id, peer] : peers) {
        if (peer.accepts_transfers && peer.version < current_id.version)
            older_peers.push_back(id);
    }
    return older_peers;
}

bool rollout::state::may_build(const pending_document& pending) const
{
    const transfer& received = pending.received;
    const bool is_stored = received.to.version == 0;
    return is_stored || (received.to.version > current_id.version &&
                         (!received.is_patch() || received.from == current_id));
}

/// Starts to build a document that waits, unless another is being built.
void rollout::state::start_next_build(std::vector<action>& actions,
                                      time_point now)
{
    if (building)
        return;
    for (auto* const next : {&next_from_peer, &next_from_store}) {
        std::optional<pending_document> pending = std::exchange(*next, {});
        if (!pending)
            continue;
        if (may_build(*pending))
            return start_build(std::move(*pending), actions, now);
        ++counters.superseded;
    }
    pull_tick(actions, now);
}

void rollout::state::start_build(pending_document next,
                                 std::vector<action>& actions,
                                 time_point now)
{
    auto input = std::make_shared<build_input>();
    input->received = std::move(next.received);
    input->current = current;
    input->site = domain;
    input->read_stored = read_stored;
    building = pending_document{{input->received.from, input->received.to, {}},
                                next.index,
                                next.source,
                                next.received_at,
                                now};
    actions.emplace_back(build_document{++build_number, std::move(input)});
}

void rollout::state::finish_build(
    const pending_document& done,
    const support::result<built_document_ptr>& built,
    std::vector<action>& actions,
    time_point now)
{
    if (!built) {
        const bool invalid =
            built.error().kind == support::error_kind::invalid_document;
        counters.invalid += invalid ? 1 : 0;
        if (!invalid)
            next_pull = now;
        return;
    }
    if (done.received.to.version != 0) {
        ++(done.received.is_patch() ? counters.patches
                                    : counters.whole_documents);
    }
    adopt_if_newer(done, built.value(), actions, now);
    const bool is_of_store = done.index.has_value();
    // A document that waits has replaced this one in the store.
    if (!is_of_store || next_from_store)
        return;
    stored_id.version = built.value()->id.version;
    if (stored_id.version < current_id.version)
        restore(*done.index, actions);
}

/// Adopts \p built if it is newer than the document in force; drops it
/// otherwise, and counts it if it is older or conflicting.
void rollout::state::adopt_if_newer(const pending_document& done,
                                    const built_document_ptr& built,
                                    std::vector<action>& actions,
                                    time_point now)
{
    if (current && built->id.version < current_id.version) {
        ++counters.reversions_refused;
        return;
    }
    if (current && built->id.version == current_id.version) {
        const bool conflicting =
            built->content.change_id() != current->content.change_id();
        counters.conflicts += conflicting ? 1 : 0;
        // The same document from the store, whose form of the rows is known
        // now.
        if (built->id == current_id)
            current = built;
        return;
    }
    adopt_document(done, built, actions, now);
    push(actions, now);
}

void rollout::state::adopt_document(const pending_document& done,
                                    const built_document_ptr& adopted,
                                    std::vector<action>& actions,
                                    time_point now)
{
    const bool lower = current && adopted->id.version < current_id.version;
    counters.reversions_adopted += lower ? 1 : 0;
    ++counters.adopted;
    recent_changes.push_back({current_id, adopted->id, adopted->patch});
    if (recent_changes.size() > max_recent_changes)
        recent_changes.pop_front();
    current_id = adopted->id;
    built_document_ptr previous = std::exchange(current, adopted);
    const support::duration fetch =
        lag.known_for(adopted->id.version, done.received_at);
    actions.emplace_back(
        adopt{adopted,
              {done.source, std::max(fetch, support::duration(0)),
               done.build_started_at - done.received_at,
               now - done.build_started_at}});
    lag.on_in_force(adopted->id.version, now);
    if (previous)
        actions.emplace_back(release_document{std::move(previous)});
}

/// Returns the patch from the document \p peer_id to the one in force, composed
/// of those of recent adoptions; empty if there is none that is smaller than
/// the document.
std::string rollout::state::patch_from(const document_id& peer_id) const
{
    std::string operations;
    for (auto step = recent_changes.rbegin(); step != recent_changes.rend();
         ++step) {
        constexpr std::size_t empty_patch_bytes = 2;
        if (step->patch.size() <= empty_patch_bytes)
            return {};
        const std::string_view step_operations =
            std::string_view(step->patch).substr(1, step->patch.size() - 2);
        operations.insert(0, std::string(step_operations) +
                                 (operations.empty() ? "" : ","));
        if (operations.size() >= current->text.size())
            return {};
        if (step->from == peer_id)
            return "[" + operations + "]";
    }
    return {};
}

/// Returns the change itself if it is small and the peer may not get it
/// otherwise, else only the offer.
std::string rollout::state::push_payload_for(const support::member_id& to,
                                             time_point now)
{
    const change& latest = recent_changes.back();
    const bool has_patch = !latest.patch.empty() && latest.from.version != 0;
    const std::string& body = has_patch ? latest.patch : current->text;
    const bool offered =
        body.size() > max_pushed_bytes || watches(peers.at(to), to, now);
    if (offered) {
        ++counters.offers;
        return encode(transfer{{}, current_id, {}});
    }
    return encode(
        transfer{has_patch ? latest.from : document_id(), current_id, body});
}

void rollout::state::push(std::vector<action>& actions, time_point now)
{
    push_retries = 0;
    std::vector<support::member_id> older_peers = peers_with_older_version();
    std::shuffle(older_peers.begin(), older_peers.end(), random);
    older_peers.resize(std::min(older_peers.size(), push_fan_out));
    for (const support::member_id& to : older_peers)
        push_to(to, actions, now);
}

void rollout::state::push_to(const support::member_id& to,
                             std::vector<action>& actions,
                             time_point now)
{
    ++counters.pushes;
    std::string payload = push_payload_for(to, now);
    actions.emplace_back(
        push_to_peer{to, peers.at(to).operators, std::move(payload)});
}

void rollout::state::take_transfer(std::string_view encoded,
                                   const support::member_id& sender,
                                   std::vector<action>& actions,
                                   time_point now)
{
    auto decoded = decode_transfer(encoded);
    if (!decoded) {
        ++counters.invalid;
        return;
    }
    transfer& incoming = decoded.value();
    const std::uint64_t version = incoming.to.version;
    if (incoming.asks_to_watch)
        take_over(now);
    const auto sending_peer = peers.find(sender);
    if (sending_peer != peers.end()) {
        sending_peer->second.version =
            std::max(sending_peer->second.version, version);
        if (incoming.is_offer())
            return hear_of(version, now);
        highest_seen_version = std::max(highest_seen_version, version);
    }
    if (!incoming.is_offer() && version > current_id.version)
        lag.on_known(version, now);
    if (incoming.is_offer() || incoming.to == current_id)
        return;
    if (version <= current_id.version) {
        ++(version < current_id.version ? counters.reversions_refused
                                        : counters.conflicts);
        return;
    }
    const bool awaited = building && building->received.to == incoming.to;
    const bool base_awaited =
        building && building->received.to == incoming.from;
    const bool newer_waits =
        next_from_peer && next_from_peer->received.to.version >= version;
    if (awaited || newer_waits) {
        ++counters.superseded;
        return;
    }
    if (incoming.is_patch() && incoming.from != current_id && !base_awaited) {
        next_pull = now;
        return pull_tick(actions, now);
    }
    next_from_peer = pending_document{
        std::move(incoming), std::nullopt, document_source::peer, now, {}};
    start_next_build(actions, now);
}

/// Takes what the store holds; \p index is empty if the answer may be old.
void rollout::state::take_document_of_store(
    std::string_view serialized,
    const std::optional<store::change_index>& index,
    std::vector<action>& actions,
    time_point now)
{
    std::string hash = hash_of(serialized);
    if (hash == stored_id.hash) {
        ++counters.superseded;
        const bool older =
            stored_id.version != 0 && stored_id.version < current_id.version;
        if (older && index)
            restore(*index, actions);
        return;
    }
    stored_id = {0, std::move(hash)};
    next_from_store = pending_document{{{}, {}, std::string(serialized)},
                                       index,
                                       document_source::store,
                                       now,
                                       {}};
    start_next_build(actions, now);
}

/// Writes the document in force to a store that has an older document or none.
void rollout::state::restore(const store::change_index& index,
                             std::vector<action>& actions)
{
    if (!watching || !current)
        return;
    ++counters.store_restores;
    actions.emplace_back(restore_store{current->text, index});
}

void rollout::state::read_tick(std::vector<action>& actions, time_point now)
{
    const bool recent_contact = now - last_contact < contact_timeout;
    const bool initial_read_done = current_id.version != 0 || store_answered;
    const bool read_not_needed =
        initial_read_done && (recent_contact || watching);
    const bool pulls_first = current_id.version == 0 && first_heard_at &&
                             now < *first_heard_at + first_pull_time;
    if (read_not_needed || pulls_first || now < next_read)
        return;
    next_read = now + contact_timeout + jitter(contact_timeout / 2);
    ++counters.store_reads;
    // A restarted member must not use an older document than the fleet. In a
    // new fleet the first answers of watches come soon.
    const bool may_be_stale =
        new_fleet.value_or(false) && now - started_at < contact_timeout;
    if (may_be_stale)
        next_read = now + absent_read_interval + jitter(start_jitter);
    actions.emplace_back(read_store{may_be_stale
                                        ? store::read_freshness::may_be_stale
                                        : store::read_freshness::newest});
}

rollout::rollout(std::string member,
                 std::string domain,
                 std::uint64_t seed,
                 std::size_t watchers,
                 document_reader read_stored)
    : state_(std::make_unique<state>())
{
    state_->member = std::move(member);
    state_->domain = std::move(domain);
    state_->random.seed(seed);
    state_->watchers = watchers;
    state_->read_stored = read_stored;
}

rollout::~rollout() = default;

std::vector<action> rollout::on_document(std::string_view text, time_point now)
{
    std::vector<action> actions;
    const pending_document pending{{{}, {}, std::string(text)},
                                   std::nullopt,
                                   document_source::operators,
                                   now,
                                   now};
    state_->finish_build(pending,
                         build({pending.received, state_->current,
                                state_->domain, document_reader()}),
                         actions, now);
    return actions;
}

std::vector<action>
rollout::on_built(std::uint64_t build_number,
                  const support::result<built_document_ptr>& built,
                  time_point now)
{
    std::vector<action> actions;
    if (build_number != state_->build_number || !state_->building)
        return actions;
    const pending_document done = *std::exchange(state_->building, {});
    state_->finish_build(done, built, actions, now);
    state_->start_next_build(actions, now);
    return actions;
}

std::vector<action> rollout::on_store_answer(std::string_view text,
                                             const store::change_index& index,
                                             time_point now)
{
    std::vector<action> actions;
    state_->last_contact = now;
    state_->read_backoff = first_backoff;
    state_->store_answered = true;
    if (!state_->watch_open)
        state_->known_index = index;
    if (!index.is_absent())
        state_->take_document_of_store(text, index, actions, now);
    return actions;
}

std::vector<action> rollout::on_stale_answer(std::string_view text,
                                             const store::change_index& index,
                                             time_point now)
{
    std::vector<action> actions;
    state_->read_backoff = first_backoff;
    if (index.is_absent())
        return actions;
    state_->last_contact = now;
    state_->take_document_of_store(text, std::nullopt, actions, now);
    return actions;
}

std::vector<action> rollout::on_store_unavailable(time_point now)
{
    state_->next_read = now + state_->back_off(state_->read_backoff);
    return {};
}

std::vector<action> rollout::on_watch_answer(std::uint64_t watch_number,
                                             std::string_view text,
                                             const store::change_index& index,
                                             time_point now)
{
    std::vector<action> actions;
    if (watch_number != state_->watch_number)
        return actions;
    state_->watch_open = false;
    state_->handed_over = state_->stopping;
    state_->last_contact = now;
    state_->watch_backoff = first_backoff;
    const bool changed = index != state_->known_index;
    state_->known_index = index;
    // The store answers a watch of an absent key at once, so watching again
    // without a delay would be a busy loop.
    if (index.is_absent()) {
        state_->next_watch = now + max_backoff / 2;
        state_->restore(index, actions);
    }
    if (!index.is_absent() && changed)
        state_->take_document_of_store(text, index, actions, now);
    state_->watch_tick(actions, now);
    return actions;
}

std::vector<action> rollout::on_watch_failed(std::uint64_t watch_number,
                                             time_point now)
{
    if (watch_number != state_->watch_number)
        return {};
    std::vector<action> actions;
    state_->watch_open = false;
    state_->next_watch = now + state_->back_off(state_->watch_backoff);
    state_->hand_over(actions, now);
    return actions;
}

std::vector<action> rollout::on_transfer(std::string_view encoded,
                                         const support::member_id& sender,
                                         time_point now)
{
    std::vector<action> actions;
    state_->last_contact = now;
    state_->take_transfer(encoded, sender, actions, now);
    return actions;
}

std::vector<action> rollout::on_push_failed(const support::member_id& peer,
                                            time_point now)
{
    std::vector<action> actions;
    if (std::erase(state_->asked_to_watch, peer) != 0) {
        state_->pass_over(peer, now);
        state_->handed_over = false;
        state_->hand_over(actions, now);
        return actions;
    }
    std::vector<support::member_id> older_peers =
        state_->peers_with_older_version();
    std::erase(older_peers, peer);
    if (older_peers.empty() || state_->push_retries >= max_push_retries)
        return actions;
    ++state_->push_retries;
    const auto index =
        support::uniform_below(state_->random, older_peers.size());
    state_->push_to(older_peers[index], actions, now);
    return actions;
}

void rollout::on_member(const member_record& record, time_point now)
{
    if (record.id == state_->member)
        return;
    const bool gone = record.state == member_state::left ||
                      record.state == member_state::dead;
    if (gone) {
        state_->peers.erase(record.id);
        return;
    }
    const bool is_new = !state_->peers.contains(record.id);
    if (is_new && record.domain == state_->domain)
        state_->heard_of_member_at = now;
    known_peer& peer = state_->peers[record.id];
    peer.operators = record.operators;
    peer.domain = record.domain;
    peer.accepts_transfers = accepts_transfers(record.state);
    peer.version = record.configuration_version;
    state_->hear_of(peer.version, now);
}

void rollout::on_directory_read(bool names_others)
{
    if (!state_->new_fleet)
        state_->new_fleet = !names_others;
}

void rollout::on_peer_message(time_point now)
{
    state_->last_contact = now;
}

std::vector<action> rollout::on_tick(time_point now)
{
    std::vector<action> actions;
    if (!state_->started) {
        state_->started = true;
        state_->last_contact = now;
        state_->next_read = now + state_->jitter(start_jitter);
        state_->started_at = now;
        state_->heard_of_member_at = now;
    }
    state_->watch_tick(actions, now);
    state_->observe_tick(actions, now);
    state_->pull_tick(actions, now);
    state_->read_tick(actions, now);
    state_->check_watcher_tick(actions, now);
    return actions;
}

std::vector<action> rollout::on_stopping(time_point now)
{
    std::vector<action> actions;
    state_->hand_over(actions, now);
    state_->stopping = true;
    state_->handed_over = true;
    return actions;
}

std::string rollout::transfer_for(const document_id& peer_id) const
{
    if (peer_id.version >= state_->current_id.version)
        return "";
    std::string patch = state_->patch_from(peer_id);
    if (patch.empty())
        return encode(transfer{{}, state_->current_id, state_->current->text});
    return encode(transfer{peer_id, state_->current_id, std::move(patch)});
}

const built_document_ptr& rollout::built() const
{
    return state_->current;
}

std::uint64_t rollout::version() const
{
    return state_->current_id.version;
}

const document_id& rollout::current_id() const
{
    return state_->current_id;
}

bool rollout::is_watcher() const
{
    return state_->watching;
}

const version_lag& rollout::lag() const
{
    return state_->lag;
}

const rollout_counters& rollout::counters() const
{
    return state_->counters;
}

} // namespace galenarudder::rollout
