/// \file
/// All known members with their protocol state, and the digests of each failure
/// domain, updated with every change.
#pragma once

#include "galenarudder/membership/replay_window.hpp"
#include "galenarudder/membership/wire.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace galenarudder::membership {

/// Returns whether a member counts as live: joining, alive, draining or
/// suspect.
bool is_live(member_state state);

/// One known member.
struct peer
{
    member_hash hash = 0;
    /// The record as the rest of the daemon sees it.
    member_record record;
    /// The state that the member itself last announced, or dead; differs from
    /// record.state while the member is suspect.
    member_state last_state = member_state::alive;
    std::uint32_t content_hash = 0;
    replay_window window;
    support::time_point changed_at{};
    /// Index in the list of live or of absent members.
    std::size_t list_position = 0;
};

/// Count and digests over the live members of one failure domain.
struct domain_state
{
    std::string name;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;
    std::array<std::uint64_t, digest_buckets> bucket_digests{};
};

class member_table
{
public:
    /// \p self is included in the digests, but not in the lists of live and
    /// absent members.
    explicit member_table(const member_record& self);

    peer& self() { return *self_; }
    const peer& self() const { return *self_; }
    /// Returns a peer or self; null when the hash is unknown.
    peer* find(member_hash hash);

    /// Adds a member that is not in the table yet.
    peer& add(const member_record& record, support::time_point now);
    /// Replaces a peer's record and updates the lists and digests.
    void
    replace(peer& known_peer, member_record record, support::time_point now);
    /// Changes the state that the rest of the daemon sees; incarnation,
    /// last_state and digests stay.
    void set_visible_state(peer& known_peer,
                           member_state state,
                           support::time_point now);
    void remove(peer& known_peer);

    /// Live members without self, in unspecified order.
    const std::vector<peer*>& live() const { return live_; }
    /// Members that left or are dead, in unspecified order.
    const std::vector<peer*>& absent() const { return absent_; }
    /// Returns null when there is none.
    peer* random_live(support::random_engine& random) const;
    peer* random_absent(support::random_engine& random) const;

    const std::vector<domain_state>& domains() const { return domains_; }
    const domain_state* find_domain(std::string_view name) const;
    /// Returns the members of a failure domain, live and absent, in the buckets
    /// whose bits are set in \p bucket_mask.
    std::vector<const peer*>
    members_in_buckets(std::string_view domain,
                       std::uint64_t bucket_mask) const;
    /// Returns all records, the own one included, ordered by id.
    std::vector<member_record> records() const;

private:
    void add_to_list(peer& known_peer);
    void remove_from_list(peer& known_peer);
    /// Adds or removes a live member; both are the same exclusive or.
    void add_or_remove_in_digest(const peer& known_peer, bool add);
    domain_state& find_or_add_domain(const std::string& name);

    std::unordered_map<member_hash, std::unique_ptr<peer>> peers_;
    peer* self_ = nullptr;
    std::vector<peer*> live_;
    std::vector<peer*> absent_;
    std::vector<domain_state> domains_;
};

/// Returns the bucket of a member within its failure domain.
constexpr std::size_t bucket_of(member_hash hash)
{
    return hash % digest_buckets;
}

} // namespace galenarudder::membership
