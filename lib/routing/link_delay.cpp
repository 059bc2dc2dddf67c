// Follows a low percentile: down at once, up slowly.
#include "galenarudder/routing/upstream_state.hpp"

namespace galenarudder::routing {

void link_delay::on_latency(support::duration latency)
{
    constexpr double share_down = 0.2;
    constexpr double share_up = 0.01;
    const double sample = support::to_ms(latency);
    const double before = floor_ms.load(std::memory_order_relaxed);
    if (before < 0) {
        floor_ms.store(sample, std::memory_order_relaxed);
        return;
    }
    blend(floor_ms, sample, sample < before ? share_down : share_up);
}

} // namespace galenarudder::routing
