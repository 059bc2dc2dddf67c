/// \file
/// Calls that wait at a gate, by rank: most urgent first, while each rank
/// keeps its minimum share of the upstream's time.
#pragma once

#include "galenarudder/admission/attempt.hpp"
#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::admission {

/// Ranks are positions, 0 for the most urgent. Calls of a rank that the
/// configuration does not name wait in one rank after all others.
///
/// A rank earns its share of the slot time that is handed out while it has
/// calls waiting or running, and pays for its own starts. One that is in
/// credit goes before more urgent ranks. What it does not ask for is lent: an
/// idle rank earns nothing and loses its credit, and what it took beyond its
/// share leaves a debt of one call at most. Credit is bounded by what the
/// share is worth in one window.
class rank_queue
{
public:
    using may_start = std::function<bool(std::size_t rank)>;

    /// Takes the ranks in force; calls that wait move to their rank's new
    /// position and keep their order.
    void configure(std::span<const config::rank_policy> ranks,
                   std::size_t capacity,
                   support::duration window);

    std::size_t rank_of(std::string_view name) const;
    std::size_t rank_count() const { return lanes_.size(); }
    std::size_t size() const;
    std::size_t waiting(std::size_t rank) const
    {
        return lanes_[rank].waiting.size();
    }
    /// Calls that wait at \p rank and at more urgent ones.
    std::size_t waiting_at_or_before(std::size_t rank) const;

    void push(attempt arrived);
    /// Takes the call that must go because the queue is over its capacity:
    /// the newest of the least urgent rank that holds more places than its
    /// minimum share of the queue.
    std::optional<attempt> drop_overflow();
    /// Takes the call to start next among the ranks that \p eligible allows.
    std::optional<attempt> pop(const may_start& eligible);
    /// Accounts for a call of \p rank that was started and is expected to
    /// take \p cost_ms of one slot, when \p slots of them are in use.
    void charge(std::size_t rank, double cost_ms, std::uint32_t slots);
    /// A call of the rank of this name that was started has ended. It was
    /// charged \p charged_ms and took \p took_ms; the difference is settled.
    void release(std::string_view name,
                 double charged_ms,
                 double took_ms,
                 std::uint32_t slots);
    std::size_t running(std::size_t rank) const { return lanes_[rank].running; }
    std::size_t running() const;

    using predicate = std::function<bool(const attempt&)>;
    /// Takes the calls that satisfy \p leaves.
    std::vector<attempt> remove_if(const predicate& leaves);

private:
    struct waiter
    {
        attempt call;
        std::uint64_t order = 0;
    };
    struct lane
    {
        std::string name;
        double share = 0;
        std::size_t kept_places = 0;
        double credit_ms = 0;
        std::size_t running = 0;
        std::deque<waiter> waiting;

        bool idle() const { return waiting.empty() && running == 0; }
    };

    void insert(waiter arrived);
    void share_out(std::size_t rank, double cost_ms, std::uint32_t slots);
    std::optional<std::size_t> choose(const may_start& eligible) const;
    static void forget_credit_when_idle(lane& each);

    std::vector<lane> lanes_;
    std::size_t capacity_ = 0;
    double window_ms_ = 0;
    std::uint64_t last_order_ = 0;
};

} // namespace galenarudder::admission
