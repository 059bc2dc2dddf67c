// One list of waiting calls for each organisation and tier, each in the order
// of arrival.
#include "galenarudder/admission/fair_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <tuple>

namespace galenarudder::admission {

namespace {

/// Accounts without waiting calls that are kept because of what they used.
constexpr std::size_t max_settled_accounts = 64;

} // namespace

void turn_tally::add(const turn_tally& other)
{
    starts += other.starts;
    removals += other.removals;
    for (const auto& [organisation, count] : other.passed_over)
        passed_over[organisation] += count;
}

void fair_queue::insert(queued_call queued)
{
    account& own = accounts_[queued.call.organisation];
    if (own.size() == 0)
        own.turn_ms = std::max(own.turn_ms, turn_ms_);
    const std::size_t tier = tier_of(queued.call);
    call_list& waiting = own.waiting[tier];
    const auto position = std::upper_bound(
        waiting.begin(), waiting.end(), queued.sequence,
        [](std::uint64_t sequence, const queued_call& existing) {
            return sequence < existing.sequence;
        });
    waiting.insert(position, std::move(queued));
    ++size_;
    ++size_by_tier_[tier];
}

std::size_t fair_queue::ahead_of(const attempt& call, double cost_ms) const
{
    if (order_ == queue_order::arrival)
        return size_;
    const std::size_t tier = tier_of(call);
    const auto turn_after_nested = [&](const account& owner) {
        const std::size_t nested = tier == 0 ? 0 : owner.waiting[0].size();
        return owner.turn_ms + static_cast<double>(nested) * cost_ms;
    };
    const auto own = accounts_.find(call.organisation);
    double own_turn_ms = turn_ms_;
    std::size_t ahead = tier == 0 ? 0 : size_by_tier_[0];
    std::size_t own_ahead = 0;
    if (own != accounts_.end()) {
        own_ahead = own->second.waiting[tier].size();
        own_turn_ms = turn_after_nested(own->second);
        if (own->second.size() == 0)
            own_turn_ms = std::max(own_turn_ms, turn_ms_);
    }
    own_turn_ms += static_cast<double>(own_ahead) * cost_ms;
    for (auto other = accounts_.begin(); other != accounts_.end(); ++other) {
        const double waiting =
            static_cast<double>(other->second.waiting[tier].size());
        if (other == own) {
            ahead += own_ahead;
            continue;
        }
        // At the same turn, the call that arrived first goes first.
        const double earlier_ms =
            own_turn_ms - turn_after_nested(other->second);
        if (earlier_ms < 0)
            continue;
        const double turns = cost_ms > 0 ? std::floor(earlier_ms / cost_ms) + 1
                                         : static_cast<double>(own_ahead) + 1;
        ahead += static_cast<std::size_t>(std::min(waiting, turns));
    }
    return ahead;
}

/// Finds the call that has its turn.
fair_queue::place fair_queue::find_next()
{
    const std::size_t tier = size_by_tier_[0] != 0 ? 0 : 1;
    auto next = accounts_.end();
    for (auto position = accounts_.begin(); position != accounts_.end();
         ++position) {
        const account& candidate = position->second;
        if (candidate.waiting[tier].empty())
            continue;
        const bool is_earlier =
            next == accounts_.end() ||
            std::pair(candidate.turn_ms,
                      candidate.waiting[tier].front().sequence) <
                std::pair(next->second.turn_ms,
                          next->second.waiting[tier].front().sequence);
        if (is_earlier)
            next = position;
    }
    return {next, tier};
}

/// Finds the call that arrived first.
fair_queue::place fair_queue::find_oldest()
{
    place oldest{accounts_.end()};
    for (auto position = accounts_.begin(); position != accounts_.end();
         ++position) {
        for (std::size_t tier = 0; tier < 2; ++tier) {
            const call_list& waiting = position->second.waiting[tier];
            if (waiting.empty())
                continue;
            if (oldest.owner == accounts_.end() ||
                waiting.front().sequence < oldest.waiting().front().sequence)
                oldest = {position, tier};
        }
    }
    return oldest;
}

/// Finds the call that a full queue removes by turns.
fair_queue::place fair_queue::find_dropped()
{
    const std::size_t tier = size_by_tier_[1] != 0 ? 1 : 0;
    auto largest = accounts_.end();
    for (auto position = accounts_.begin(); position != accounts_.end();
         ++position) {
        const account& candidate = position->second;
        const call_list& waiting = candidate.waiting[tier];
        if (waiting.empty())
            continue;
        const bool is_larger =
            largest == accounts_.end() ||
            std::pair(candidate.size(), waiting.back().sequence) >
                std::pair(largest->second.size(),
                          largest->second.waiting[tier].back().sequence);
        if (is_larger)
            largest = position;
    }
    return {largest, tier};
}

/// Finds the call that arrived last.
fair_queue::place fair_queue::find_newest()
{
    place newest{accounts_.end()};
    for (auto position = accounts_.begin(); position != accounts_.end();
         ++position) {
        for (std::size_t tier = 0; tier < 2; ++tier) {
            const call_list& waiting = position->second.waiting[tier];
            if (waiting.empty())
                continue;
            if (newest.owner == accounts_.end() ||
                waiting.back().sequence > newest.waiting().back().sequence)
                newest = {position, tier};
        }
    }
    return newest;
}

void fair_queue::count_start(const place& by_turns, const place& by_arrival)
{
    if (by_turns.waiting().front().sequence ==
        by_arrival.waiting().front().sequence)
        return;
    ++tally_.starts;
    ++tally_.passed_over[by_arrival.owner->first];
}

attempt fair_queue::pop()
{
    assert(!empty() && "there must be a waiting call");
    const place by_turns = find_next();
    // The least turn of the waiting organisations is the present one in both
    // orders. With that of the call that starts, an organisation beyond its
    // share would advance the others to its own turn.
    turn_ms_ = std::max(turn_ms_, by_turns.owner->second.turn_ms);
    place next = by_turns;
    if (!has_one_order()) {
        const place by_arrival = find_oldest();
        count_start(by_turns, by_arrival);
        if (order_ == queue_order::arrival)
            next = by_arrival;
    }
    attempt popped = std::move(next.waiting().front().call);
    next.waiting().pop_front();
    --size_;
    --size_by_tier_.at(next.tier);
    forget_settled();
    return popped;
}

attempt fair_queue::drop_newest()
{
    assert(!empty() && "there must be a waiting call");
    place dropped_place = find_dropped();
    if (!has_one_order()) {
        const place newest = find_newest();
        if (newest.waiting().back().sequence !=
            dropped_place.waiting().back().sequence)
            ++tally_.removals;
        if (order_ == queue_order::arrival)
            dropped_place = newest;
    }
    attempt dropped = std::move(dropped_place.waiting().back().call);
    dropped_place.waiting().pop_back();
    --size_;
    --size_by_tier_.at(dropped_place.tier);
    forget_settled();
    return dropped;
}

void fair_queue::remove_if(const std::function<bool(const attempt&)>& matches,
                           std::vector<attempt>& removed)
{
    // Nested calls first, then by turns: the calls that have as many calls of
    // their organisation before them are of the same round.
    struct visited_call
    {
        std::size_t tier;
        std::size_t round;
        double turn_ms;
        std::uint64_t sequence;
        queued_call* queued;
    };
    std::vector<visited_call> places;
    places.reserve(size_);
    for (auto& [name, owner] : accounts_) {
        for (std::size_t tier = 0; tier < 2; ++tier) {
            std::size_t round = 0;
            for (queued_call& queued : owner.waiting[tier]) {
                places.push_back(
                    {tier, round, owner.turn_ms, queued.sequence, &queued});
                ++round;
            }
        }
    }
    if (order_ == queue_order::arrival) {
        std::sort(places.begin(), places.end(),
                  [](const visited_call& left, const visited_call& right) {
                      return left.sequence < right.sequence;
                  });
    } else if (accounts_.size() > 1 || size_by_tier_[0] != 0) {
        std::sort(places.begin(), places.end(),
                  [](const visited_call& left, const visited_call& right) {
                      return std::tie(left.tier, left.round, left.turn_ms,
                                      left.sequence) <
                             std::tie(right.tier, right.round, right.turn_ms,
                                      right.sequence);
                  });
    }
    constexpr std::uint64_t gone = 0;
    for (const visited_call& visited : places) {
        if (!matches(visited.queued->call))
            continue;
        removed.push_back(std::move(visited.queued->call));
        visited.queued->sequence = gone;
        --size_;
        --size_by_tier_[visited.tier];
    }
    for (auto& [name, owner] : accounts_) {
        for (call_list& waiting : owner.waiting) {
            std::erase_if(waiting, [](const queued_call& queued) {
                return queued.sequence == gone;
            });
        }
    }
    forget_settled();
}

void fair_queue::charge(std::string_view organisation, double cost_ms)
{
    auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        found = accounts_.emplace(std::string(organisation), account()).first;
        found->second.turn_ms = turn_ms_;
    }
    found->second.turn_ms += cost_ms;
    forget_settled();
}

