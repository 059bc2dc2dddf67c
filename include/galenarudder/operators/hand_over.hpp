/// \file
/// Hands an accepted configuration to daemons directly, so that an outage of
/// the store right after the acceptance does not matter.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace galenarudder::operators {

/// A member as far as choosing receivers goes.
struct receiver
{
    std::string domain;
    config::endpoint operators;
};

/// Daemons of one failure domain that get a document.
inline constexpr std::size_t receivers_per_domain = 2;

/// Chooses the first \c receivers_per_domain members of each failure domain.
std::vector<config::endpoint>
choose_receivers(std::span<const receiver> members);

/// Hands \p accepted to each of \p to, signed; returns how many took it.
std::size_t hand_over(const config::document& accepted,
                      std::span<const config::endpoint> to,
                      const config::shared_key& key,
                      support::duration timeout);

} // namespace galenarudder::operators
