/// \file
/// The queue of a gate. Calls of more urgent ranks go first, while each rank
/// gets its minimum share of the upstream's time.
#pragma once

#include "galenarudder/admission/attempt.hpp"
#include "galenarudder/admission/fair_queue.hpp"
#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::admission {

/// Queue with one lane per rank. A rank is identified by its position, 0 for
/// the most urgent. All calls whose rank the configuration does not define
/// share one additional, least urgent rank.
///
/// Minimum shares are enforced by credit, counted in slot time: the time for
/// which a call occupies one slot. Each started call is charged to its rank,
/// and every rank with waiting or running calls is credited with its share of
/// that charge. A rank with positive credit goes before more urgent ranks. An
/// idle rank earns no credit and loses the credit it has, so that other ranks
/// use its share meanwhile. A rank that exceeds its share owes at most the cost
/// of one call. Credit is limited to the rank's share of one window.
///
/// Within a rank, fair_queue determines the order of the calls.
class rank_queue
{
public:
    using rank_predicate = std::function<bool(std::size_t rank)>;

    /// Applies the configured ranks. Waiting calls move to the new position of
    /// their rank and keep their order of arrival.
    void configure(std::span<const config::rank_policy> ranks,
                   std::size_t capacity,
                   support::duration window);

    /// Sets the order of the calls of each rank, which the next configure
    /// applies.
    void set_order(queue_order order) { order_ = order; }
    /// Returns the decisions, since the last call, for which the order by turns
    /// and that of arrival differ.
    turn_tally take_turn_tally();

    /// Returns the position of the rank \p name.
    std::size_t rank_of(std::string_view name) const;
    std::size_t rank_count() const { return lanes_.size(); }
    /// Number of waiting calls.
    std::size_t size() const;
    std::size_t waiting(std::size_t rank) const
    {
        return lanes_[rank].waiting.size();
    }
    /// Returns the number of waiting calls of \p rank and more urgent ranks.
    std::size_t waiting_at_or_before(std::size_t rank) const;
    /// Returns how many waiting calls are expected to start before \p call if
    /// it is added now and the calls of its rank take \p cost_ms each.
    std::size_t waiting_before(const attempt& call, double cost_ms) const;

    void push(attempt call);
    /// Removes and returns one call if the queue exceeds its capacity: the
    /// newest call of the least urgent rank that occupies more places than are
    /// reserved for it. Among organisations, it is of the one with the most
    /// waiting calls of that rank.
    std::optional<attempt> drop_overflow();
    /// Removes and returns the call to start next, among the ranks for which
    /// \p eligible holds.
    std::optional<attempt> pop(const rank_predicate& eligible);
    /// Charges \p rank_name and \p organisation for a started call that is
    /// expected to occupy one slot for \p cost_ms. \p limit is the number of
    /// calls that may run at once; it bounds the credit of each rank.
    void charge(const std::string& rank_name,
                double cost_ms,
                std::uint32_t limit,
                std::string_view organisation = {});
    /// Accounts for the end of a started call of \p rank_name and
    /// \p organisation. It was charged \p charged_ms and took \p took_ms; the
    /// difference is charged or refunded.
    void release(const std::string& rank_name,
                 double charged_ms,
                 double took_ms,
                 std::uint32_t limit,
                 std::string_view organisation = {});
    std::size_t running(std::size_t rank) const { return lanes_[rank].running; }
    std::size_t running() const;

    using attempt_predicate = std::function<bool(const attempt&)>;
    /// Removes and returns the waiting calls for which \p matches holds. The
    /// calls are visited once each, from the most to the least urgent rank and
    /// in the expected order of their starts within a rank.
    std::vector<attempt> remove_in_order(const attempt_predicate& matches);
    /// Removes and returns the waiting calls for which \p matches holds.
    std::vector<attempt> remove_if(const attempt_predicate& matches);

private:
    /// The calls of one rank.
    struct lane
    {
        std::string name;
        double minimum_share = 0;
        std::size_t reserved_places = 0;
        double credit_ms = 0;
        std::size_t running = 0;
        fair_queue waiting;

        bool idle() const { return waiting.empty() && running == 0; }
    };

    void insert(queued_call queued);
    void
    charge_and_credit(std::size_t rank, double cost_ms, std::uint32_t limit);
    std::optional<std::size_t>
    choose_rank(const rank_predicate& eligible) const;
    static void clear_credit_if_idle(lane& rank_lane);

    queue_order order_ = queue_order::turns;
    std::vector<lane> lanes_;
    /// Started calls by the name of their rank, which may be unknown: it can
    /// become known, or be removed, before the call ends.
    std::map<std::string, std::size_t> running_by_name_;
    std::size_t capacity_ = 0;
    double window_ms_ = 0;
    std::uint64_t last_sequence_ = 0;
};

} // namespace galenarudder::admission
