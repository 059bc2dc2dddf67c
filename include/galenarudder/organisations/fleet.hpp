/// \file
/// The members of the fleet as the limiter counts them.
#pragma once

#include "galenarudder/organisations/limit.hpp"
#include "galenarudder/support/call.hpp"

#include <map>
#include <span>
#include <vector>

namespace galenarudder::organisations {

enum class presence
{
    live,
    absent,
    /// Left in order; does not count any more.
    left
};

/// Whether the daemon is to assume that there are others while it knows none.
enum class peer_expectation
{
    none,
    /// For \c fleet::search_time: peers are found through the store.
    searched,
    /// Peers are named in the settings.
    certain
};

/// A member as group membership reports it.
struct observed_member
{
    support::member_id id;
    presence state = presence::live;
};

/// The members known in the last 10 minutes. A query takes time in proportion
/// to their number.
class fleet
{
public:
    fleet(support::member_id self, peer_expectation expects_peers);

    /// Takes all records of group membership. Returns whether members were
    /// added, removed, or changed between live and absent.
    bool update(std::span<const observed_member> members,
                support::time_point now);
    /// A member with a share stated how many members it knows.
    void on_known_count(std::size_t known, support::time_point now);
    /// Live members were asked how many members they know. Those with a share
    /// answer.
    void on_known_count_asked(support::time_point now);
    /// Returns whether the members changed.
    bool on_tick(support::time_point now);

    std::size_t known_count() const { return members_.size(); }
    std::size_t live_count() const;
    /// Returns whether this member has a share of the limits. It gets one once
    /// nearly all members that it knows were live for \c settling_time, as then
    /// they know it too and have reduced their shares. If no member that was
    /// asked has a share, the fleet has restarted as a whole: then it is enough
    /// that the members known have not changed for \c steady_time.
    bool has_share() const { return established_; }
    /// Returns when this member got its share.
    support::time_point share_since() const { return established_at_; }

    member_hash self() const { return self_; }
    /// Returns the id of a live member, or null.
    const support::member_id* find_live(member_hash member) const;
    /// Returns the live member that serves the organisation's requests.
    member_hash owner(organisation_hash organisation) const;
    /// Returns the \p count members that share the organisation's limit.
    std::vector<member_hash> holders(organisation_hash organisation,
                                     std::size_t count) const;
    /// Returns the part of the limit that this member holds; 0 for none.
    double share_of(organisation_hash organisation,
                    const limit& in_force) const;
    /// Returns the part that it held before members were removed in the last
    /// \c growth_time.
    double former_share_of(organisation_hash organisation,
                           const limit& in_force) const;
    /// Returns when a member was last removed, so that the shares of others
    /// grew.
    support::time_point last_removal() const { return last_removal_; }
    /// Returns the ids of live members other than this one.
    std::vector<member_hash> live_peers() const;

    /// Time for which absent members count.
    static constexpr support::duration memory = std::chrono::minutes(10);
    /// Time for which members that left in order count.
    static constexpr support::duration removal_delay = std::chrono::seconds(2);
    static constexpr support::duration growth_time = std::chrono::minutes(1);
    static constexpr support::duration settling_time = std::chrono::seconds(1);
    /// Members that start together learn of each other within about 0.6 s, with
    /// pauses of up to 0.2 s between two messages.
    static constexpr support::duration steady_time =
        std::chrono::milliseconds(250);
    /// Starting daemons mostly find each other within 3 s.
    static constexpr support::duration search_time = std::chrono::seconds(10);

private:
    struct known_member
    {
        support::member_id id;
        bool live = true;
        bool left = false;
        support::time_point absent_since{};
    };

    bool is_complete(support::time_point now) const;
    bool is_steady_without_shares(support::time_point now) const;
    double
    share_among(organisation_hash organisation,
                const limit& in_force,
                const std::map<member_hash, support::time_point>& others) const;

    std::map<member_hash, known_member> members_;
    /// Members removed in the last growth_time, and when.
    std::map<member_hash, support::time_point> removed_;
    support::time_point last_removal_{};
    member_hash self_;
    peer_expectation expects_peers_;
    support::time_point first_tick_ = support::time_point::max();
    std::size_t stated_count_ = 0;
    support::time_point stated_at_{};
    /// When members were first asked for their count; max for not yet.
    support::time_point first_asked_at_ = support::time_point::max();
    support::time_point last_addition_{};
    support::time_point complete_since_ = support::time_point::max();
    bool established_ = false;
    support::time_point established_at_{};
};

} // namespace galenarudder::organisations
