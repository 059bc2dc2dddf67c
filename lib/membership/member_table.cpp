// Lists by swap-removal and digests by exclusive or, so that each change costs
// the same whatever the fleet's size.
#include "galenarudder/membership/member_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace galenarudder::membership {

namespace {

/// Suspicion is not the member's own word and stays out of the digest.
std::uint64_t digest_of(const peer& known)
{
    const std::uint64_t parts[] = {known.hash, known.record.incarnation,
                                   static_cast<std::uint64_t>(known.stated),
                                   known.content};
    return XXH64(parts, sizeof parts, 0);
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
    auto own = std::make_unique<peer>();
    own->hash = hash_of(self.id);
    own->record = self;
    own->stated = self.state;
    own->content = content_hash(self);
    self_ = own.get();
    peers_[own->hash] = std::move(own);
    toggle_digest(*self_, true);
}

peer* member_table::find(member_hash hash)
{
    const auto found = peers_.find(hash);
    return found == peers_.end() ? nullptr : found->second.get();
}

domain_state& member_table::domain_of(const std::string& name)
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

void member_table::toggle_digest(const peer& known, bool present)
{
    if (!is_live(known.record.state))
        return;
    domain_state& domain = domain_of(known.record.domain);
    const std::uint64_t part = digest_of(known);
    domain.digest ^= part;
    domain.buckets[bucket_of(known.hash)] ^= part;
    domain.count += present ? 1 : -1;
}

void member_table::enlist(peer& known)
{
    if (&known == self_)
        return;
    std::vector<peer*>& list = is_live(known.record.state) ? live_ : absent_;
    known.position = list.size();
    list.push_back(&known);
}

void member_table::delist(peer& known)
{
    if (&known == self_)
        return;
    std::vector<peer*>& list = is_live(known.record.state) ? live_ : absent_;
    assert(list[known.position] == &known && "the lists match the states");
    list[known.position] = list.back();
    list[known.position]->position = known.position;
    list.pop_back();
}

peer& member_table::add(const member_record& record, support::time_point now)
{
    auto made = std::make_unique<peer>();
    peer& added = *made;
    added.hash = hash_of(record.id);
    added.record = record;
    added.stated = record.state;
    added.content = content_hash(record);
    added.changed = now;
    assert(!peers_.contains(added.hash) && "the member is not known yet");
    peers_[added.hash] = std::move(made);
    enlist(added);
    toggle_digest(added, true);
    return added;
}

void member_table::replace(peer& known,
                           member_record record,
                           support::time_point now)
{
    toggle_digest(known, false);
    delist(known);
    known.record = std::move(record);
    known.stated = known.record.state;
    known.content = content_hash(known.record);
    known.changed = now;
    enlist(known);
    toggle_digest(known, true);
}

void member_table::show_state(peer& known,
                              member_state state,
                              support::time_point now)
{
    assert(is_live(state) && is_live(known.record.state) &&
           "only live members change what is shown");
    known.record.state = state;
    known.changed = now;
}

void member_table::remove(peer& known)
{
    toggle_digest(known, false);
    delist(known);
    peers_.erase(known.hash);
}

peer* member_table::random_live(support::random_engine& random) const
{
    return random_of(live_, random);
}

peer* member_table::random_absent(support::random_engine& random) const
{
    return random_of(absent_, random);
}

std::vector<const peer*> member_table::in_buckets(std::string_view domain,
                                                  std::uint64_t mask) const
{
    std::vector<const peer*> found;
    const auto collect = [&](const peer* known) {
        const bool asked = ((mask >> bucket_of(known->hash)) & 1) != 0;
        if (asked && known->record.domain == domain)
            found.push_back(known);
    };
    collect(self_);
    std::for_each(live_.begin(), live_.end(), collect);
    std::for_each(absent_.begin(), absent_.end(), collect);
    return found;
}

std::vector<member_record> member_table::records() const
{
    std::vector<member_record> all{self_->record};
    for (const peer* known : live_)
        all.push_back(known->record);
    for (const peer* known : absent_)
        all.push_back(known->record);
    std::sort(all.begin(), all.end(),
              [](const member_record& left, const member_record& right) {
                  return left.id < right.id;
              });
    return all;
}

} // namespace galenarudder::membership
