/// \file
/// A budget for extra attempts as a share of recent calls.
#pragma once

#include <atomic>
#include <cstdint>

namespace galenarudder::routing {

/// Each call deposits a share of a token and each extra attempt takes a whole
/// one, so that over time extra attempts are at most that share of calls. The
/// balance is bounded: a quiet time saves up only for a short burst. Safe
/// from several threads.
class budget
{
public:
    /// Extra attempts that may be made at once after enough calls.
    static constexpr std::int64_t max_burst = 10;

    /// A call began; \p share is what it adds, 0 to 1. No more than \p most
    /// tokens are kept, those that were there before included.
    void deposit(double share, double most = max_burst);
    /// Takes one token; false when there is none.
    bool take();
    /// Whether take would succeed.
    bool available() const;

private:
    static constexpr std::int64_t token = 1000;
    /// Lets the first calls of an entry be sent again at all.
    static constexpr std::int64_t first_tokens = 2;

    /// Balance in thousandths of a token.
    std::atomic<std::int64_t> balance_{first_tokens * token};
};

} // namespace galenarudder::routing
