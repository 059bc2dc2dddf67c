/// \file
/// The owner of organisations: it gathers the shares of their limits and issues
/// tokens to entries.
#pragma once

#include "galenarudder/organisations/fleet.hpp"
#include "galenarudder/organisations/message.hpp"

#include <deque>
#include <unordered_map>
#include <vector>

namespace galenarudder::organisations {

/// Issues at the sum of the shares that holders have leased to it, and starts
/// with an empty bucket. It leases only as many shares as the demand needs.
/// Shares of members that did not answer for \c lease_time are withheld.
///
/// Serves any entry that asks: two daemons that both believe to be the owner
/// divide the shares between them. Organisations that are not asked for are
/// dropped after \c idle_time.
class limit_owner
{
public:
    /// \p stamp_offset is random, so that stamps of an earlier start of this
    /// daemon are not taken for current ones.
    limit_owner(const fleet& members,
                const limit_table& limits,
                std::uint32_t stamp_offset)
        : members_(members), limits_(limits), stamp_offset_(stamp_offset)
    {
    }

    void on_request(organisation_hash organisation,
                    member_hash entry,
                    std::uint32_t number,
                    std::uint32_t tokens,
                    support::time_point now,
                    outbox& out);
    void on_grant(member_hash holder,
                  std::uint32_t stamp,
                  const item& grant,
                  support::time_point now,
                  outbox& out);
    void on_tick(support::time_point now, outbox& out);
    /// Returns the shares of organisations that another member owns now.
    void on_fleet_changed(support::time_point now, outbox& out);

    /// Returns the number of organisations with state.
    std::size_t size() const { return owned_.size(); }

    static constexpr support::duration idle_time = std::chrono::seconds(5);

private:
    struct lease
    {
        member_hash holder = 0;
        double weight = 0;
        support::time_point until{};
        support::time_point accrued_to{};
        std::uint32_t stamp = 0;
        bool was_granted = false;
        support::time_point polled_at{};
        bool awaits_grant = false;
        /// Whether the member still holds a share.
        bool is_holder = true;
    };
    struct pending_request
    {
        member_hash entry = 0;
        std::uint32_t number = 0;
        std::uint32_t tokens = 0;
    };
    struct owned
    {
        double tokens = 0;
        demand_estimate demand;
        support::time_point last_request{};
        std::vector<lease> leases;
        /// The leases were arranged for this many shares and these members.
        std::size_t share_count = 0;
        bool members_current = false;
        /// Its shares were returned, as another member owns it.
        bool released = false;
        /// Where the next search for a holder to poll begins.
        std::size_t next_holder = 0;
        std::deque<pending_request> pending;
    };

    std::uint32_t stamp(support::time_point now) const;
    void arrange_holders(organisation_hash organisation,
                         const limit& in_force,
                         owned& state,
                         support::time_point now) const;
    static void
    accrue(const limit& in_force, owned& state, support::time_point now);
    static double leased_weight(const owned& state, support::time_point now);
    void poll_holders(organisation_hash organisation,
                      const limit& in_force,
                      owned& state,
                      support::time_point now,
                      outbox& out) const;
    static void serve(organisation_hash organisation,
                      const limit& in_force,
                      owned& state,
                      support::time_point now,
                      outbox& out);

    const fleet& members_;
    const limit_table& limits_;
    std::uint32_t stamp_offset_;
    std::unordered_map<organisation_hash, owned> owned_;
};

} // namespace galenarudder::organisations
