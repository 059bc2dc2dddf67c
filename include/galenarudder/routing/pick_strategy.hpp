/// \file
/// Strategies that pick one upstream among a service's candidates.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/routing/crossing.hpp"
#include "galenarudder/routing/upstream_state.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace galenarudder::routing {

/// An upstream of a service, as seen by this entry.
struct candidate
{
    support::member_id member;
    std::string domain;
    std::uint32_t slots = 0;
    std::shared_ptr<upstream_state> state;
    /// Where the upstream's gate accepts links.
    config::endpoint link_endpoint;
    /// How far the upstream is from this entry.
    distance length = distance::same_region;
    /// Region of the upstream; empty if its domain has none.
    std::string region;
};

/// Inputs of a strategy beside the candidates.
struct pick_context
{
    support::time_point now;
    std::string_view own_domain;
    /// Position of the call's rank, 0 for the most urgent.
    std::size_t rank = 0;
    /// Candidates to compare.
    std::size_t samples = 2;
    double slow_start_ms = 0;
    /// Picks of this service made by strategies that rotate.
    std::atomic<std::uint64_t>* rotation_count = nullptr;
};

/// A rule for picking an upstream. Implementations keep no state per call and
/// are thread-safe.
class pick_strategy
{
public:
    virtual ~pick_strategy() = default;
    /// Returns the position of the picked upstream in \p candidates, which is
    /// not empty. The strategy may reorder the candidates.
    virtual std::size_t pick(std::span<const candidate*> candidates,
                             const pick_context& context,
                             support::random_engine& random) const = 0;
};

/// Returns the strategy \p name, the default strategy for an empty name, or
/// null when there is no such strategy.
const pick_strategy* find_strategy(std::string_view name);

/// Returns the names of all strategies, the default first.
std::span<const std::string_view> strategy_names();

} // namespace galenarudder::routing
