/// \file
/// Updates to be piggybacked on datagrams. The least often sent ones go first,
/// and each is sent a bounded number of times.
#pragma once

#include "galenarudder/membership/wire.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenarudder::membership {

/// Which part of a member's record has to be disseminated.
enum class update_kind
{
    /// Addresses, service or slots changed, or the member is new.
    record,
    /// Only incarnation and state changed.
    status
};

/// An update about one member; its content is looked up when it is sent.
struct queued_update
{
    member_hash member = 0;
    update_kind kind = update_kind::status;
    /// The member that suspects it; 0 when the update is not a suspicion.
    member_hash suspected_by = 0;
};

class broadcast_queue
{
public:
    /// Queues an update and drops older updates about the same member.
    void push(const queued_update& update);
    /// Takes the least often sent update; none when the queue is empty. The
    /// caller returns it with \c mark_sent or \c put_back.
    std::optional<queued_update> pop();
    /// Counts one transmission; drops the update after \p limit transmissions.
    void mark_sent(const queued_update& update, unsigned limit);
    /// Returns an update that did not fit into the datagram.
    void put_back(const queued_update& update);

    bool empty() const { return pending_.empty(); }
    std::size_t size() const { return pending_.size(); }

private:
    struct pending_update
    {
        queued_update update;
        std::uint64_t generation = 0;
        unsigned transmissions = 0;
    };
    struct queue_reference
    {
        member_hash member = 0;
        std::uint64_t generation = 0;
    };
    void append(const pending_update& pending);

    std::unordered_map<member_hash, pending_update> pending_;
    /// One queue for each number of transmissions. References to updates that
    /// were replaced since have another generation and are skipped.
    std::vector<std::deque<queue_reference>> by_transmissions_;
    std::uint64_t next_generation_ = 1;
};

} // namespace galenarudder::membership
