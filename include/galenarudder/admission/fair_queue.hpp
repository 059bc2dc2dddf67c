/// \file
/// The waiting calls of one rank. Organisations take turns by the slot time
/// that their calls used. A state machine without I/O.
#pragma once

#include "galenarudder/admission/attempt.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenarudder::admission {

/// A call that waits, and its place in the order of arrival at the gate.
struct queued_call
{
    attempt call;
    /// 1 or more.
    std::uint64_t sequence = 0;
};

/// By what the calls of a rank are ordered.
enum class queue_order
{
    /// By turns of organisations, nested calls first.
    turns,
    /// By arrival. Turns are still accounted for, so that the difference can be
    /// counted.
    arrival
};

/// Decisions for which the two orders differ, whichever is in force.
struct turn_tally
{
    std::uint64_t starts = 0;
    std::uint64_t removals = 0;
    /// By organisation: starts at which its call was the first that had
    /// arrived, but another call has its turn.
    std::map<std::string, std::uint64_t, std::less<>> passed_over;

    bool empty() const { return starts == 0 && removals == 0; }
    void add(const turn_tally& other);
};

/// Start-time fair queueing with equal weights: the next call is of the
/// organisation that has used the least slot time. An organisation that had no
/// waiting calls resumes at the present turn, so that it keeps no claim to what
/// others used meanwhile. All calls without an organisation share one turn.
///
/// Nested calls go before the others, since their parents hold slots until they
/// end. If no call has an organisation and none is nested, the queue is first
/// in, first out.
///
/// Removing the next call takes time in proportion to the number of
/// organisations with waiting calls. Memory is held for those, and for at most
/// 64 others that used more than their share.
class fair_queue
{
public:
    explicit fair_queue(queue_order order = queue_order::turns) : order_(order)
    {
    }

    /// Adds a call at its place in the order of arrival of its organisation.
    void insert(queued_call queued);
    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }
    /// Returns how many of the waiting calls start before \p call if it is
    /// inserted now, each call takes \p cost_ms and no other arrives.
    std::size_t ahead_of(const attempt& call, double cost_ms) const;

    /// Removes and returns the call to start next. The queue must not be empty.
    attempt pop();
    /// Removes and returns the newest call of the organisation that has the
    /// most waiting calls, a nested one only if no other waits; in the order of
    /// arrival, the newest call. The queue must not be empty.
    attempt drop_newest();
    /// Removes the calls for which \p matches holds and appends them to
    /// \p removed. Calls are visited in the expected order of their starts.
    void remove_if(const std::function<bool(const attempt&)>& matches,
                   std::vector<attempt>& removed);

    /// Adds \p cost_ms of slot time, which may be negative, to what
    /// \p organisation has used.
    void charge(std::string_view organisation, double cost_ms);
    /// Forgets what organisations have used. For a rank that has become idle.
    void reset();
    /// Removes and returns all calls.
    std::vector<queued_call> take_all();
    /// Takes over by how much organisations have used more than the present
    /// turn of \p previous, which this queue replaces.
    void take_excess(const fair_queue& previous);
    /// Returns whether \p matches holds for a waiting call.
    bool any_of(const std::function<bool(const attempt&)>& matches) const;
    /// Returns what was counted since the last call.
    turn_tally take_tally() { return std::exchange(tally_, {}); }

private:
    using call_list = std::deque<queued_call>;
    /// What one organisation has waiting and has used.
    struct account
    {
        /// Indexed by tier: nested calls, then others.
        std::array<call_list, 2> waiting;
        /// Slot time at which its next call has its turn.
        double turn_ms = 0;

        std::size_t size() const
        {
            return waiting[0].size() + waiting[1].size();
        }
    };
    using account_map = std::map<std::string, account, std::less<>>;

    static std::size_t tier_of(const attempt& call)
    {
        return call.nested ? 0 : 1;
    }
    /// The place of a waiting call at one end of a list.
    struct place
    {
        account_map::iterator owner;
        std::size_t tier = 0;

        call_list& waiting() const { return owner->second.waiting.at(tier); }
    };

    bool has_one_order() const
    {
        return accounts_.size() <= 1 &&
               (size_by_tier_[0] == 0 || size_by_tier_[1] == 0);
    }
    place find_next();
    place find_oldest();
    place find_dropped();
    place find_newest();
    void count_start(const place& by_turns, const place& by_arrival);
    void forget_settled();

    queue_order order_;
    turn_tally tally_;
    account_map accounts_;
    /// Turn of the call that was removed last.
    double turn_ms_ = 0;
    std::size_t size_ = 0;
    /// Waiting calls by tier.
    std::array<std::size_t, 2> size_by_tier_{};
};

} // namespace galenarudder::admission