/// Removes the accounts that would resume at the present turn in any case, and
/// those of the least excess if there are too many.
void fair_queue::forget_settled()
{
    std::erase_if(accounts_, [this](const auto& entry) {
        return entry.second.size() == 0 && entry.second.turn_ms <= turn_ms_;
    });
    while (accounts_.size() > max_settled_accounts + size_) {
        auto least = accounts_.end();
        for (auto position = accounts_.begin(); position != accounts_.end();
             ++position) {
            if (position->second.size() != 0)
                continue;
            if (least == accounts_.end() ||
                position->second.turn_ms < least->second.turn_ms)
                least = position;
        }
        accounts_.erase(least);
    }
}

void fair_queue::reset()
{
    std::erase_if(accounts_,
                  [](const auto& entry) { return entry.second.size() == 0; });
    for (auto& [name, owner] : accounts_)
        owner.turn_ms = 0;
    turn_ms_ = 0;
}

std::vector<queued_call> fair_queue::take_all()
{
    std::vector<queued_call> taken;
    for (auto& [name, owner] : accounts_) {
        for (call_list& waiting : owner.waiting) {
            std::move(waiting.begin(), waiting.end(),
                      std::back_inserter(taken));
            waiting.clear();
        }
    }
    size_ = 0;
    size_by_tier_ = {};
    return taken;
}

void fair_queue::take_excess(const fair_queue& previous)
{
    for (const auto& [name, from] : previous.accounts_) {
        const double excess_ms = from.turn_ms - previous.turn_ms_;
        if (excess_ms > 0)
            charge(name, excess_ms);
    }
}

bool fair_queue::any_of(
    const std::function<bool(const attempt&)>& matches) const
{
    const auto call_matches = [&](const queued_call& queued) {
        return matches(queued.call);
    };
    for (const auto& [name, owner] : accounts_) {
        for (const call_list& waiting : owner.waiting) {
            if (std::any_of(waiting.begin(), waiting.end(), call_matches))
                return true;
        }
    }
    return false;
}

} // namespace galenarudder::admission
