// Messages are lines of text. The first line is `ask`, `tell` or
// `know ERA NUMBER`, the last from a daemon that knows the store's state; each
// further line is `ERA NUMBER EMPTIED AGE_MS DOMAIN`. An answer has in its
// first line after that `ID PART PARTS ERA NUMBER` with the revision of the
// reading. Earlier versions neither send nor read this; for them, a part of a
// longer answer has the revision `0 0` before it, from which nothing follows.
#include "galenarudder/membership/domain_states.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace galenarudder::membership {

namespace {

constexpr std::string_view ask_kind = "ask";
constexpr std::string_view tell_kind = "tell";
constexpr std::string_view know_kind = "know";

/// A change is sent to this many peers in each round. After three rounds of 4
/// about 6 in a million daemons have not heard of it, if no datagram is lost;
/// the reminders reach these.
constexpr std::size_t peers_per_round = 4;
constexpr std::size_t rounds_per_change = 3;
constexpr support::milliseconds round_interval{300};
/// Interval at which a daemon that is not informed asks two peers, at first and
/// once it no longer waits for the answer.
constexpr std::size_t peers_per_ask = 2;
constexpr support::milliseconds ask_interval{250};
constexpr support::milliseconds late_ask_interval{2000};
constexpr support::milliseconds reminder_interval{1000};

/// Removes the text up to the next \p separator from \p text and returns it.
std::string_view take_until(std::string_view& text, char separator)
{
    const std::size_t end = text.find(separator);
    const std::string_view taken = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return taken;
}

std::optional<std::uint64_t> take_number(std::string_view& text)
{
    const std::string_view digits = take_until(text, ' ');
    std::uint64_t value = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, failure] = std::from_chars(digits.data(), end, value);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

/// Returns whether \p domain can be the name of a domain in a message.
bool is_valid(std::string_view domain)
{
    const auto is_control = [](char character) {
        return static_cast<unsigned char>(character) < ' ';
    };
    return !domain.empty() &&
           domain.size() <= domain_states::max_domain_bytes &&
           std::none_of(domain.begin(), domain.end(), is_control);
}

std::string encode(std::string_view domain,
                   const domain_state& state,
                   support::time_point now)
{
    const auto age = std::chrono::duration_cast<support::milliseconds>(
        std::max(now - state.since, support::duration(0)));
    return std::to_string(state.revision.era) + ' ' +
           std::to_string(state.revision.number) +
           (state.emptied ? " 1 " : " 0 ") + std::to_string(age.count()) + ' ' +
           std::string(domain) + '\n';
}

struct named_state
{
    std::string_view domain;
    domain_state state;
};

std::optional<named_state> decode(std::string_view line,
                                  support::time_point now)
{
    const auto era = take_number(line);
    const auto number = take_number(line);
    const auto emptied = take_number(line);
    const auto age_ms = take_number(line);
    constexpr std::uint64_t max_age_ms = 1'000ULL * 86'400 * 365;
    if (!era || !number || !emptied || !age_ms || *age_ms > max_age_ms ||
        !is_valid(line))
        return std::nullopt;
    return named_state{
        line,
        {*emptied != 0, {*era, *number}, now - support::milliseconds(*age_ms)}};
}

/// Returns \p lines in as few messages as possible, with \p head_bytes left for
/// the head of each.
std::vector<std::string> pack(std::size_t head_bytes,
                              const std::vector<std::string>& lines)
{
    std::vector<std::string> messages(1);
    for (const std::string& line : lines) {
        if (messages.back().size() + line.size() + head_bytes >
            domain_states::max_message_bytes)
            messages.emplace_back();
        messages.back() += line;
    }
    return messages;
}

std::string to_text(const store_revision& revision)
{
    return std::to_string(revision.era) + ' ' + std::to_string(revision.number);
}

/// The place of a message in the answer that it belongs to.
struct answer_part
{
    std::uint64_t id = 0;
    std::size_t part = 0;
    std::size_t parts = 0;
    store_revision read_at;
};

std::optional<answer_part> take_part(std::string_view& head)
{
    const auto id = take_number(head);
    const auto part = take_number(head);
    const auto parts = take_number(head);
    const auto era = take_number(head);
    const auto number = take_number(head);
    if (!id || !part || !parts || !era || !number || *part >= *parts ||
        *parts > domain_states::max_domains)
        return std::nullopt;
    return answer_part{*id, *part, *parts, {*era, *number}};
}

void append(std::vector<domain_message>& messages,
            const std::string& peer,
            const std::vector<std::string>& payloads)
{
    for (const std::string& payload : payloads)
        messages.push_back({peer, payload});
}

} // namespace

domain_states::domain_states(std::uint64_t seed) : random_(seed) {}

