// One lane per configured rank, and a last one for calls of unknown ranks.
#include "galenarudder/admission/rank_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace galenarudder::admission {

namespace {

/// Ratio of the credit that a rank earns to its share. The surplus compensates
/// for calls across the edges of a window, which would otherwise leave the rank
/// below its share in that window.
constexpr double credit_ratio = 1.05;

std::size_t reserved_places(double share, std::size_t capacity)
{
    if (share <= 0)
        return 0;
    const double reserved = share * static_cast<double>(capacity);
    return std::max<std::size_t>(1, static_cast<std::size_t>(reserved));
}

} // namespace

void rank_queue::configure(std::span<const config::rank_policy> ranks,
                           std::size_t capacity,
                           support::duration window)
{
    std::vector<lane> previous_lanes = std::move(lanes_);
    lanes_.clear();
    capacity_ = std::max<std::size_t>(1, capacity);
    window_ms_ = support::to_ms(window);
    for (const config::rank_policy& policy : ranks) {
        lane new_lane;
        new_lane.waiting = fair_queue(order_);
        new_lane.name = policy.name;
        new_lane.minimum_share = policy.minimum_share;
        new_lane.reserved_places =
            reserved_places(policy.minimum_share, capacity_);
        lanes_.push_back(std::move(new_lane));
    }
    lanes_.emplace_back().waiting = fair_queue(order_);
    for (lane& previous_lane : previous_lanes) {
        lane& new_lane = lanes_[rank_of(previous_lane.name)];
        new_lane.credit_ms = previous_lane.credit_ms;
        new_lane.waiting.take_excess(previous_lane.waiting);
        for (queued_call& queued : previous_lane.waiting.take_all())
            insert(std::move(queued));
    }
    for (const auto& [name, count] : running_by_name_)
        lanes_[rank_of(name)].running += count;
}

turn_tally rank_queue::take_turn_tally()
{
    turn_tally taken;
    for (lane& rank_lane : lanes_)
        taken.add(rank_lane.waiting.take_tally());
    return taken;
}

std::size_t rank_queue::rank_of(std::string_view name) const
{
    for (std::size_t rank = 0; rank + 1 < lanes_.size(); ++rank) {
        if (lanes_[rank].name == name)
            return rank;
    }
    return lanes_.size() - 1;
}

std::size_t rank_queue::size() const
{
    return waiting_at_or_before(lanes_.size() - 1);
}

std::size_t rank_queue::waiting_at_or_before(std::size_t rank) const
{
    std::size_t count = 0;
    for (std::size_t position = 0; position <= rank; ++position)
        count += lanes_[position].waiting.size();
    return count;
}

std::size_t rank_queue::waiting_before(const attempt& call,
                                       double cost_ms) const
{
    const std::size_t rank = rank_of(call.rank);
    const std::size_t more_urgent =
        rank == 0 ? 0 : waiting_at_or_before(rank - 1);
    return more_urgent + lanes_[rank].waiting.ahead_of(call, cost_ms);
}

void rank_queue::insert(queued_call queued)
{
    fair_queue& waiting = lanes_[rank_of(queued.call.rank)].waiting;
    waiting.insert(std::move(queued));
}

void rank_queue::push(attempt call)
{
    insert({std::move(call), ++last_sequence_});
}

std::optional<attempt> rank_queue::drop_overflow()
{
    if (size() <= capacity_)
        return std::nullopt;
    // Reserved places can add up to the capacity, so that no rank exceeds its
    // own. Then a call of the least urgent rank with waiting calls is dropped.
    std::size_t victim_rank = lanes_.size();
    for (std::size_t rank = 0; rank < lanes_.size(); ++rank) {
        if (lanes_[rank].waiting.size() > lanes_[rank].reserved_places)
            victim_rank = rank;
    }
    for (std::size_t rank = 0; victim_rank == lanes_.size(); ++rank) {
        const std::size_t from_end = lanes_.size() - 1 - rank;
        if (!lanes_[from_end].waiting.empty())
            victim_rank = from_end;
    }
    lane& victim = lanes_[victim_rank];
    attempt dropped = victim.waiting.drop_newest();
    clear_credit_if_idle(victim);
    return dropped;
}

