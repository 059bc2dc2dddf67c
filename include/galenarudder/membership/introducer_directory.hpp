/// \file
/// Directory of introducers in the store: a few members of each failure domain
/// publish their gossip addresses, so that new members can join. A state
/// machine without I/O.
///
/// Each failure domain has \c slots_per_domain keys (introducer slots); one
/// call reads the introducer slots of all domains. A candidate claims a free
/// one of its domain by compare-and-swap under its lease, and the slot becomes
/// free when the lease ends. Only the members with the lowest hashes of each
/// domain are candidates, so the number of store calls depends on the number of
/// domains and not on the number of members.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/membership/record.hpp"
#include "galenarudder/store/lease_keeper.hpp"
#include "galenarudder/store/platform_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::membership {

/// Number of introducer slots of each failure domain.
inline constexpr unsigned slots_per_domain = 3;

/// Key prefix of the introducer slots of all failure domains.
inline constexpr const char* introducer_prefix = "galenarudder/introducers/";
/// Returns the store key of one introducer slot.
std::string introducer_key(const std::string& domain, unsigned slot);
/// Returns the value with which a member claims an introducer slot: its id and
/// gossip address as JSON.
std::string introducer_value(const member_record& self);
/// The holder of an introducer slot.
struct introducer
{
    support::member_id member;
    config::endpoint gossip;
};
/// Parses the value of an introducer slot; a malformed value is an error.
support::result<introducer> parse_introducer(const std::string& value);

/// Read all introducer slots and pass the result to \c on_listed.
struct list_slots
{
    store::read_freshness freshness = store::read_freshness::may_be_stale;
};
/// Write the own address to a free introducer slot by compare-and-swap under
/// the lease and pass the result to \c on_claimed.
struct claim_slot
{
    std::string key;
    std::string value;
    store::change_index expected_index;
    std::string lease;
};
/// Add an introducer that was read from the directory.
struct introducer_found
{
    config::endpoint gossip;
};

using directory_action = std::variant<list_slots,
                                      claim_slot,
                                      introducer_found,
                                      store::grant_request,
                                      store::renewal_request>;

class introducer_directory
{
public:
    /// The process claims no introducer slot until about \p settling after its
    /// first tick, so that it learns of the other members of its failure domain
    /// first.
    introducer_directory(member_record self,
                         support::duration settling,
                         std::uint64_t seed);

    /// \p alone means that no other member is live. \p position_in_domain
    /// returns member::position_in_domain and is called only when it is needed.
    std::vector<directory_action>
    on_tick(bool alone,
            const std::function<std::size_t()>& position_in_domain,
            support::time_point now);
    std::vector<directory_action>
    on_listed(const support::result<std::vector<store::listed_value>>& listed,
              support::time_point now);
    std::vector<directory_action>
    on_claimed(const std::string& key,
               const support::result<store::swap_outcome>& outcome,
               support::time_point now);
    std::vector<directory_action> on_granted(std::uint64_t request_number,
                                             support::result<std::string> lease,
                                             support::time_point now);
    std::vector<directory_action>
    on_renewed(std::uint64_t request_number,
               const support::result<void>& renewed,
               support::time_point now);

    /// Returns the key of the introducer slot that is held; empty when there is
    /// none.
    const std::string& held_key() const { return held_key_; }

private:
    std::vector<directory_action>
    apply_lease_actions(std::vector<store::lease_action> lease_actions,
                        support::time_point now);
    /// Lists the slots again soon, earlier than planned.
    void list_soon(support::time_point now);
    /// Returns how new the next listing must be, and counts it.
    store::read_freshness take_freshness(bool alone);
    /// Returns the time to the next read; uses up one of the reads at the
    /// shorter interval if it applies.
    support::duration take_list_interval(bool alone);
    void find_held_slot(std::span<const store::listed_value> slots,
                        support::time_point now);
    void claim_free_slot(std::span<const store::listed_value> slots,
                         support::time_point now,
                         std::vector<directory_action>& actions);

    member_record self_;
    support::duration settling_;
    support::random_engine random_;
    store::lease_keeper lease_;
    std::string held_key_;
    /// The answer to the claim of a slot was lost; the next listing shows its
    /// result.
    bool slot_claim_unresolved_ = false;
    /// The claim of a slot to send once a lease is granted.
    std::optional<claim_slot> pending_slot_claim_;
    /// Whether this process has held a slot.
    bool has_held_slot_ = false;
    /// Whether this member should hold a slot of its domain.
    bool is_candidate_ = false;
    /// Reads that a candidate still makes at the shorter interval.
    unsigned short_interval_reads_left_;
    unsigned list_failures_ = 0;
    /// The next listing decides whether to claim a slot.
    bool newest_needed_ = false;
    /// Whether the last listing that was asked for must be the newest.
    bool newest_asked_ = false;
    /// Listings while no other member was live.
    unsigned alone_reads_ = 0;
    support::time_point settled_at_{};
    support::time_point next_list_{};
};

} // namespace galenarudder::membership
