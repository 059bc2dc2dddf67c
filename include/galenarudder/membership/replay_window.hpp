/// \file
/// Refuses datagrams that one sender sent before: a sliding window over its
/// sequence numbers, restarted by each of its lives.
#pragma once

#include <cstdint>

namespace galenarudder::membership {

/// What a datagram's life and sequence mean to the window.
enum class freshness
{
    fresh,
    replayed,
    /// From a process that has been replaced since.
    former_life
};

class replay_window
{
public:
    /// Classifies a datagram and, when fresh, remembers it.
    freshness admit(std::uint64_t life, std::uint64_t sequence);

    std::uint64_t life() const { return life_; }

private:
    std::uint64_t life_ = 0;
    std::uint64_t highest_ = 0;
    /// Bit n is set when highest_ - n was seen.
    std::uint64_t seen_ = 0;
};

} // namespace galenarudder::membership