std::optional<std::size_t>
rank_queue::choose_rank(const rank_predicate& eligible) const
{
    std::optional<std::size_t> most_urgent;
    for (std::size_t rank = 0; rank < lanes_.size(); ++rank) {
        const lane& rank_lane = lanes_[rank];
        if (rank_lane.waiting.empty() || !eligible(rank))
            continue;
        if (rank_lane.minimum_share > 0 && rank_lane.credit_ms > 0)
            return rank;
        if (!most_urgent)
            most_urgent = rank;
    }
    return most_urgent;
}

std::optional<attempt> rank_queue::pop(const rank_predicate& eligible)
{
    const std::optional<std::size_t> rank = choose_rank(eligible);
    if (!rank)
        return std::nullopt;
    return lanes_[*rank].waiting.pop();
}

void rank_queue::charge(const std::string& rank_name,
                        double cost_ms,
                        std::uint32_t limit,
                        std::string_view organisation)
{
    const std::size_t rank = rank_of(rank_name);
    charge_and_credit(rank, cost_ms, limit);
    lanes_[rank].waiting.charge(organisation, cost_ms);
    lane& charged_lane = lanes_[rank];
    charged_lane.credit_ms = std::max(charged_lane.credit_ms, -cost_ms);
    ++charged_lane.running;
    ++running_by_name_[rank_name];
}

/// Charges a cost to \p rank and credits each rank that is not idle with its
/// share of the cost.
void rank_queue::charge_and_credit(std::size_t rank,
                                   double cost_ms,
                                   std::uint32_t limit)
{
    for (std::size_t position = 0; position < lanes_.size(); ++position) {
        lane& credited = lanes_[position];
        if (credited.idle() && position != rank)
            continue;
        const double max_credit_ms =
            credited.minimum_share * window_ms_ * limit;
        const double earned_ms =
            credit_ratio * credited.minimum_share * cost_ms;
        credited.credit_ms =
            std::min(credited.credit_ms + earned_ms, max_credit_ms);
    }
    lanes_[rank].credit_ms -= cost_ms;
}

std::vector<attempt> rank_queue::remove_if(const attempt_predicate& matches)
{
    std::vector<attempt> removed;
    for (lane& rank_lane : lanes_) {
        if (!rank_lane.waiting.any_of(matches))
            continue;
        rank_lane.waiting.remove_if(matches, removed);
        clear_credit_if_idle(rank_lane);
    }
    return removed;
}

std::vector<attempt>
rank_queue::remove_in_order(const attempt_predicate& matches)
{
    std::vector<attempt> removed;
    for (lane& rank_lane : lanes_) {
        rank_lane.waiting.remove_if(matches, removed);
        clear_credit_if_idle(rank_lane);
    }
    return removed;
}

void rank_queue::release(const std::string& rank_name,
                         double charged_ms,
                         double took_ms,
                         std::uint32_t limit,
                         std::string_view organisation)
{
    const std::size_t rank = rank_of(rank_name);
    lane& call_lane = lanes_[rank];
    const auto running_calls = running_by_name_.find(rank_name);
    assert(running_calls != running_by_name_.end() &&
           "a call must be started before it is released");
    if (--running_calls->second == 0)
        running_by_name_.erase(running_calls);
    charge_and_credit(rank, took_ms - charged_ms, limit);
    call_lane.waiting.charge(organisation, took_ms - charged_ms);
    call_lane.credit_ms = std::max(call_lane.credit_ms, -took_ms);
    --call_lane.running;
    clear_credit_if_idle(call_lane);
}

std::size_t rank_queue::running() const
{
    std::size_t count = 0;
    for (const lane& rank_lane : lanes_)
        count += rank_lane.running;
    return count;
}

void rank_queue::clear_credit_if_idle(lane& rank_lane)
{
    if (!rank_lane.idle())
        return;
    rank_lane.credit_ms = std::min(rank_lane.credit_ms, 0.0);
    rank_lane.waiting.reset();
}

} // namespace galenarudder::admission
