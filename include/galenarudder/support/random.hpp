/// \file
/// Random numbers for the state machines, which receive the engine from
/// outside so that the same seed gives the same decisions.
#pragma once

#include <cstdint>
#include <random>

namespace galenarudder::support {

using random_engine = std::mt19937_64;

/// Returns a uniform integer in [0, bound). \p bound must be positive.
inline std::uint64_t uniform_below(random_engine& engine, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

/// Returns a uniform real in [0, 1).
inline double uniform_unit(random_engine& engine)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

} // namespace galenarudder::support