/// Takes \p state if it is newer. Returns whether the domain became emptied or
/// was taken back by that, and sets \p ours_newer if ours is.
bool domain_states::merge(std::string_view domain,
                          const domain_state& state,
                          bool& ours_newer)
{
    const auto known = states_.find(domain);
    const store_revision known_revision =
        known == states_.end() ? read_at_ : known->second.revision;
    ours_newer = state.revision < known_revision;
    if (known != states_.end() && state.revision == known_revision &&
        state.emptied == known->second.emptied)
        known->second.since = std::min(known->second.since, state.since);
    if (state.revision <= known_revision)
        return false;
    if (known == states_.end()) {
        if (states_.size() >= max_domains || !is_valid(domain))
            return false;
        states_.emplace(domain, state);
        return state.emptied;
    }
    const bool changed = known->second.emptied != state.emptied;
    const support::time_point since = known->second.since;
    known->second = state;
    if (!changed)
        known->second.since = since;
    return changed;
}

/// Takes the domains back that were emptied before \p read_at, when only those
/// of \p emptied were.
void domain_states::supersede_before(
    store_revision read_at,
    const std::set<std::string, std::less<>>& emptied,
    support::time_point now)
{
    for (auto& [domain, state] : states_) {
        if (emptied.contains(domain) || !state.emptied ||
            state.revision >= read_at)
            continue;
        state = {false, read_at, now};
        spread(now);
    }
    read_at_ = std::max(read_at_, read_at);
}

void domain_states::on_reading(std::span<const emptied_domain> emptied,
                               store_revision read_at,
                               support::time_point now)
{
    std::set<std::string, std::less<>> listed;
    for (const emptied_domain& entry : emptied) {
        listed.insert(entry.domain);
        on_change(entry.domain, true, entry.revision, now);
    }
    supersede_before(read_at, listed, now);
    informed_ = true;
}

void domain_states::on_change(std::string_view domain,
                              bool emptied,
                              store_revision revision,
                              support::time_point now)
{
    bool ours_newer = false;
    if (merge(domain, {emptied, revision, now}, ours_newer))
        spread(now);
}

/// Sends the states at once and again in some later rounds.
void domain_states::spread(support::time_point now)
{
    rounds_left_ = rounds_per_change;
    next_round_ = now;
}

/// Returns messages with all states. A receiver of an earlier version may
/// conclude from one message that the domains it does not name are not emptied,
/// so only a message that holds all states names the revision of the reading
/// before its part.
std::vector<std::string> domain_states::encode_all(support::time_point now)
{
    std::vector<std::string> lines;
    for (const auto& [domain, state] : states_)
        lines.push_back(encode(domain, state, now));
    // Kind, two revisions, id and part.
    constexpr std::size_t max_head_bytes = 120;
    std::vector<std::string> messages = pack(max_head_bytes, lines);
    const std::string total = std::to_string(messages.size());
    const store_revision stated =
        messages.size() == 1 ? read_at_ : store_revision();
    std::string kind(tell_kind);
    if (informed_)
        kind.assign(know_kind).append(" ").append(to_text(stated));
    kind.append(" ").append(std::to_string(++answer_id_)).append(" ");
    for (std::size_t part = 0; part < messages.size(); ++part) {
        std::string head = kind;
        head.append(std::to_string(part)).append(" ").append(total);
        head.append(" ").append(to_text(read_at_)).append("\n");
        messages[part].insert(0, head);
    }
    return messages;
}

/// Counts an answer once all its parts have arrived. \p emptied are the domains
/// that this part names as emptied.
void domain_states::on_answer(const std::string& peer,
                              std::string_view kind,
                              std::string_view head,
                              std::set<std::string, std::less<>> emptied,
                              bool has_states,
                              support::time_point now)
{
    const bool knows = kind == know_kind;
    store_revision read_at;
    if (knows) {
        const auto era = take_number(head);
        const auto number = take_number(head);
        if (!era || !number)
            return;
        read_at = {*era, *number};
    }
    std::optional<answer_part> part = take_part(head);
    if (!part && !knows) {
        // A correction by an earlier version has states.
        if (!has_states)
            unaware_peers_.insert(peer);
        return;
    }
    if (!part && read_at == store_revision()) {
        if (unnumbered_since_ == support::time_point())
            unnumbered_since_ = now;
        return;
    }
    if (part && part->parts > 1) {
        if (partial_answers_.size() > max_unaware_peers)
            partial_answers_.clear();
        partial_answer& partial = partial_answers_[peer];
        if (partial.id != part->id || partial.parts != part->parts)
            partial = {part->id, part->parts, part->read_at, {}, {}};
        partial.received.insert(part->part);
        partial.emptied.merge(emptied);
        if (partial.received.size() < partial.parts)
            return;
        emptied = std::move(partial.emptied);
        partial_answers_.erase(peer);
    }
    if (!knows) {
        unaware_peers_.insert(peer);
        return;
    }
    supersede_before(part ? part->read_at : read_at, emptied, now);
    informed_ = true;
    partial_answers_.clear();
    unaware_peers_.clear();
}

