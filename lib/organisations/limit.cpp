// Limits, and the estimate of demand.
#include "galenarudder/organisations/limit.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace galenarudder::organisations {

namespace {

double seconds(support::duration interval)
{
    return support::to_ms(interval) / 1000;
}

} // namespace

organisation_hash hash_of(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

limit make_limit(double calls_per_s,
                 double burst,
                 const tolerance& allowed,
                 support::time_point since)
{
    // The rest of the tolerance covers the tokens that entries hold and views
    // of the fleet that differ for a moment.
    constexpr double bucket_part = 0.6;
    // A smaller bucket would lose tokens between two requests.
    constexpr double min_capacity = 2;
    const double tolerated =
        allowed.overrun_calls +
        allowed.overrun_share *
            (calls_per_s * seconds(allowed.window) + burst) -
        calls_per_s * seconds(token_lifetime);
    return {
        calls_per_s,
        std::max(min_capacity, burst + bucket_part * std::max(0.0, tolerated)),
        since};
}

std::size_t share_count(const limit& in_force, std::size_t known)
{
    // Few shares keep the number of polls for a small organisation low; with
    // 16, the death of a member withholds 6% of the rate.
    constexpr double min_shares = 16;
    const double shares = std::max(min_shares, in_force.calls_per_s);
    return shares >= static_cast<double>(known)
               ? known
               : static_cast<std::size_t>(shares);
}

void demand_estimate::add(double events, support::time_point now)
{
    value_ = per_s(now) + events;
    updated_at_ = now;
}

double demand_estimate::per_s(support::time_point now) const
{
    return value_ * std::exp(-seconds(now - updated_at_));
}

} // namespace galenarudder::organisations
