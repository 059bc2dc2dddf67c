// Calls that return are not marked, so that the places reserved within a second
// stand for them.
#include "return_schedule.hpp"

#include <algorithm>

namespace galenarudder::admission {

namespace {

constexpr std::int64_t steady_seconds = 3;
/// Under an excess of calls, places are spaced by this share of the rate, so
/// that they soon lie behind the end of the cold time.
constexpr double least_share = 0.1;

std::int64_t second_of(support::time_point time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
        .count();
}

} // namespace

void return_schedule::on_offer(support::time_point now)
{
    const std::int64_t second = second_of(now);
    ++seconds_[second].offered;
    seconds_.erase(seconds_.begin(),
                   seconds_.lower_bound(second - steady_seconds));
}

/// Returns how many calls per second arrive beside those that return.
double return_schedule::steady_rate(support::time_point now) const
{
    std::uint32_t least = UINT32_MAX;
    for (std::int64_t ago = 1; ago <= steady_seconds; ++ago) {
        const auto counts = seconds_.find(second_of(now) - ago);
        if (counts == seconds_.end())
            return 0;
        const auto [offered, reserved] = counts->second;
        least = std::min(least, offered > reserved ? offered - reserved : 0);
    }
    return least;
}

support::time_point return_schedule::reserve(const return_room& room,
                                             support::time_point now,
                                             support::duration max_wait)
{
    const support::time_point place =
        std::min(std::max(next_, room.first), now + max_wait);
    const double rate =
        place < room.cold_until ? room.cold_rate : room.warm_rate;
    const double free_rate =
        std::max(rate - steady_rate(now), least_share * rate);
    constexpr double ms_per_s = 1000;
    next_ = place + support::from_ms(ms_per_s / free_rate);
    ++seconds_[second_of(place)].reserved;
    return place;
}

void return_schedule::clear()
{
    seconds_.clear();
    next_ = {};
}

} // namespace galenarudder::admission
