// Adoption, pushes, pulls, and which members watch the store.
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

/// A first read or pull waits at most this long, so that a fleet that starts
/// at once does not ask at once.
constexpr milliseconds start_jitter{500};
/// A push is likely on its way when a newer version is heard of.
constexpr milliseconds pull_jitter{150};
/// Without a word from any peer for this long the store is read.
constexpr milliseconds silence_limit{5000};
constexpr milliseconds first_backoff{250};
constexpr milliseconds max_backoff{2000};
/// Documents kept to build patches from.
constexpr std::size_t kept_documents = 8;
/// Pushes of one document that are tried again with another peer.
constexpr unsigned max_push_retries = 4;

struct peer
{
    config::endpoint operators;
    std::string domain;
    std::uint64_t version = 0;
    bool reachable = false;
};

struct stored_document
{
    std::uint64_t version = 0;
    std::string text;
};

/// Rendezvous weight of a member as a watcher.
std::uint64_t watcher_weight(std::string_view member)
{
    return XXH3_64bits(member.data(), member.size());
}

bool reachable(member_state state)
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
    document_id held;
    /// The newest last.
    std::deque<stored_document> recent;
    std::map<support::member_id, peer> peers;

    bool started = false;
    time_point last_word{};
    time_point next_read{};
    bool store_answered = false;
    milliseconds read_backoff = first_backoff;

    bool watching = false;
    bool watch_open = false;
    std::uint64_t watch = 0;
    std::uint64_t known_index = 0;
    time_point next_watch{};
    milliseconds watch_backoff = first_backoff;

    /// The peer asked at present; empty when none is.
    support::member_id pulling;
    time_point next_pull{};
    /// The newest version that a pull was planned for.
    std::uint64_t heard_version = 0;
    std::string pushed;
    unsigned push_retries = 0;

    milliseconds jitter(milliseconds most);
    milliseconds back_off(milliseconds& backoff);
    const std::string& text() const { return recent.back().text; }
    bool is_watcher() const;
    std::vector<support::member_id> peers_behind() const;
    std::optional<support::member_id> peer_ahead();
    std::vector<action> offer(std::string_view stored, time_point now);
    void take(config::document whole, std::string stored);
    void push(std::vector<action>& actions);
    void push_one(const support::member_id& to, std::vector<action>& actions);
    void take_transfer(std::string_view encoded,
                       const support::member_id& sender,
                       std::vector<action>& actions,
                       time_point now);
    void from_store(std::string_view stored,
                    std::uint64_t index,
                    std::vector<action>& actions,
                    time_point now);
    void restore(std::uint64_t index, std::vector<action>& actions);
    void tend_watch(std::vector<action>& actions, time_point now);
    void tend_pull(std::vector<action>& actions, time_point now);
    void tend_read(std::vector<action>& actions, time_point now);
};

milliseconds rollout::state::jitter(milliseconds most)
{
    const auto bound = static_cast<std::uint64_t>(most.count()) + 1;
    return milliseconds(support::uniform_below(random, bound));
}

/// Doubles \p backoff and returns a wait between its half and its whole.
milliseconds rollout::state::back_off(milliseconds& backoff)
{
    const milliseconds wait = backoff / 2 + jitter(backoff / 2);
    backoff = std::min(backoff * 2, max_backoff);
    return wait;
}

bool rollout::state::is_watcher() const
{
    const auto own =
        std::pair(watcher_weight(member), std::string_view(member));
    std::size_t before = 0;
    for (const auto& [id, known] : peers) {
        if (known.domain != domain || !known.reachable)
            continue;
        const auto other = std::pair(watcher_weight(id), std::string_view(id));
        before += other < own ? 1 : 0;
    }
    return before < watchers;
}

std::vector<support::member_id> rollout::state::peers_behind() const
{
    std::vector<support::member_id> behind;
    for (const auto& [id, known] : peers) {
        if (known.reachable && known.version < held.version)
            behind.push_back(id);
    }
    return behind;
}

std::optional<support::member_id> rollout::state::peer_ahead()
{
    if (heard_version <= held.version)
        return std::nullopt;
    std::vector<support::member_id> ahead;
    for (const auto& [id, known] : peers) {
        if (known.reachable && known.version > held.version)
            ahead.push_back(id);
    }
    if (ahead.empty())
        return std::nullopt;
    return ahead[support::uniform_below(random, ahead.size())];
}

