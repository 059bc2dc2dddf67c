/// \file
/// Exponential backoff with jitter between retries.
#pragma once

#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::store {

struct backoff_limits
{
    /// Upper bound of the delay after the first failure; doubles with each
    /// further one.
    support::duration first = support::milliseconds(200);
    support::duration longest = support::milliseconds(10000);
};

/// Returns a random delay between 50% and 100% of the exponential delay, which
/// is limits.first doubled \p earlier_failures times and at most
/// limits.longest.
support::duration backoff(const backoff_limits& limits,
                          unsigned earlier_failures,
                          support::random_engine& random);

} // namespace galenarudder::store
