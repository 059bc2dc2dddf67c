// Sliding window over the last 64 sequence numbers of a sender.
#include "galenarudder/membership/replay_window.hpp"

namespace galenarudder::membership {

namespace {

constexpr std::uint64_t window_bits = 64;

} // namespace

freshness replay_window::admit(std::uint64_t start_incarnation,
                               std::uint64_t sequence)
{
    if (start_incarnation < start_incarnation_)
        return freshness::earlier_incarnation;
    if (start_incarnation > start_incarnation_) {
        start_incarnation_ = start_incarnation;
        highest_sequence_ = sequence;
        received_mask_ = 1;
        return freshness::fresh;
    }
    if (sequence > highest_sequence_) {
        const std::uint64_t step = sequence - highest_sequence_;
        received_mask_ = step < window_bits ? received_mask_ << step : 0;
        received_mask_ |= 1;
        highest_sequence_ = sequence;
        return freshness::fresh;
    }
    const std::uint64_t age = highest_sequence_ - sequence;
    if (age >= window_bits)
        return freshness::replayed;
    const std::uint64_t bit = std::uint64_t{1} << age;
    if ((received_mask_ & bit) != 0)
        return freshness::replayed;
    received_mask_ |= bit;
    return freshness::fresh;
}

} // namespace galenarudder::membership
