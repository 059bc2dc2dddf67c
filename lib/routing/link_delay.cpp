// Follows a low percentile: down at once, up slowly.
#include "galenarudder/routing/upstream_state.hpp"

#include <algorithm>

namespace galenarudder::routing {

void link_delay::on_trip(support::duration trip)
{
    constexpr double share_down = 0.2;
    constexpr double share_up = 0.01;
    const double sample = std::max(0.0, support::to_ms(trip));
    const double before = floor_ms.load(std::memory_order_relaxed);
    if (before < 0) {
        floor_ms.store(sample, std::memory_order_relaxed);
        return;
    }
    blend(floor_ms, sample, sample < before ? share_down : share_up);
}

} // namespace galenarudder::routing
