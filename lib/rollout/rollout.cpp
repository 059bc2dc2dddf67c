// Adoption, pushes, pulls, and the selection of the members that watch the
// store.
#include "galenarudder/rollout/rollout.hpp"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace galenarudder::rollout {

using membership::member_record;
using membership::member_state;
using support::milliseconds;
using support::time_point;

namespace {

/// The first read waits up to this long, the first watch between one and two
/// times as long, each a random time, so that the members of a fleet that
/// starts at once do not call the store at the same time.
constexpr milliseconds start_jitter{500};
/// Maximum random delay of a pull after membership reports a newer version,
/// since a push is probably already in flight.
constexpr milliseconds pull_jitter{150};
/// Contact is a message from a peer or an answer of the store. After this time
/// without contact the store is read.
constexpr milliseconds contact_timeout{5000};
constexpr milliseconds first_backoff{250};
constexpr milliseconds max_backoff{2000};
/// Documents that are kept as bases for patches.
constexpr std::size_t max_recent_documents = 8;
/// Pushes of one document that are repeated with another peer.
constexpr unsigned max_push_retries = 4;

struct known_peer
{
    config::endpoint operators;
    std::string domain;
    std::uint64_t version = 0;
    bool accepts_transfers = false;
};

struct serialized_document
{
    std::uint64_t version = 0;
    std::string text;
};

/// Hash of a member's id; the members with the lowest hashes of each
/// failure domain watch the store.
std::uint64_t watcher_hash(std::string_view member)
{
    return XXH3_64bits(member.data(), member.size());
}

bool accepts_transfers(member_state state)
{
    return state == member_state::joining || state == member_state::alive;
}

} // namespace

struct rollout::state
{
    support::member_id member;
    std::string domain;
    std::size_t watchers = watchers_per_domain;
    support::random_engine random;
    rollout_counters counters;
    std::optional<config::document> current;
    document_id current_id;
    /// Adopted documents, the newest last.
    std::deque<serialized_document> recent_documents;
    std::map<support::member_id, known_peer> peers;

    bool started = false;
    time_point last_contact{};
    time_point next_read{};
    bool store_answered = false;
    milliseconds read_backoff = first_backoff;

    bool watching = false;
    bool watch_open = false;
    std::uint64_t watch_number = 0;
    store::change_index known_index;
    time_point next_watch{};
    milliseconds watch_backoff = first_backoff;

    /// The peer of the pending pull; empty when there is none.
    support::member_id pull_peer;
    time_point next_pull{};
    /// The newest version reported by membership or a transfer.
    std::uint64_t highest_seen_version = 0;
    std::string push_payload;
    unsigned push_retries = 0;

    milliseconds jitter(milliseconds max_wait);
    milliseconds back_off(milliseconds& backoff);
    const std::string& current_text() const
    {
        return recent_documents.back().text;
    }
    bool should_watch() const;
    std::vector<support::member_id> peers_with_older_version() const;
    std::optional<support::member_id> random_newer_peer();
    std::vector<action> adopt_if_newer(std::string_view serialized,
                                       time_point now);
    void adopt_document(config::document adopted, std::string serialized);
    void push(std::vector<action>& actions);
    void push_to(const support::member_id& to, std::vector<action>& actions);
    void take_transfer(std::string_view encoded,
                       const support::member_id& sender,
                       std::vector<action>& actions,
                       time_point now);
    void take_document_of_store(std::string_view serialized,
                                const store::change_index& index,
                                std::vector<action>& actions,
                                time_point now);
    void restore(const store::change_index& index,
                 std::vector<action>& actions);
    void watch_tick(std::vector<action>& actions, time_point now);
    void pull_tick(std::vector<action>& actions, time_point now);
    void read_tick(std::vector<action>& actions, time_point now);
};

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

