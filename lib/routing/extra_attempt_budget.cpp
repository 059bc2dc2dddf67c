// A token bucket whose balance is one atomic integer.
#include "galenarudder/routing/extra_attempt_budget.hpp"

#include <algorithm>

namespace galenarudder::routing {

void extra_attempt_budget::deposit(double share, double max_tokens)
{
    const auto deposited = static_cast<std::int64_t>(share * units_per_token);
    const auto max_balance =
        static_cast<std::int64_t>(max_tokens * units_per_token);
    std::int64_t balance = balance_.load(std::memory_order_relaxed);
    std::int64_t new_balance = 0;
    do {
        new_balance = std::min(balance + deposited, max_balance);
    } while (!balance_.compare_exchange_weak(balance, new_balance,
                                             std::memory_order_relaxed));
}

bool extra_attempt_budget::try_take()
{
    std::int64_t balance = balance_.load(std::memory_order_relaxed);
    do {
        if (balance < units_per_token)
            return false;
    } while (!balance_.compare_exchange_weak(balance, balance - units_per_token,
                                             std::memory_order_relaxed));
    return true;
}

bool extra_attempt_budget::available() const
{
    return balance_.load(std::memory_order_relaxed) >= units_per_token;
}

} // namespace galenarudder::routing
