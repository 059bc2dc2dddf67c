/// \file
/// Estimates for how long messages of a peer waited on their way.
#pragma once

#include "galenarudder/support/time.hpp"

#include <optional>

namespace galenarudder::link {

/// The clocks of two daemons have different epochs, so the time that a message
/// took is not known. The difference between the time of receipt and the stated
/// time of sending is smallest for a message that did not wait; what exceeds
/// the smallest recent difference is the time for which a message waited: in
/// the sender, on the connection, or in this process.
class transit_estimate
{
public:
    /// Returns for how long a message waited that was sent at \p sent_at by the
    /// peer's boot clock, and handled at \p now by this VM's boot clock.
    support::duration on_message(support::time_point sent_at,
                                 support::time_point now);

    /// The smallest difference is sought in one to two windows, so that a drift
    /// of the clocks does not add up.
    static constexpr support::milliseconds window{10'000};

private:
    std::optional<support::duration> previous_;
    std::optional<support::duration> smallest_;
    support::time_point window_begin_{};
};

} // namespace galenarudder::link
