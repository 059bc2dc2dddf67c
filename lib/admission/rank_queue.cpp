// One lane for each rank, and one for calls of unknown ranks.
#include "galenarudder/admission/rank_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace galenarudder::admission {

namespace {

/// Ranks earn this much more than their share, so that no window falls below
/// it by the calls that lie across its edges.
constexpr double earned_part = 1.05;

std::size_t kept_places(double share, std::size_t capacity)
{
    if (share <= 0)
        return 0;
    const double places = share * static_cast<double>(capacity);
    return std::max<std::size_t>(1, static_cast<std::size_t>(places));
}

} // namespace

void rank_queue::configure(std::span<const config::rank_policy> ranks,
                           std::size_t capacity,
                           support::duration window)
{
    std::vector<lane> before = std::move(lanes_);
    lanes_.clear();
    capacity_ = std::max<std::size_t>(1, capacity);
    window_ms_ = support::to_ms(window);
    for (const config::rank_policy& policy : ranks) {
        lane made;
        made.name = policy.name;
        made.share = policy.minimum_share;
        made.kept_places = kept_places(policy.minimum_share, capacity_);
        lanes_.push_back(std::move(made));
    }
    lanes_.emplace_back();
    for (lane& old : before) {
        lane& moved = lanes_[rank_of(old.name)];
        moved.credit_ms = old.credit_ms;
        moved.running += old.running;
        for (waiter& kept : old.waiting)
            insert(std::move(kept));
    }
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
    for (std::size_t next = 0; next <= rank; ++next)
        count += lanes_[next].waiting.size();
    return count;
}

void rank_queue::insert(waiter arrived)
{
    std::deque<waiter>& waiting = lanes_[rank_of(arrived.call.rank)].waiting;
    const auto later =
        std::upper_bound(waiting.begin(), waiting.end(), arrived.order,
                         [](std::uint64_t order, const waiter& other) {
                             return order < other.order;
                         });
    waiting.insert(later, std::move(arrived));
}

void rank_queue::push(attempt arrived)
{
    insert({std::move(arrived), ++last_order_});
}

std::optional<attempt> rank_queue::drop_overflow()
{
    if (size() <= capacity_)
        return std::nullopt;
    // Kept places can add up to the capacity, so that no rank is over its
    // own; then the least urgent rank with waiting calls gives way.
    std::size_t victim = lanes_.size();
    for (std::size_t rank = 0; rank < lanes_.size(); ++rank) {
        if (lanes_[rank].waiting.size() > lanes_[rank].kept_places)
            victim = rank;
    }
    for (std::size_t rank = 0; victim == lanes_.size(); ++rank) {
        const std::size_t from_end = lanes_.size() - 1 - rank;
        if (!lanes_[from_end].waiting.empty())
            victim = from_end;
    }
    lane& chosen = lanes_[victim];
    attempt dropped = std::move(chosen.waiting.back().call);
    chosen.waiting.pop_back();
    forget_credit_when_idle(chosen);
    return dropped;
}

std::optional<std::size_t> rank_queue::choose(const may_start& eligible) const
{
    std::optional<std::size_t> most_urgent;
    for (std::size_t rank = 0; rank < lanes_.size(); ++rank) {
        const lane& candidate = lanes_[rank];
        if (candidate.waiting.empty() || !eligible(rank))
            continue;
        if (candidate.share > 0 && candidate.credit_ms > 0)
            return rank;
        if (!most_urgent)
            most_urgent = rank;
    }
    return most_urgent;
}

std::optional<attempt> rank_queue::pop(const may_start& eligible)
{
    const std::optional<std::size_t> rank = choose(eligible);
    if (!rank)
        return std::nullopt;
    lane& chosen = lanes_[*rank];
    attempt next = std::move(chosen.waiting.front().call);
    chosen.waiting.pop_front();
    return next;
}

void rank_queue::charge(std::size_t rank, double cost_ms, std::uint32_t slots)
{
    assert(rank < lanes_.size() && "the rank is a position of the queue");
    share_out(rank, cost_ms, slots);
    lane& started = lanes_[rank];
    started.credit_ms = std::max(started.credit_ms, -cost_ms);
    ++started.running;
}

/// Takes a cost from one rank and gives each its share of it.
void rank_queue::share_out(std::size_t rank,
                           double cost_ms,
                           std::uint32_t slots)
{
    for (std::size_t each = 0; each < lanes_.size(); ++each) {
        lane& earning = lanes_[each];
        if (earning.idle() && each != rank)
            continue;
        const double most = earning.share * window_ms_ * slots;
        const double earned = earned_part * earning.share * cost_ms;
        earning.credit_ms = std::min(earning.credit_ms + earned, most);
    }
    lanes_[rank].credit_ms -= cost_ms;
}

std::vector<attempt> rank_queue::remove_if(const predicate& leaves)
{
    std::vector<attempt> removed;
    for (lane& each : lanes_) {
        const auto asked = [&](const waiter& next) {
            return leaves(next.call);
        };
        if (std::none_of(each.waiting.begin(), each.waiting.end(), asked))
            continue;
        std::deque<waiter> kept;
        for (waiter& next : each.waiting) {
            if (leaves(next.call))
                removed.push_back(std::move(next.call));
            else
                kept.push_back(std::move(next));
        }
        each.waiting = std::move(kept);
        forget_credit_when_idle(each);
    }
    return removed;
}

void rank_queue::release(std::string_view name,
                         double charged_ms,
                         double took_ms,
                         std::uint32_t slots)
{
    const std::size_t rank = rank_of(name);
    lane& of_call = lanes_[rank];
    assert(of_call.running > 0 && "only a started call is released");
    share_out(rank, took_ms - charged_ms, slots);
    of_call.credit_ms = std::max(of_call.credit_ms, -took_ms);
    --of_call.running;
    forget_credit_when_idle(of_call);
}

std::size_t rank_queue::running() const
{
    std::size_t count = 0;
    for (const lane& each : lanes_)
        count += each.running;
    return count;
}

void rank_queue::forget_credit_when_idle(lane& each)
{
    if (each.idle())
        each.credit_ms = std::min(each.credit_ms, 0.0);
}

} // namespace galenarudder::admission
