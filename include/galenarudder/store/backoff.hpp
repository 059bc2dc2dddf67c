/// \file
/// Delays between retries: exponential with full jitter.
#pragma once

#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

namespace galenarudder::store {

struct backoff_limits
{
    support::duration first = support::milliseconds(200);
    support::duration longest = support::milliseconds(10000);
};

/// Returns a random delay between half and the whole of the exponential delay
/// after \p failures failures in a row.
support::duration backoff(const backoff_limits& limits,
                          unsigned failures,
                          support::random_engine& random);

} // namespace galenarudder::store