/// Adopts \p stored when it is newer than what is in force; counts and drops
/// it otherwise.
std::vector<action> rollout::state::offer(std::string_view stored, time_point)
{
    support::result<config::document> parsed = config::parse_document(stored);
    if (!parsed) {
        ++counters.invalid;
        return {};
    }
    config::document& whole = parsed.value();
    if (current && whole.version < current->version) {
        ++counters.reversions_refused;
        return {};
    }
    if (current && whole.version == current->version) {
        const bool other = whole.change_id != current->change_id;
        counters.conflicts += other ? 1 : 0;
        return {};
    }
    std::string canonical = config::serialize(whole);
    take(std::move(whole), std::move(canonical));
    std::vector<action> actions;
    actions.emplace_back(adopt{*current});
    push(actions);
    return actions;
}

void rollout::state::take(config::document whole, std::string stored)
{
    const bool lower = current && whole.version < current->version;
    counters.reversions_adopted += lower ? 1 : 0;
    ++counters.adopted;
    held = {whole.version, hash_of(stored)};
    recent.push_back({whole.version, std::move(stored)});
    if (recent.size() > kept_documents)
        recent.pop_front();
    current = std::move(whole);
}

void rollout::state::push(std::vector<action>& actions)
{
    const bool first = recent.size() < 2;
    const stored_document none;
    const stored_document& before = first ? none : recent[recent.size() - 2];
    pushed = encode(
        make_transfer(before.text, before.version, text(), held.version));
    push_retries = 0;
    std::vector<support::member_id> behind = peers_behind();
    std::shuffle(behind.begin(), behind.end(), random);
    behind.resize(std::min(behind.size(), push_fan_out));
    for (const support::member_id& to : behind)
        push_one(to, actions);
}

void rollout::state::push_one(const support::member_id& to,
                              std::vector<action>& actions)
{
    ++counters.pushes;
    actions.emplace_back(push_to_peer{to, peers.at(to).operators, pushed});
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
    const transfer& sent = received.value();
    const bool patch = sent.from.version != 0;
    const auto known = peers.find(sender);
    if (known != peers.end()) {
        known->second.version =
            std::max(known->second.version, sent.to.version);
        heard_version = std::max(heard_version, sent.to.version);
    }
    if (patch && sent.to == held)
        return;
    if (patch && sent.to.version < held.version) {
        ++counters.reversions_refused;
        return;
    }
    auto stored = apply_transfer(recent.empty() ? "" : text(), sent);
    if (!stored) {
        next_pull = now;
        tend_pull(actions, now);
        return;
    }
    ++(patch ? counters.patches : counters.whole_documents);
    for (action& next : offer(stored.value(), now))
        actions.push_back(std::move(next));
}

void rollout::state::from_store(std::string_view stored,
                                std::uint64_t index,
                                std::vector<action>& actions,
                                time_point now)
{
    for (action& next : offer(stored, now))
        actions.push_back(std::move(next));
    const auto parsed = config::parse_document(stored);
    if (parsed && parsed.value().version < held.version)
        restore(index, actions);
}

/// Writes back what is in force to a store that lost it.
void rollout::state::restore(std::uint64_t index, std::vector<action>& actions)
{
    if (!watching || recent.empty())
        return;
    ++counters.store_restores;
    actions.emplace_back(restore_store{text(), index});
}

void rollout::state::tend_watch(std::vector<action>& actions, time_point now)
{
    watching = is_watcher();
    if (!watching || watch_open || now < next_watch)
        return;
    watch_open = true;
    ++watch;
    ++counters.store_watches;
    actions.emplace_back(watch_store{watch, known_index});
}

void rollout::state::tend_pull(std::vector<action>& actions, time_point now)
{
    if (!pulling.empty())
        return;
    const auto ahead = peer_ahead();
    if (!ahead || now < next_pull)
        return;
    pulling = *ahead;
    ++counters.pulls;
    actions.emplace_back(
        pull_from_peer{pulling, peers.at(pulling).operators, held});
}

void rollout::state::tend_read(std::vector<action>& actions, time_point now)
{
    const bool heard = now - last_word < silence_limit;
    const bool informed = held.version != 0 || store_answered;
    const bool settled = informed && (heard || watching);
    if (settled || now < next_read)
        return;
    next_read = now + silence_limit + jitter(silence_limit / 2);
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
    return state_->offer(text, now);
}

