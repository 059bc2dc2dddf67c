/// \file
/// How long a member stays suspect before it is declared dead. The more
/// members suspect it on their own, the sooner (Lifeguard).
#pragma once

#include "galenarudder/membership/wire.hpp"
#include "galenarudder/support/time.hpp"

#include <optional>
#include <set>
#include <unordered_map>
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

/// All open suspicions; each operation costs at most the logarithm of their
/// number.
class suspicion_list
{
public:
    /// Returns the suspicion of a member; null when there is none.
    const suspicion* find(member_hash suspect) const;
    /// Opens a suspicion of a member that is not suspect yet.
    void open(suspicion opened);
    /// Counts one more accuser of a suspect; returns whether it matters.
    bool confirm(member_hash suspect, member_hash accuser);
    void close(member_hash suspect);
    /// Moves all deadlines by a span in which this process did not run.
    void postpone(support::duration span);
    /// The suspect whose deadline passed first, if any has.
    std::optional<member_hash> expired(support::time_point now) const;

private:
    struct due
    {
        support::time_point at;
        member_hash suspect = 0;

        friend bool operator<(const due& left, const due& right)
        {
            return left.at != right.at ? left.at < right.at
                                       : left.suspect < right.suspect;
        }
    };

    std::unordered_map<member_hash, suspicion> open_;
    std::set<due> by_deadline_;
};

} // namespace galenarudder::membership
