/// \file
/// Limits retries and hedges to a share of recent calls.
#pragma once

#include <atomic>
#include <cstdint>

namespace galenarudder::routing {

/// A token bucket for extra attempts: each call deposits a fraction of a token
/// and each extra attempt takes one token, so that over time extra attempts
/// are at most that fraction of calls. The balance is limited, so that unused
/// tokens allow only a short burst. Thread-safe.
class extra_attempt_budget
{
public:
    /// Largest number of extra attempts in a burst.
    static constexpr std::int64_t max_burst = 10;

    /// Adds \p share of a token, 0 to 1, for a call that began. The balance is
    /// then cut to \p max_tokens.
    void deposit(double share, double max_tokens = max_burst);
    /// Takes one token. Returns false when the balance is below one token.
    bool try_take();
    /// Returns whether a token could be taken.
    bool available() const;

private:
    static constexpr std::int64_t units_per_token = 1000;
    /// Allows the first calls of an entry to be retried.
    static constexpr std::int64_t initial_tokens = 2;

    /// Balance in thousandths of a token.
    std::atomic<std::int64_t> balance_{initial_tokens * units_per_token};
};

} // namespace galenarudder::routing
