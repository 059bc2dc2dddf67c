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
#include <vector>

namespace galenarudder::admission {

/// A call that waits, and its place in the order of arrival at the gate.
struct queued_call
{
    attempt call;
    /// 1 or more.
    std::uint64_t sequence = 0;
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
    /// most waiting calls; a nested one only if no other waits. The queue must
    /// not be empty.
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
    account_map::iterator find_next(std::size_t tier);
    void forget_settled();

    account_map accounts_;
    /// Turn of the call that was removed last.
    double turn_ms_ = 0;
    std::size_t size_ = 0;
    /// Waiting calls by tier.
    std::array<std::size_t, 2> size_by_tier_{};
};

} // namespace galenarudder::admission
