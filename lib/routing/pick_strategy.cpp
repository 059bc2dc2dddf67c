// The strategies and the table that finds them by name.
#include "galenarudder/routing/pick_strategy.hpp"

#include <array>

namespace galenarudder::routing {

namespace {

std::uint32_t outstanding(const candidate& upstream)
{
    return upstream.state->outstanding.load(std::memory_order_relaxed);
}

class random_pick final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate* const> candidates,
                     const pick_context&,
                     support::random_engine& random) const override
    {
        return support::uniform_below(random, candidates.size());
    }
};

class power_of_two final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate* const> candidates,
                     const pick_context&,
                     support::random_engine& random) const override
    {
        const std::size_t first =
            support::uniform_below(random, candidates.size());
        const std::size_t second =
            support::uniform_below(random, candidates.size());
        const bool second_is_freer =
            outstanding(*candidates[second]) < outstanding(*candidates[first]);
        return second_is_freer ? second : first;
    }
};

const random_pick the_random;
const power_of_two the_power_of_two;

struct strategy_row
{
    std::string_view name;
    const pick_strategy* strategy;
};

constexpr std::array<std::string_view, 2> names = {"random", "power_of_two"};

const std::array<strategy_row, 2> strategies = {{
    {names[0], &the_random},
    {names[1], &the_power_of_two},
}};

} // namespace

const pick_strategy* find_strategy(std::string_view name)
{
    if (name.empty())
        return &the_power_of_two;
    for (const strategy_row& row : strategies) {
        if (row.name == name)
            return row.strategy;
    }
    return nullptr;
}

std::span<const std::string_view> strategy_names()
{
    return names;
}

} // namespace galenarudder::routing
