/// \file
/// What a gate remembers of closed links, so that it can state truthfully
/// which of their calls did not run.
#pragma once

#include "galenarudder/support/call.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace galenarudder::link {

/// A call did not run if the gate never received it, or dropped it unstarted.
/// Of every other call the record says nothing. It must be told of a closed
/// link only after the gate stopped taking calls from it.
class fate_record
{
public:
    using link_key = std::uint64_t;

    /// Links remembered at most; the oldest is forgotten first.
    static constexpr std::size_t max_links = 1024;

    struct closed_link
    {
        link_key key = 0;
        support::member_id entry;
        std::uint64_t epoch = 0;
        /// Number of the last call received by it.
        std::uint64_t last_number = 0;
        /// Calls that the gate has not yet ended, with their numbers.
        std::map<support::call_id, std::uint64_t> open;
    };

    void on_closed(closed_link closed);

    /// The gate ended a call of a closed link.
    void on_ended(link_key key, support::call_id id, bool not_run);

    /// Whether the gate still holds one of the calls, started or not.
    bool undecided(const support::member_id& entry,
                   std::uint64_t epoch,
                   std::span<const std::uint64_t> numbers) const;

    /// Those of \p numbers that did not run and never will.
    std::vector<std::uint64_t>
    not_run(const support::member_id& entry,
            std::uint64_t epoch,
            std::span<const std::uint64_t> numbers) const;

private:
    struct remembered_link
    {
        closed_link link;
        std::set<std::uint64_t> dropped;
    };

    const remembered_link* find(const support::member_id& entry,
                                std::uint64_t epoch) const;

    std::deque<remembered_link> links_;
};

} // namespace galenarudder::link
