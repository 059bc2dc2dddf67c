/// \file
/// A few members of each failure domain keep their addresses in the store, so
/// that new members find somebody. A state machine without I/O.
///
/// Each failure domain has \c slots_per_domain keys; all slots are read by one
/// call. A member that sees a free slot of its own domain may claim it by
/// compare-and-swap under its lease; the lease's end frees the slot. Only the
/// members first in a rendezvous order try, so the calls depend on the number
/// of domains and not of members.
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

/// Slots of one failure domain in the directory.
inline constexpr unsigned slots_per_domain = 3;

/// The slots of all failure domains lie below it.
inline constexpr const char* introducer_prefix = "galenarudder/introducers/";
/// The store's key of one slot.
std::string introducer_key(const std::string& domain, unsigned slot);
/// What a slot holds: the claimer's id and gossip address.
std::string introducer_value(const member_record& self);
/// Who holds a slot.
struct introducer
{
    support::member_id member;
    config::endpoint gossip;
};
/// Reads a slot's value; malformed values are errors.
support::result<introducer> parse_introducer(const std::string& value);

/// Read all slots and hand the answer to \c on_listed.
struct list_slots
{
};
/// Swap a free slot for the own address under the lease.
struct claim_slot
{
    std::string key;
    std::string value;
    std::uint64_t expected_index = 0;
    std::string lease;
};
/// An introducer was found.
struct introducer_found
{
    config::endpoint gossip;
};

using directory_action = std::variant<list_slots,
                                      claim_slot,
                                      introducer_found,
                                      store::grant_wanted,
                                      store::renew_wanted>;

class introducer_directory
{
public:
    /// A process learns for \p settling who else is there before it claims a
    /// slot.
    introducer_directory(member_record self,
                         support::duration settling,
                         std::uint64_t seed);

    /// \p alone says that no other member is known; \p rank_in_domain counts
    /// the present members of the own failure domain that come before this
    /// one in the rendezvous order, and is only asked when it matters.
    std::vector<directory_action>
    on_tick(bool alone,
            const std::function<std::size_t()>& rank_in_domain,
            support::time_point now);
    std::vector<directory_action>
    on_listed(const support::result<std::vector<store::listed_value>>& found,
              support::time_point now);
    std::vector<directory_action>
    on_claimed(const std::string& key,
               const support::result<store::swap_outcome>& outcome,
               support::time_point now);
    std::vector<directory_action> on_granted(std::uint64_t request,
                                             support::result<std::string> lease,
                                             support::time_point now);
    std::vector<directory_action>
    on_renewed(std::uint64_t request,
               const support::result<void>& renewed,
               support::time_point now);

    /// The slot that is held; empty when none is.
    const std::string& held() const { return held_; }

private:
    std::vector<directory_action> take(std::vector<store::lease_action> more);
    support::duration interval(bool alone);
    void find_held(std::span<const store::listed_value> slots,
                   support::time_point now);
    void claim_free(std::span<const store::listed_value> slots,
                    support::time_point now,
                    std::vector<directory_action>& actions);

    member_record self_;
    support::duration settling_;
    support::random_engine random_;
    store::lease_keeper lease_;
    std::string held_;
    /// A claim got no answer; the next listing tells what became of it.
    bool unresolved_ = false;
    /// Slot whose claim waits for a lease.
    std::optional<claim_slot> wanted_;
    /// Whether this member is to hold a slot of its domain.
    bool candidate_ = false;
    /// Reads at the shorter interval that a candidate has left.
    unsigned eager_reads_;
    unsigned failures_ = 0;
    support::time_point ready_at_{};
    support::time_point next_read_{};
};

} // namespace galenarudder::membership
