// Removal from a list swaps with its last element, and digests are combined by
// exclusive or, so that the cost of a change does not depend on the number of
// members.
#include "galenarudder/membership/member_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace galenarudder::membership {

namespace {

/// Suspicion is not part of the digest: it is not announced by the member
/// itself.
std::uint64_t digest_of(const peer& known_peer)
{
    const std::uint64_t fields[] = {
        known_peer.hash, known_peer.record.incarnation,
        static_cast<std::uint64_t>(known_peer.last_state),
        known_peer.content_hash};
    return XXH64(fields, sizeof fields, 0);
}

peer* random_of(const std::vector<peer*>& list, support::random_engine& random)
{
    if (list.empty())
        return nullptr;
    return list[support::uniform_below(random, list.size())];
}

} // namespace

bool is_live(member_state state)
{
    return state != member_state::left && state != member_state::dead;
}

member_table::member_table(const member_record& self)
{
    auto self_peer = std::make_unique<peer>();
    self_peer->hash = hash_of(self.id);
    self_peer->record = self;
    self_peer->last_state = self.state;
    self_peer->content_hash = content_hash(self);
    self_ = self_peer.get();
    peers_[self_peer->hash] = std::move(self_peer);
    add_or_remove_in_digest(*self_, true);
}

peer* member_table::find(member_hash hash)
{
    const auto found = peers_.find(hash);
    return found == peers_.end() ? nullptr : found->second.get();
}

domain_state& member_table::find_or_add_domain(const std::string& name)
{
    for (domain_state& domain : domains_) {
        if (domain.name == name)
            return domain;
    }
    domains_.push_back({name});
    return domains_.back();
}

const domain_state* member_table::find_domain(std::string_view name) const
{
    for (const domain_state& domain : domains_) {
        if (domain.name == name)
            return &domain;
    }
    return nullptr;
}

void member_table::add_or_remove_in_digest(const peer& known_peer, bool add)
{
    if (!is_live(known_peer.record.state))
        return;
    domain_state& domain = find_or_add_domain(known_peer.record.domain);
    const std::uint64_t peer_digest = digest_of(known_peer);
    domain.digest ^= peer_digest;
    domain.bucket_digests[bucket_of(known_peer.hash)] ^= peer_digest;
    domain.count += add ? 1 : -1;
}

void member_table::add_to_list(peer& known_peer)
{
    if (&known_peer == self_)
        return;
    std::vector<peer*>& list =
        is_live(known_peer.record.state) ? live_ : absent_;
    known_peer.list_position = list.size();
    list.push_back(&known_peer);
}

void member_table::remove_from_list(peer& known_peer)
{
    if (&known_peer == self_)
        return;
    std::vector<peer*>& list =
        is_live(known_peer.record.state) ? live_ : absent_;
    assert(list[known_peer.list_position] == &known_peer &&
           "the peer is in the list that its state selects");
    list[known_peer.list_position] = list.back();
    list[known_peer.list_position]->list_position = known_peer.list_position;
    list.pop_back();
}

peer& member_table::add(const member_record& record, support::time_point now)
{
    auto new_peer = std::make_unique<peer>();
    peer& added = *new_peer;
    added.hash = hash_of(record.id);
    added.record = record;
    added.last_state = record.state;
    added.content_hash = content_hash(record);
    added.changed_at = now;
    assert(!peers_.contains(added.hash) &&
           "the member is not in the table yet");
    peers_[added.hash] = std::move(new_peer);
    add_to_list(added);
    add_or_remove_in_digest(added, true);
    return added;
}

void member_table::replace(peer& known_peer,
                           member_record record,
                           support::time_point now)
{
    add_or_remove_in_digest(known_peer, false);
    remove_from_list(known_peer);
    known_peer.record = std::move(record);
    known_peer.last_state = known_peer.record.state;
    known_peer.content_hash = content_hash(known_peer.record);
    known_peer.changed_at = now;
    add_to_list(known_peer);
    add_or_remove_in_digest(known_peer, true);
}

void member_table::set_visible_state(peer& known_peer,
                                     member_state state,
                                     support::time_point now)
{
    assert(is_live(state) && is_live(known_peer.record.state) &&
           "the visible state changes only between live states");
    known_peer.record.state = state;
    known_peer.changed_at = now;
}

void member_table::remove(peer& known_peer)
{
    add_or_remove_in_digest(known_peer, false);
    remove_from_list(known_peer);
    peers_.erase(known_peer.hash);
}

peer* member_table::random_live(support::random_engine& random) const
{
    return random_of(live_, random);
}

peer* member_table::random_absent(support::random_engine& random) const
{
    return random_of(absent_, random);
}

std::vector<const peer*>
member_table::members_in_buckets(std::string_view domain,
                                 std::uint64_t bucket_mask) const
{
    std::vector<const peer*> found;
    const auto collect = [&](const peer* known_peer) {
        const bool selected =
            ((bucket_mask >> bucket_of(known_peer->hash)) & 1) != 0;
        if (selected && known_peer->record.domain == domain)
            found.push_back(known_peer);
    };
    collect(self_);
    std::for_each(live_.begin(), live_.end(), collect);
    std::for_each(absent_.begin(), absent_.end(), collect);
    return found;
}

std::vector<member_record> member_table::records() const
{
    std::vector<member_record> sorted{self_->record};
    for (const peer* known_peer : live_)
        sorted.push_back(known_peer->record);
    for (const peer* known_peer : absent_)
        sorted.push_back(known_peer->record);
    std::sort(sorted.begin(), sorted.end(),
              [](const member_record& left, const member_record& right) {
                  return left.id < right.id;
              });
    return sorted;
}

} // namespace galenarudder::membership