std::vector<action> rollout::on_store_answer(std::string_view text,
                                             std::uint64_t index,
                                             time_point now)
{
    std::vector<action> actions;
    state_->last_word = now;
    state_->read_backoff = first_backoff;
    state_->store_answered = true;
    if (index != 0)
        state_->from_store(text, index, actions, now);
    return actions;
}

std::vector<action> rollout::on_store_unavailable(time_point now)
{
    state_->next_read = now + state_->back_off(state_->read_backoff);
    return {};
}

std::vector<action> rollout::on_watch_answer(std::uint64_t watch,
                                             std::string_view text,
                                             std::uint64_t index,
                                             time_point now)
{
    std::vector<action> actions;
    if (watch != state_->watch)
        return actions;
    state_->watch_open = false;
    state_->last_word = now;
    state_->watch_backoff = first_backoff;
    const bool changed = index != state_->known_index;
    state_->known_index = index;
    // An absent key is answered at once; asking again at once would spin.
    if (index == 0) {
        state_->next_watch = now + max_backoff / 2;
        state_->restore(index, actions);
    }
    if (index != 0 && changed)
        state_->from_store(text, index, actions, now);
    state_->tend_watch(actions, now);
    return actions;
}

std::vector<action> rollout::on_watch_failed(std::uint64_t watch,
                                             time_point now)
{
    if (watch != state_->watch)
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
    state_->last_word = now;
    state_->take_transfer(encoded, sender, actions, now);
    return actions;
}

std::vector<action> rollout::on_pull_answer(const support::member_id& peer,
                                            std::string_view encoded,
                                            time_point now)
{
    std::vector<action> actions;
    if (peer != state_->pulling)
        return actions;
    state_->pulling.clear();
    state_->next_pull = now + first_backoff;
    state_->last_word = now;
    if (!encoded.empty())
        state_->take_transfer(encoded, peer, actions, now);
    return actions;
}

std::vector<action> rollout::on_pull_failed(const support::member_id& peer,
                                            time_point now)
{
    if (peer != state_->pulling)
        return {};
    ++state_->counters.pulls_failed;
    state_->pulling.clear();
    state_->next_pull = now + state_->jitter(first_backoff);
    return {};
}

std::vector<action> rollout::on_push_failed(const support::member_id& peer,
                                            time_point)
{
    std::vector<action> actions;
    std::vector<support::member_id> behind = state_->peers_behind();
    std::erase(behind, peer);
    if (behind.empty() || state_->push_retries >= max_push_retries)
        return actions;
    ++state_->push_retries;
    const auto pick = support::uniform_below(state_->random, behind.size());
    state_->push_one(behind[pick], actions);
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
    peer& known = state_->peers[record.id];
    known.operators = record.operators;
    known.domain = record.domain;
    known.reachable = reachable(record.state);
    known.version = record.configuration_version;
    if (known.version <= state_->heard_version)
        return;
    state_->heard_version = known.version;
    state_->next_pull =
        std::max(state_->next_pull, now + state_->jitter(pull_jitter));
}

void rollout::on_word(time_point now)
{
    state_->last_word = now;
}

std::vector<action> rollout::on_tick(time_point now)
{
    std::vector<action> actions;
    if (!state_->started) {
        state_->started = true;
        state_->last_word = now;
        state_->next_read = now + state_->jitter(start_jitter);
        state_->next_watch = now + state_->jitter(start_jitter) + start_jitter;
    }
    state_->tend_watch(actions, now);
    state_->tend_pull(actions, now);
    state_->tend_read(actions, now);
    return actions;
}

std::string rollout::transfer_for(const document_id& theirs) const
{
    if (theirs.version >= state_->held.version)
        return "";
    for (const stored_document& kept : state_->recent) {
        const bool same =
            kept.version == theirs.version && hash_of(kept.text) == theirs.hash;
        if (!same)
            continue;
        return encode(make_transfer(kept.text, kept.version, state_->text(),
                                    state_->held.version));
    }
    return encode(make_transfer("", 0, state_->text(), state_->held.version));
}

const config::document* rollout::current() const
{
    return state_->current ? &*state_->current : nullptr;
}

std::uint64_t rollout::version() const
{
    return state_->held.version;
}

const document_id& rollout::held() const
{
    return state_->held;
}

bool rollout::watches() const
{
    return state_->watching;
}

const rollout_counters& rollout::counters() const
{
    return state_->counters;
}

} // namespace galenarudder::rollout
