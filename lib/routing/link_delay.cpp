// The estimate follows low samples quickly and high samples slowly, so that it
// stays near a low percentile.
#include "galenarudder/routing/upstream_state.hpp"

#include <algorithm>

namespace galenarudder::routing {

void link_delay::record_round_trip(support::duration round_trip)
{
    constexpr double weight_down = 0.2;
    constexpr double weight_up = 0.01;
    const double sample = std::max(0.0, support::to_ms(round_trip));
    const double previous = floor_ms.load(std::memory_order_relaxed);
    if (previous < 0) {
        floor_ms.store(sample, std::memory_order_relaxed);
        return;
    }
    update_average(floor_ms, sample,
                   sample < previous ? weight_down : weight_up);
}

} // namespace galenarudder::routing