bool rollout::state::should_watch() const
{
    const auto own = std::pair(watcher_hash(member), std::string_view(member));
    std::size_t lower_hash_count = 0;
    for (const auto& [id, peer] : peers) {
        if (peer.domain != domain || !peer.accepts_transfers)
            continue;
        const auto other = std::pair(watcher_hash(id), std::string_view(id));
        lower_hash_count += other < own ? 1 : 0;
    }
    return lower_hash_count < watchers;
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

std::optional<support::member_id> rollout::state::random_newer_peer()
{
    if (highest_seen_version <= current_id.version)
        return std::nullopt;
    std::vector<support::member_id> newer_peers;
    for (const auto& [id, peer] : peers) {
        if (peer.accepts_transfers && peer.version > current_id.version)
            newer_peers.push_back(id);
    }
    if (newer_peers.empty())
        return std::nullopt;
    return newer_peers[support::uniform_below(random, newer_peers.size())];
}

/// Adopts \p serialized if it is newer than the document in force; drops it
/// otherwise, and counts it if it is older, conflicting or invalid.
std::vector<action> rollout::state::adopt_if_newer(std::string_view serialized,
                                                   time_point)
{
    support::result<config::document> parsed =
        config::parse_document(serialized);
    if (!parsed) {
        ++counters.invalid;
        return {};
    }
    config::document& received = parsed.value();
    if (current && received.version < current->version) {
        ++counters.reversions_refused;
        return {};
    }
    if (current && received.version == current->version) {
        const bool conflicting = received.change_id != current->change_id;
        counters.conflicts += conflicting ? 1 : 0;
        return {};
    }
    std::string canonical = config::serialize(received);
    adopt_document(std::move(received), std::move(canonical));
    std::vector<action> actions;
    actions.emplace_back(adopt{*current});
    push(actions);
    return actions;
}

void rollout::state::adopt_document(config::document adopted,
                                    std::string serialized)
{
    const bool lower = current && adopted.version < current->version;
    counters.reversions_adopted += lower ? 1 : 0;
    ++counters.adopted;
    current_id = {adopted.version, hash_of(serialized)};
    recent_documents.push_back({adopted.version, std::move(serialized)});
    if (recent_documents.size() > max_recent_documents)
        recent_documents.pop_front();
    current = std::move(adopted);
}

void rollout::state::push(std::vector<action>& actions)
{
    const bool has_no_base = recent_documents.size() < 2;
    const serialized_document no_document;
    const serialized_document& base =
        has_no_base ? no_document
                    : recent_documents[recent_documents.size() - 2];
    push_payload = encode(make_transfer(base.text, base.version, current_text(),
                                        current_id.version));
    push_retries = 0;
    std::vector<support::member_id> older_peers = peers_with_older_version();
    std::shuffle(older_peers.begin(), older_peers.end(), random);
    older_peers.resize(std::min(older_peers.size(), push_fan_out));
    for (const support::member_id& to : older_peers)
        push_to(to, actions);
}

void rollout::state::push_to(const support::member_id& to,
                             std::vector<action>& actions)
{
    ++counters.pushes;
    actions.emplace_back(
        push_to_peer{to, peers.at(to).operators, push_payload});
}

void rollout::state::take_transfer(std::string_view encoded,
                                   const support::member_id& sender,
                                   std::vector<action>& actions,
                                   time_point now)
{
    auto received = decode_transfer(encoded);
    if (!received) {
        ++counters.invalid;
        return;
    }
    const transfer& incoming = received.value();
    const bool is_patch = incoming.from.version != 0;
    const auto sending_peer = peers.find(sender);
    if (sending_peer != peers.end()) {
        sending_peer->second.version =
            std::max(sending_peer->second.version, incoming.to.version);
        highest_seen_version =
            std::max(highest_seen_version, incoming.to.version);
    }
    if (is_patch && incoming.to == current_id)
        return;
    if (is_patch && incoming.to.version < current_id.version) {
        ++counters.reversions_refused;
        return;
    }
    auto serialized = apply_transfer(
        recent_documents.empty() ? "" : current_text(), incoming);
    if (!serialized) {
        next_pull = now;
        pull_tick(actions, now);
        return;
    }
    ++(is_patch ? counters.patches : counters.whole_documents);
    for (action& next_action : adopt_if_newer(serialized.value(), now))
        actions.push_back(std::move(next_action));
}

void rollout::state::take_document_of_store(std::string_view serialized,
                                            const store::change_index& index,
                                            std::vector<action>& actions,
                                            time_point now)
{
    for (action& next_action : adopt_if_newer(serialized, now))
        actions.push_back(std::move(next_action));
    const auto parsed = config::parse_document(serialized);
    if (parsed && parsed.value().version < current_id.version)
        restore(index, actions);
}

/// Writes the document in force to a store that has an older document or none.
void rollout::state::restore(const store::change_index& index,
                             std::vector<action>& actions)
{
    if (!watching || recent_documents.empty())
        return;
    ++counters.store_restores;
    actions.emplace_back(restore_store{current_text(), index});
}

void rollout::state::watch_tick(std::vector<action>& actions, time_point now)
{
    watching = should_watch();
    if (!watching || watch_open || now < next_watch)
        return;
    watch_open = true;
    ++watch_number;
    ++counters.store_watches;
    actions.emplace_back(watch_store{watch_number, known_index});
}

void rollout::state::pull_tick(std::vector<action>& actions, time_point now)
{
    if (!pull_peer.empty())
        return;
    const auto newer_peer = random_newer_peer();
    if (!newer_peer || now < next_pull)
        return;
    pull_peer = *newer_peer;
    ++counters.pulls;
    actions.emplace_back(
        pull_from_peer{pull_peer, peers.at(pull_peer).operators, current_id});
}

void rollout::state::read_tick(std::vector<action>& actions, time_point now)
{
    const bool recent_contact = now - last_contact < contact_timeout;
    const bool initial_read_done = current_id.version != 0 || store_answered;
    const bool read_not_needed =
        initial_read_done && (recent_contact || watching);
    if (read_not_needed || now < next_read)
        return;
    next_read = now + contact_timeout + jitter(contact_timeout / 2);
    ++counters.store_reads;
    actions.emplace_back(read_store{});
}

rollout::rollout(std::string member,
                 std::string domain,
                 std::uint64_t seed,
                 std::size_t watchers)
    : state_(std::make_unique<state>())
{
    state_->member = std::move(member);
    state_->domain = std::move(domain);
    state_->random.seed(seed);
    state_->watchers = watchers;
}

rollout::~rollout() = default;

std::vector<action> rollout::on_document(std::string_view text, time_point now)
{
    return state_->adopt_if_newer(text, now);
}

std::vector<action> rollout::on_store_answer(std::string_view text,
                                             const store::change_index& index,
                                             time_point now)
{
    std::vector<action> actions;
    state_->last_contact = now;
    state_->read_backoff = first_backoff;
    state_->store_answered = true;
    if (!index.is_absent())
        state_->take_document_of_store(text, index, actions, now);
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
    state_->watch_open = false;
    state_->next_watch = now + state_->back_off(state_->watch_backoff);
    return {};
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

std::vector<action> rollout::on_pull_answer(const support::member_id& peer,
                                            std::string_view encoded,
                                            time_point now)
{
    std::vector<action> actions;
    if (peer != state_->pull_peer)
        return actions;
    state_->pull_peer.clear();
    state_->next_pull = now + first_backoff;
    state_->last_contact = now;
    if (!encoded.empty())
        state_->take_transfer(encoded, peer, actions, now);
    return actions;
}

std::vector<action> rollout::on_pull_failed(const support::member_id& peer,
                                            time_point now)
{
    if (peer != state_->pull_peer)
        return {};
    ++state_->counters.pulls_failed;
    state_->pull_peer.clear();
    state_->next_pull = now + state_->jitter(first_backoff);
    return {};
}

std::vector<action> rollout::on_push_failed(const support::member_id& peer,
                                            time_point)
{
    std::vector<action> actions;
    std::vector<support::member_id> older_peers =
        state_->peers_with_older_version();
    std::erase(older_peers, peer);
    if (older_peers.empty() || state_->push_retries >= max_push_retries)
        return actions;
    ++state_->push_retries;
    const auto index =
        support::uniform_below(state_->random, older_peers.size());
    state_->push_to(older_peers[index], actions);
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
    known_peer& peer = state_->peers[record.id];
    peer.operators = record.operators;
    peer.domain = record.domain;
    peer.accepts_transfers = accepts_transfers(record.state);
    peer.version = record.configuration_version;
    if (peer.version <= state_->highest_seen_version)
        return;
    state_->highest_seen_version = peer.version;
    state_->next_pull =
        std::max(state_->next_pull, now + state_->jitter(pull_jitter));
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
        state_->next_watch = now + state_->jitter(start_jitter) + start_jitter;
    }
    state_->watch_tick(actions, now);
    state_->pull_tick(actions, now);
    state_->read_tick(actions, now);
    return actions;
}

std::string rollout::transfer_for(const document_id& peer_id) const
{
    if (peer_id.version >= state_->current_id.version)
        return "";
    for (const serialized_document& candidate : state_->recent_documents) {
        const bool is_base = candidate.version == peer_id.version &&
                             hash_of(candidate.text) == peer_id.hash;
        if (!is_base)
            continue;
        return encode(make_transfer(candidate.text, candidate.version,
                                    state_->current_text(),
                                    state_->current_id.version));
    }
    return encode(make_transfer("", 0, state_->current_text(),
                                state_->current_id.version));
}

const config::document* rollout::current() const
{
    return state_->current ? &*state_->current : nullptr;
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

const rollout_counters& rollout::counters() const
{
    return state_->counters;
}

} // namespace galenarudder::rollout
