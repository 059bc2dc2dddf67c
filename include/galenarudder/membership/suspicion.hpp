/// \file
/// How long a member stays suspect before it is declared dead. The more
/// members suspect it on their own, the sooner (Lifeguard).
#pragma once

#include "galenarudder/membership/wire.hpp"
#include "galenarudder/support/time.hpp"

#include <vector>

namespace galenarudder::membership {

class suspicion
{
public:
    /// \p fleet is the number of live members, which scales the timeouts.
    suspicion(member_hash suspect,
              std::uint64_t incarnation,
              member_hash accuser,
              std::size_t fleet,
              support::time_point now);

    /// Counts one more accuser; returns whether it is new and still matters.
    bool confirm(member_hash accuser);
    /// Moves the deadline by a span in which this process did not run.
    void postpone(support::duration span) { started_ += span; }

    member_hash suspect() const { return suspect_; }
    std::uint64_t incarnation() const { return incarnation_; }
    support::time_point deadline() const;

private:
    member_hash suspect_;
    std::uint64_t incarnation_;
    std::vector<member_hash> accusers_;
    support::duration shortest_;
    support::time_point started_;
};

} // namespace galenarudder::membership
