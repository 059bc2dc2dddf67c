/// \file
/// All known members with what the protocol keeps of each, and digests of each
/// failure domain kept up to date with every change.
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

/// Whether the member counts as present: joining, alive, draining or suspect.
bool is_live(member_state state);

/// One known member.
struct peer
{
    member_hash hash = 0;
    /// State as shown to the rest of the daemon.
    member_record record;
    /// What the member last said of itself; differs from record.state while
    /// it is suspect.
    member_state stated = member_state::alive;
    std::uint32_t content = 0;
    replay_window window;
    support::time_point changed{};
    /// Position in the list of live or of absent members.
    std::size_t position = 0;
};

/// Sums over one failure domain's live members.
struct domain_state
{
    std::string name;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;
    std::array<std::uint64_t, digest_buckets> buckets{};
};

class member_table
{
public:
    /// \p self is never among the live or absent peers, but in the digests.
    explicit member_table(const member_record& self);

    peer& self() { return *self_; }
    const peer& self() const { return *self_; }
    /// Finds a peer or self; null when unknown.
    peer* find(member_hash hash);

    /// Adds a member that is not known yet.
    peer& add(const member_record& record, support::time_point now);
    /// Replaces a peer's record, keeping lists and digests right.
    void replace(peer& known, member_record record, support::time_point now);
    /// Shows another state for the same incarnation.
    void show_state(peer& known, member_state state, support::time_point now);
    void remove(peer& known);

    /// Members that are present, without self, in no useful order.
    const std::vector<peer*>& live() const { return live_; }
    /// Members that left or died, in no useful order.
    const std::vector<peer*>& absent() const { return absent_; }
    peer* random_live(support::random_engine& random) const;
    peer* random_absent(support::random_engine& random) const;

    const std::vector<domain_state>& domains() const { return domains_; }
    const domain_state* find_domain(std::string_view name) const;
    /// Members of a failure domain, absent ones included, in buckets of
    /// \p mask.
    std::vector<const peer*> in_buckets(std::string_view domain,
                                        std::uint64_t mask) const;
    std::vector<member_record> records() const;

private:
    void enlist(peer& known);
    void delist(peer& known);
    void toggle_digest(const peer& known, bool present);
    domain_state& domain_of(const std::string& name);

    std::unordered_map<member_hash, std::unique_ptr<peer>> peers_;
    peer* self_ = nullptr;
    std::vector<peer*> live_;
    std::vector<peer*> absent_;
    std::vector<domain_state> domains_;
};

/// Bucket of a member within its failure domain.
constexpr std::size_t bucket_of(member_hash hash)
{
    return hash % digest_buckets;
}

} // namespace galenarudder::membership
