// Sliding window of 64 sequence numbers for each sender.
#include "galenarudder/membership/replay_window.hpp"

namespace galenarudder::membership {

namespace {

constexpr std::uint64_t window_size = 64;

} // namespace

freshness replay_window::admit(std::uint64_t life, std::uint64_t sequence)
{
    if (life < life_)
        return freshness::former_life;
    if (life > life_) {
        life_ = life;
        highest_ = sequence;
        seen_ = 1;
        return freshness::fresh;
    }
    if (sequence > highest_) {
        const std::uint64_t step = sequence - highest_;
        seen_ = step < window_size ? seen_ << step : 0;
        seen_ |= 1;
        highest_ = sequence;
        return freshness::fresh;
    }
    const std::uint64_t age = highest_ - sequence;
    if (age >= window_size)
        return freshness::replayed;
    const std::uint64_t bit = std::uint64_t{1} << age;
    if ((seen_ & bit) != 0)
        return freshness::replayed;
    seen_ |= bit;
    return freshness::fresh;
}

} // namespace galenarudder::membership
