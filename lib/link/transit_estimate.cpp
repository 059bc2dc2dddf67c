// Keeps the smallest difference of the current window and of the one before.
#include "galenarudder/link/transit_estimate.hpp"

#include <algorithm>

namespace galenarudder::link {

support::duration transit_estimate::on_message(support::time_point sent_at,
                                               support::time_point now)
{
    const support::duration difference = now - sent_at;
    if (now - window_begin_ >= window) {
        previous_ = smallest_;
        smallest_.reset();
        window_begin_ = now;
    }
    smallest_ = std::min(smallest_.value_or(difference), difference);
    const support::duration base =
        std::min(*smallest_, previous_.value_or(*smallest_));
    return difference - base;
}

} // namespace galenarudder::link
