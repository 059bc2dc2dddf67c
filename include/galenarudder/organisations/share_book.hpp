/// \file
/// This member's shares of the limits of organisations.
#pragma once

#include "galenarudder/organisations/fleet.hpp"
#include "galenarudder/organisations/message.hpp"

#include <optional>

namespace galenarudder::organisations {

/// A limit is divided into equal shares, each a part of the token bucket. A
/// share is used at any time by exactly one daemon: the member that holds it,
/// or an owner to which the member has leased it. The sum of all shares is at
/// most one, so the limit holds whatever the owners believe about the fleet.
///
/// Has state only for organisations whose share was used recently.
class share_book
{
public:
    share_book(const fleet& members, const limit_table& limits)
        : members_(members), limits_(limits)
    {
    }

    /// Answers a poll: leases the share with its tokens to \p owner, unless
    /// another one has it.
    item on_poll(organisation_hash organisation,
                 member_hash owner,
                 std::uint32_t stamp,
                 support::time_point now);
    /// The owner ends the lease that it got with the poll \p stamp.
    void on_release(organisation_hash organisation,
                    member_hash owner,
                    std::uint32_t stamp,
                    double tokens,
                    support::time_point now);
    /// Takes a token for a call of this member, if the share is not leased.
    bool try_take(organisation_hash organisation, support::time_point now);
    /// Returns the time until a token for a call of this member accrues.
    support::duration wait(organisation_hash organisation,
                           support::time_point now);
    /// Removes the state of shares that are full.
    void on_tick(support::time_point now);

    std::size_t size() const { return shares_.size(); }

private:
    struct share
    {
        double tokens = 0;
        support::time_point accrued_to{};
        support::time_point leased_until{};
        member_hash owner = 0;
        std::uint32_t stamp = 0;
        /// The part of the limit.
        double part = 0;
    };

    share* find(organisation_hash organisation, support::time_point now);

    const fleet& members_;
    const limit_table& limits_;
    std::unordered_map<organisation_hash, share> shares_;
};

} // namespace galenarudder::organisations
