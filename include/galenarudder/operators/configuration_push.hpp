/// \file
/// Pushes an accepted configuration to some daemons directly, so that it
/// spreads even if the store fails right after the change was accepted.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace galenarudder::operators {

/// What is needed of a member to select the daemons that receive a push.
struct receiver
{
    std::string domain;
    /// Address of the member's operator port.
    config::endpoint operators;
};

/// Number of daemons in each failure domain that receive the document.
inline constexpr std::size_t receivers_per_domain = 2;

/// Returns the operator ports of the first \c receivers_per_domain members of
/// each failure domain.
std::vector<config::endpoint>
select_receivers(std::span<const receiver> members);

/// Sends \p accepted, signed with \p key, to each of \p receivers. Returns the
/// number of daemons that accepted it.
std::size_t push_configuration(const config::document& accepted,
                               std::span<const config::endpoint> receivers,
                               const config::shared_key& key,
                               support::duration timeout);

} // namespace galenarudder::operators
