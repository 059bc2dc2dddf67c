/// \file
/// Claims of idempotency keys at a store that can be down, slow or lose an
/// answer.
#pragma once

#include "trace.hpp"

#include <optional>
#include <set>
#include <string>

namespace galenarudder::replay {

enum class claim_result
{
    claimed,
    taken,
    unavailable
};

struct claim_answer
{
    claim_result result{};
    double took_ms = 0;
};

class fake_store
{
public:
    void apply(const store_event& event);
    claim_answer claim(const std::string& key);

private:
    static constexpr double usual_ms = 2;

    bool up_ = true;
    bool lose_next_ = false;
    double delay_ms_ = 0;
    std::set<std::string> claimed_;
};

} // namespace galenarudder::replay
