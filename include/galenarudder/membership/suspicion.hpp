/// \file
/// How long a member stays suspect before it is declared dead. Each
/// independent suspicion shortens the time (Lifeguard).
#pragma once

#include "galenarudder/membership/wire.hpp"
#include "galenarudder/support/time.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace galenarudder::membership {

/// The suspicion of one member.
class suspicion
{
public:
    /// The timeouts grow with the number of \p live_members.
    suspicion(member_hash suspect,
              std::uint64_t incarnation,
              member_hash suspecting_member,
              std::size_t live_members,
              support::time_point now);

    /// Counts one more suspecting member; returns whether it is a new one that
    /// shortens the timeout.
    bool confirm(member_hash suspecting_member);
    /// Moves the deadline by a time in which this process did not run.
    void postpone(support::duration span) { started_ += span; }

    member_hash suspect() const { return suspect_; }
    std::uint64_t incarnation() const { return incarnation_; }
    support::time_point deadline() const;

private:
    member_hash suspect_;
    std::uint64_t incarnation_;
    std::vector<member_hash> suspecting_members_;
    support::duration min_timeout_;
    support::time_point started_;
};

/// All open suspicions. The cost of an operation is at most logarithmic in
/// their number, except for \c postpone.
class suspicion_list
{
public:
    /// Returns the suspicion of a member; null when there is none.
    const suspicion* find(member_hash suspect) const;
    /// Opens a suspicion of a member that is not suspect yet.
    void open(suspicion added);
    /// Counts one more suspecting member; returns whether it shortens the
    /// timeout.
    bool confirm(member_hash suspect, member_hash suspecting_member);
    void close(member_hash suspect);
    /// Moves all deadlines by a time in which this process did not run.
    void postpone(support::duration span);
    /// Returns the suspect with the earliest deadline, if it has passed.
    std::optional<member_hash> expired(support::time_point now) const;

private:
    struct deadline_entry
    {
        support::time_point deadline;
        member_hash suspect = 0;

        friend bool operator<(const deadline_entry& left,
                              const deadline_entry& right)
        {
            return left.deadline != right.deadline
                       ? left.deadline < right.deadline
                       : left.suspect < right.suspect;
        }
    };

    std::unordered_map<member_hash, suspicion> open_;
    std::set<deadline_entry> by_deadline_;
};

} // namespace galenarudder::membership