std::vector<domain_message> domain_states::on_message(const std::string& peer,
                                                      std::string_view payload,
                                                      support::time_point now)
{
    std::vector<domain_message> replies;
    std::string_view head = take_until(payload, '\n');
    const std::string_view kind = take_until(head, ' ');
    if (kind == ask_kind) {
        append(replies, peer, encode_all(now));
        return replies;
    }
    if (kind != know_kind && kind != tell_kind)
        return replies;
    std::vector<std::string> newer_lines;
    std::set<std::string, std::less<>> named;
    const bool has_states = !payload.empty();
    while (!payload.empty()) {
        const auto received = decode(take_until(payload, '\n'), now);
        if (!received)
            continue;
        bool ours_newer = false;
        if (merge(received->domain, received->state, ours_newer))
            spread(now);
        if (received->state.emptied)
            named.emplace(received->domain);
        if (!ours_newer)
            continue;
        const auto known = states_.find(received->domain);
        newer_lines.push_back(encode(received->domain,
                                     known == states_.end()
                                         ? domain_state{false, read_at_, now}
                                         : known->second,
                                     now));
    }
    on_answer(peer, kind, head, std::move(named), has_states, now);
    if (newer_lines.empty())
        return replies;
    const std::string tell = std::string(tell_kind) + '\n';
    for (const std::string& lines : pack(tell.size(), newer_lines))
        replies.push_back({peer, tell + lines});
    return replies;
}

/// Takes the \p live peers of a daemon that is not informed.
void domain_states::on_peers(const std::vector<std::string>& live,
                             support::time_point now)
{
    if (!live.empty())
        last_peer_at_ = now;
    const auto unaware = static_cast<std::size_t>(std::count_if(
        live.begin(), live.end(), [this](const std::string& peer) {
            return unaware_peers_.contains(peer);
        }));
    all_unaware_ =
        !live.empty() && unaware >= std::min(live.size(), max_unaware_peers);
    if (unnumbered_since_ != support::time_point() &&
        now - unnumbered_since_ >= unnumbered_wait)
        informed_ = true;
}

/// Returns the peers to ask next: first those that have not answered.
std::vector<std::string>
domain_states::peers_to_ask(const std::vector<std::string>& live)
{
    std::vector<std::string> ordered = live;
    std::stable_partition(ordered.begin(), ordered.end(),
                          [this](const std::string& peer) {
                              return !unaware_peers_.contains(peer);
                          });
    ordered.resize(std::min(ordered.size(), peers_per_ask));
    return ordered;
}

bool domain_states::must_wait(support::time_point now) const
{
    if (informed_)
        return false;
    const bool has_waited =
        started_at_ != support::time_point() && now - started_at_ >= max_alone;
    const bool is_alone = now - last_peer_at_ >= max_alone;
    return !has_waited || !(is_alone || all_unaware_);
}

std::vector<domain_message> domain_states::on_tick(const peer_source& peers,
                                                   support::time_point now)
{
    if (started_at_ == support::time_point())
        started_at_ = last_peer_at_ = now;
    std::vector<domain_message> messages;
    const auto send_all = [&](std::size_t count) {
        const std::vector<std::string> payloads = encode_all(now);
        for (const std::string& peer : peers(count))
            append(messages, peer, payloads);
    };
    std::vector<std::string> live;
    if (!informed_) {
        live = peers(std::numeric_limits<std::size_t>::max());
        on_peers(live, now);
    }
    const support::milliseconds interval =
        must_wait(now) ? ask_interval : late_ask_interval;
    if (!informed_ && !live.empty() && now - asked_at_ >= interval) {
        asked_at_ = now;
        for (const std::string& peer : peers_to_ask(live))
            append(messages, peer, {std::string(ask_kind) + '\n'});
    }
    if (rounds_left_ > 0 && now >= next_round_) {
        --rounds_left_;
        next_round_ = now + round_interval;
        send_all(peers_per_round);
    }
    const bool any_emptied =
        std::any_of(states_.begin(), states_.end(),
                    [](const auto& entry) { return entry.second.emptied; });
    if (any_emptied && now >= next_reminder_) {
        // Daemons that learned of the change together must not remind together.
        next_reminder_ =
            now + reminder_interval / 2 +
            support::milliseconds(support::uniform_below(
                random_,
                static_cast<std::uint64_t>(reminder_interval.count())));
        send_all(1);
    }
    return messages;
}

bool domain_states::is_emptied(std::string_view domain) const
{
    const auto known = states_.find(domain);
    return known != states_.end() && known->second.emptied;
}

std::vector<std::string> domain_states::emptied() const
{
    std::vector<std::string> domains;
    for (const auto& [domain, state] : states_) {
        if (state.emptied)
            domains.push_back(domain);
    }
    return domains;
}

} // namespace galenarudder::membership
