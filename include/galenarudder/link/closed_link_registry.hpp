/// \file
/// A gate's record of closed links. It tells an entry whose link broke which of
/// its calls certainly did not run.
#pragma once

#include "galenarudder/support/call.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace galenarudder::link {

/// Records for each closed link which calls the gate received and which of them
/// it dropped. A call did not run if the gate never received it or dropped it
/// before it started; nothing is stated about any other call. on_closed may be
/// called only after the gate stopped accepting calls from the link, because a
/// call that came later would be taken for one that never arrived.
class closed_link_registry
{
public:
    using link_id = std::uint64_t;

    /// Largest number of recorded links; the oldest is removed first.
    static constexpr std::size_t max_links = 1024;

    /// State of a link when it closed.
    struct closed_link
    {
        link_id id = 0;
        /// The entry that opened the link, and the link's epoch.
        support::member_id entry;
        std::uint64_t epoch = 0;
        /// Sequence number of the last call received by this link.
        std::uint64_t last_sequence_number = 0;
        /// Sequence numbers of the calls that the gate has not yet ended.
        std::map<support::attempt_id, std::uint64_t> unfinished;
    };

    /// Records a link that closed.
    void on_closed(closed_link link);

    /// Records that the gate ended a call of a closed link; \p dropped tells
    /// whether it dropped the call before it started.
    void on_ended(link_id link, support::attempt_id call, bool dropped);

    /// Returns whether the gate has not yet ended at least one of the calls,
    /// started or not.
    bool has_unfinished(const support::member_id& entry,
                        std::uint64_t epoch,
                        std::span<const std::uint64_t> numbers) const;

    /// Returns those of \p numbers, sequence numbers of calls on that link,
    /// whose calls did not run and never will.
    std::vector<std::uint64_t>
    find_not_run(const support::member_id& entry,
                 std::uint64_t epoch,
                 std::span<const std::uint64_t> numbers) const;

private:
    struct recorded_link
    {
        closed_link link;
        /// Sequence numbers of the calls that were dropped before they started.
        std::set<std::uint64_t> dropped;
    };

    const recorded_link* find(const support::member_id& entry,
                              std::uint64_t epoch) const;

    std::deque<recorded_link> links_;
};

} // namespace galenarudder::link
