// Token balance kept in one atomic integer.
#include "galenarudder/routing/budget.hpp"

#include <algorithm>

namespace galenarudder::routing {

void budget::deposit(double share, double most)
{
    const auto added = static_cast<std::int64_t>(share * token);
    const auto bound = static_cast<std::int64_t>(most * token);
    std::int64_t now = balance_.load(std::memory_order_relaxed);
    std::int64_t next = 0;
    do {
        next = std::min(now + added, bound);
    } while (
        !balance_.compare_exchange_weak(now, next, std::memory_order_relaxed));
}

bool budget::take()
{
    std::int64_t now = balance_.load(std::memory_order_relaxed);
    do {
        if (now < token)
            return false;
    } while (!balance_.compare_exchange_weak(now, now - token,
                                             std::memory_order_relaxed));
    return true;
}

bool budget::available() const
{
    return balance_.load(std::memory_order_relaxed) >= token;
}

} // namespace galenarudder::routing
