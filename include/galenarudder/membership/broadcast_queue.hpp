/// \file
/// News waiting to be piggybacked on datagrams; the least often sent go first
/// and each goes a bounded number of times.
#pragma once

#include "galenarudder/membership/wire.hpp"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenarudder::membership {

/// How much of a member's record has to be told.
enum class news_kind
{
    /// Addresses, service or slots changed, or the member is new.
    record,
    /// Only incarnation and state changed.
    status
};

/// What to tell of one member; the content is looked up when it is sent.
struct queued_news
{
    member_hash member = 0;
    news_kind kind = news_kind::status;
    /// Who suspects the member; 0 when it is not about a suspicion.
    member_hash accuser = 0;
};

class broadcast_queue
{
public:
    /// Queues news; older news of the same member are dropped.
    void push(const queued_news& news);
    /// Takes the least often sent news, or nothing. Give it back with
    /// \c sent or \c unsent.
    std::optional<queued_news> pop();
    /// Counts one transmission; drops the news at \p limit transmissions.
    void sent(const queued_news& news, unsigned limit);
    /// Puts the news back, as it did not fit.
    void unsent(const queued_news& news);

    bool empty() const { return current_.empty(); }
    std::size_t size() const { return current_.size(); }

private:
    struct item
    {
        queued_news news;
        std::uint64_t generation = 0;
        unsigned transmissions = 0;
    };
    struct reference
    {
        member_hash member = 0;
        std::uint64_t generation = 0;
    };
    void enqueue(const item& waiting);

    std::unordered_map<member_hash, item> current_;
    /// One queue for each number of transmissions; stale references are
    /// skipped by their generation.
    std::vector<std::deque<reference>> by_transmissions_;
    std::uint64_t next_generation_ = 1;
};

} // namespace galenarudder::membership
