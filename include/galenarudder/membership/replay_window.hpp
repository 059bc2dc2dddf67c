/// \file
/// Replay protection for the datagrams of one sender: a sliding window over its
/// sequence numbers, reset when the sender restarts.
#pragma once

#include <cstdint>

namespace galenarudder::membership {

/// Classifies a datagram by its start incarnation and sequence number.
enum class freshness
{
    fresh,
    /// Received before, or too old to tell.
    replayed,
    /// Sent by a process of the member that has since been replaced.
    earlier_incarnation
};

class replay_window
{
public:
    /// Classifies a datagram and records it if it is fresh.
    freshness admit(std::uint64_t start_incarnation, std::uint64_t sequence);

    /// Start incarnation of the newest process; 0 before the first datagram.
    std::uint64_t start_incarnation() const { return start_incarnation_; }

private:
    std::uint64_t start_incarnation_ = 0;
    std::uint64_t highest_sequence_ = 0;
    /// Bit n is set when sequence number highest_sequence_ - n was received.
    std::uint64_t received_mask_ = 0;
};

} // namespace galenarudder::membership
