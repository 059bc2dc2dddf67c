/// \file
/// Strategies that choose one upstream among a service's candidates.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/routing/upstream_state.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace galenarudder::routing {

/// One upstream of a service as seen by this entry.
struct candidate
{
    support::member_id member;
    std::string domain;
    std::uint32_t slots = 0;
    std::shared_ptr<upstream_state> state;
    config::endpoint link;
    /// Whether it is in this entry's failure domain.
    bool local = false;
};

/// What a strategy may look at.
struct pick_context
{
    support::time_point now;
    std::string_view own_domain;
    /// Position of the call's rank, 0 for the most urgent.
    std::size_t rank = 0;
    std::size_t samples = 2;
    double slow_start_ms = 0;
    /// Counts the picks of this service, for strategies that take turns.
    std::atomic<std::uint64_t>* turn = nullptr;
};

/// Chooses by its own rule; holds no state of a call, safe from several
/// threads.
class pick_strategy
{
public:
    virtual ~pick_strategy() = default;
    /// Returns a position in \p candidates, which is not empty. The strategy
    /// may reorder them first.
    virtual std::size_t pick(std::span<const candidate*> candidates,
                             const pick_context& context,
                             support::random_engine& random) const = 0;
};

/// Returns the strategy of that name, or the product's own when the name is
/// empty, or null when there is none of that name.
const pick_strategy* find_strategy(std::string_view name);

/// The names that find_strategy knows; the product's own comes first.
std::span<const std::string_view> strategy_names();

} // namespace galenarudder::routing
