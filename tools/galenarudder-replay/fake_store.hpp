/// \file
/// A simulated store that records claims of idempotency keys. The trace can
/// make it unavailable, slow it down or let it lose an answer.
#pragma once

#include "trace.hpp"

#include <optional>
#include <set>
#include <string>

namespace galenarudder::replay {

enum class claim_result
{
    claimed,
    /// An earlier call has claimed the key.
    taken,
    /// The store is down; nothing was recorded.
    unavailable
};

struct claim_reply
{
    claim_result result{};
    double duration_ms = 0;
};

class fake_store
{
public:
    void apply(const store_event& event);
    /// Claims \p key. The result is to take effect after the reply's duration.
    claim_reply claim(const std::string& key);

private:
    static constexpr double normal_duration_ms = 2;

    bool up_ = true;
    bool lose_next_answer_ = false;
    double added_delay_ms_ = 0;
    std::set<std::string> claimed_keys_;
};

} // namespace galenarudder::replay
