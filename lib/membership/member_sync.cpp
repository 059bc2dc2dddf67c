// Joining through introducers, anti-entropy by digests, and messages to members
// that are recorded as dead or left, so that partitions heal.
#include "member_state.hpp"

#include <algorithm>

namespace galenarudder::membership {

namespace {

constexpr support::milliseconds first_join_retry{500};
constexpr unsigned max_join_doublings = 4;
constexpr std::size_t introducers_per_join = 3;
/// Introducers to which a join waits for the byte budget.
constexpr std::size_t max_pending_joins = 64;
constexpr support::milliseconds digest_interval{10000};
/// Interval of digests while records are missing.
constexpr support::milliseconds catch_up_interval{2000};
/// For this long after its start a process sends digests at
/// catch_up_interval.
constexpr support::milliseconds first_digests_time{20000};
constexpr support::milliseconds reconnect_interval{5000};
constexpr support::milliseconds introducer_interval{10000};
constexpr support::milliseconds dead_retention{2 * 60 * 60 * 1000};
constexpr support::milliseconds left_retention{10 * 60 * 1000};
constexpr std::size_t pulls_per_tick = 2;
constexpr std::size_t max_pending_pulls = 2048;
/// Records that one pull should return; about as many as fit into a datagram.
constexpr std::size_t records_per_pull = 9;
/// Maximum number of datagrams that answer one pull.
constexpr std::size_t datagrams_per_pull = 2;

const domain_digest* find_domain(const digest& from, std::string_view name)
{
    for (const domain_digest& entry : from.domains) {
        if (entry.domain == name)
            return &entry;
    }
    return nullptr;
}

/// Returns the number of buckets whose records fill about one datagram.
std::size_t buckets_per_datagram(std::size_t members)
{
    return std::clamp<std::size_t>(records_per_pull * digest_buckets /
                                       std::max<std::size_t>(1, members),
                                   1, digest_buckets);
}

} // namespace

/// Returns whether a live member, this one included, has this gossip address.
bool member::state::is_live_endpoint(const config::endpoint& gossip) const
{
    return gossip == table.self().record.gossip ||
           std::any_of(table.live().begin(), table.live().end(),
                       [&](const peer* known_peer) {
                           return known_peer->record.gossip == gossip;
                       });
}

void member::state::send_join(const config::endpoint& destination,
                              support::time_point now)
{
    if (is_live_endpoint(destination))
        return;
    const peer* const self_record[] = {&table.self()};
    send(destination, 0, join{}, self_record, now);
}

void member::state::join_random_introducer(support::time_point now)
{
    send_join(introducers[support::uniform_below(random, introducers.size())],
              now);
}

/// Queues a join to an introducer that is no live member: it belongs to a group
/// of members that this one does not know.
void member::state::queue_join(const config::endpoint& introducer)
{
    const bool already_pending =
        std::find(pending_joins.begin(), pending_joins.end(), introducer) !=
        pending_joins.end();
    if (!already_pending && !is_live_endpoint(introducer) &&
        pending_joins.size() < max_pending_joins)
        pending_joins.push_back(introducer);
}

void member::state::pending_join_tick(support::time_point now)
{
    while (!pending_joins.empty() && may_send(now)) {
        send_join(pending_joins.back(), now);
        pending_joins.pop_back();
        next_digest_at =
            std::min(next_digest_at, now + jittered(catch_up_interval));
    }
}

void member::state::join_tick(support::time_point now)
{
    if (!table.live().empty()) {
        join_attempts = 0;
        return;
    }
    if (introducers.empty() || now < next_join_at)
        return;
    for (std::size_t count = 0; count < introducers_per_join; ++count)
        join_random_introducer(now);
    const unsigned doublings = std::min(join_attempts++, max_join_doublings);
    next_join_at = now + jittered(first_join_retry * (1 << doublings));
    next_digest_at = now;
}

void member::state::on(const join&, const envelope& incoming)
{
    const peer* const self_record[] = {&table.self()};
    send(incoming.from, incoming.sender, own_digest(false), self_record,
         incoming.now);
}

digest member::state::own_digest(bool wants_reply) const
{
    digest own;
    own.wants_reply = wants_reply;
    for (const domain_state& domain : table.domains()) {
        if (own.domains.size() == max_domains)
            break;
        if (domain.count == 0)
            continue;
        own.domains.push_back({domain.name, domain.count, domain.digest});
    }
    return own;
}

std::vector<std::uint32_t>
member::state::own_bucket_digests(std::string_view domain) const
{
    std::vector<std::uint32_t> truncated(digest_buckets, 0);
    const domain_state* own_domain = table.find_domain(domain);
    if (own_domain == nullptr)
        return truncated;
    for (std::size_t bucket = 0; bucket < digest_buckets; ++bucket)
        truncated[bucket] =
            static_cast<std::uint32_t>(own_domain->bucket_digests[bucket]);
    return truncated;
}

void member::state::sync_tick(support::time_point now)
{
    for (std::size_t count = 0; count < pulls_per_tick; ++count) {
        const peer* target = table.random_live(random);
        if (target == nullptr || pending_pulls.empty() || !may_send(now))
            break;
        send(*target,
             pull{pending_pulls.front().domain,
                  pending_pulls.front().bucket_mask},
             now);
        pending_pulls.pop_front();
    }
    if (now < next_digest_at || !pending_pulls.empty())
        return;
    const bool recently_started = now - first_tick < first_digests_time;
    next_digest_at =
        now + jittered(recently_started ? catch_up_interval : digest_interval);
    const peer* sync_partner = table.random_live(random);
    if (sync_partner != nullptr && may_send(now))
        send(*sync_partner, own_digest(true), now);
}

void member::state::on(const digest& body, const envelope& incoming)
{
    const peer* sender = table.find(incoming.sender);
    if (sender == nullptr)
        return;
    if (!body.wants_reply) {
        compare_digests(body, *sender, incoming.now);
        return;
    }
    const digest own = own_digest(false);
    const bool same_domain_count = own.domains.size() == body.domains.size();
    const bool same_digests = std::all_of(
        own.domains.begin(), own.domains.end(),
        [&](const domain_digest& own_domain) {
            const domain_digest* theirs = find_domain(body, own_domain.domain);
            return theirs != nullptr && theirs->digest == own_domain.digest;
        });
    if ((!same_digests || !same_domain_count) && may_send(incoming.now))
        send(*sender, own, incoming.now);
}

void member::state::compare_digests(const digest& theirs,
                                    const peer& sender,
                                    support::time_point now)
{
    std::vector<const domain_digest*> differing;
    for (const domain_digest& their_domain : theirs.domains) {
        const domain_state* own = table.find_domain(their_domain.domain);
        const std::uint32_t own_count = own == nullptr ? 0 : own->count;
        if (own != nullptr && own->digest == their_domain.digest)
            continue;
        // With less than half of the members, pulls all buckets instead of
        // comparing them.
        if (own_count * 2 < their_domain.count) {
            plan_pulls(their_domain);
            next_digest_at = now + jittered(catch_up_interval);
            continue;
        }
        differing.push_back(&their_domain);
    }
    if (differing.empty() || !may_send(now))
        return;
    next_digest_at =
        std::min(next_digest_at, now + jittered(catch_up_interval));
    const domain_digest& chosen =
        *differing[support::uniform_below(random, differing.size())];
    send(sender,
         bucket_digests{chosen.domain, own_bucket_digests(chosen.domain)}, now);
}

void member::state::plan_pulls(const domain_digest& theirs)
{
    const bool already_planned =
        std::any_of(pending_pulls.begin(), pending_pulls.end(),
                    [&](const pending_pull& planned) {
                        return planned.domain == theirs.domain;
                    });
    if (already_planned || pending_pulls.size() >= max_pending_pulls)
        return;
    const std::size_t bucket_count = buckets_per_datagram(theirs.count);
    for (std::size_t first_bucket = 0; first_bucket < digest_buckets;
         first_bucket += bucket_count) {
        std::uint64_t bucket_mask = 0;
        for (std::size_t bucket = first_bucket;
             bucket < std::min(first_bucket + bucket_count, digest_buckets);
             ++bucket)
            bucket_mask |= std::uint64_t{1} << bucket;
        pending_pulls.push_back({theirs.domain, bucket_mask});
    }
}

void member::state::send_records(std::vector<const peer*> records,
                                 const config::endpoint& to,
                                 member_hash target,
                                 support::time_point now)
{
    // A random order, since records that do not fit are left to a later round.
    std::shuffle(records.begin(), records.end(), random);
    std::span<const peer* const> remaining = records;
    for (std::size_t count = 0;
         count < datagrams_per_pull && !remaining.empty(); ++count) {
        if (!may_send(now))
            return;
        remaining = remaining.subspan(send(to, target, sync{}, remaining, now));
    }
}

void member::state::on(const bucket_digests& body, const envelope& incoming)
{
    const std::vector<std::uint32_t> own = own_bucket_digests(body.domain);
    std::vector<std::size_t> differing;
    for (std::size_t bucket = 0; bucket < digest_buckets; ++bucket) {
        if (own[bucket] != body.digests[bucket])
            differing.push_back(bucket);
    }
    const domain_state* own_domain = table.find_domain(body.domain);
    if (differing.empty() || own_domain == nullptr || !may_send(incoming.now))
        return;
    // Send complete buckets only, as many as one answer holds.
    std::shuffle(differing.begin(), differing.end(), random);
    const std::size_t bucket_count =
        datagrams_per_pull * buckets_per_datagram(own_domain->count);
    if (differing.size() > bucket_count)
        differing.resize(bucket_count);
    std::uint64_t bucket_mask = 0;
    for (const std::size_t bucket : differing)
        bucket_mask |= std::uint64_t{1} << bucket;
    send_records(table.members_in_buckets(body.domain, bucket_mask),
                 incoming.from, incoming.sender, incoming.now);
    send(incoming.from, incoming.sender, pull{body.domain, bucket_mask}, {},
         incoming.now);
}

void member::state::on(const pull& body, const envelope& incoming)
{
    send_records(table.members_in_buckets(body.domain, body.bucket_mask),
                 incoming.from, incoming.sender, incoming.now);
}

void member::state::on(const fetch& body, const envelope& incoming)
{
    std::vector<const peer*> records;
    for (const member_hash hash : body.members) {
        if (const peer* known_peer = table.find(hash))
            records.push_back(known_peer);
    }
    send_records(std::move(records), incoming.from, incoming.sender,
                 incoming.now);
}

void member::state::reconnect_tick(support::time_point now)
{
    if (now >= next_reconnect_at) {
        next_reconnect_at = now + jittered(reconnect_interval);
        // A member that left may have restarted and cannot find an introducer
        // while the store is unreachable.
        const peer* absent = table.random_absent(random);
        if (absent != nullptr && may_send(now))
            send(*absent, gossip{}, now);
    }
    if (now >= next_introducer_join_at && !introducers.empty()) {
        next_introducer_join_at = now + jittered(introducer_interval);
        if (!table.live().empty() && may_send(now))
            join_random_introducer(now);
    }
}

void member::state::purge_tick(support::time_point now)
{
    peer* absent = table.random_absent(random);
    if (absent == nullptr)
        return;
    const support::duration retention = absent->last_state == member_state::left
                                            ? left_retention
                                            : dead_retention;
    if (now - absent->changed_at > retention)
        table.remove(*absent);
}

} // namespace galenarudder::membership
