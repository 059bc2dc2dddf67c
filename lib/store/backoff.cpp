// Exponential backoff; the jitter keeps daemons from retrying in step.
#include "galenarudder/store/backoff.hpp"

#include <algorithm>
#include <cstdint>

namespace galenarudder::store {

support::duration backoff(const backoff_limits& limits,
                          unsigned earlier_failures,
                          support::random_engine& random)
{
    constexpr unsigned max_doublings = 20;
    const unsigned doublings = std::min(earlier_failures, max_doublings);
    const support::duration max_delay =
        std::min(limits.longest, limits.first * (std::int64_t{1} << doublings));
    const double jitter_factor = 0.5 + 0.5 * support::uniform_unit(random);
    return support::from_ms(support::to_ms(max_delay) * jitter_factor);
}

} // namespace galenarudder::store
