// The strategies and the table of their names.
#include "galenarudder/routing/pick_strategy.hpp"

#include "galenarudder/routing/estimate.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>

namespace galenarudder::routing {

namespace {

std::uint32_t outstanding(const candidate& upstream)
{
    return upstream.state->outstanding.load(std::memory_order_relaxed);
}

/// Derives several small numbers from one number of the engine. The engine
/// refills its state every few hundred numbers, which would otherwise show in
/// the duration of picks.
class index_generator
{
public:
    explicit index_generator(support::random_engine& random) : state_(random())
    {
    }

    /// Returns a number in [0, bound). \p bound must fit in 32 bits.
    std::size_t below(std::size_t bound)
    {
        constexpr std::uint64_t multiplier = 6364136223846793005ULL;
        constexpr std::uint64_t increment = 1442695040888963407ULL;
        constexpr unsigned half_bits = 32;
        state_ = state_ * multiplier + increment;
        return static_cast<std::size_t>(((state_ >> half_bits) * bound) >>
                                        half_bits);
    }

private:
    std::uint64_t state_;
};

/// The default strategy: samples a few candidates and picks the one with the
/// lowest expected completion time.
class expected_completion final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context& context,
                     support::random_engine& random) const override
    {
        const std::size_t samples =
            std::clamp<std::size_t>(context.samples, 1, candidates.size());
        index_generator indices(random);
        std::size_t best = 0;
        double lowest_cost_ms = std::numeric_limits<double>::max();
        for (std::size_t position = 0; position < samples; ++position) {
            const std::size_t sampled =
                position + indices.below(candidates.size() - position);
            std::swap(candidates[position], candidates[sampled]);
            const double cost_ms = cost_ms_of(*candidates[position], context);
            if (cost_ms >= lowest_cost_ms)
                continue;
            lowest_cost_ms = cost_ms;
            best = position;
        }
        return best;
    }

private:
    static double cost_ms_of(const candidate& upstream,
                             const pick_context& context)
    {
        const estimate_inputs inputs{context.now, context.rank, upstream.slots,
                                     context.slow_start_ms};
        return expected_completion_ms(*upstream.state, inputs);
    }
};

/// Picks any candidate with equal probability.
class random_pick final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context&,
                     support::random_engine& random) const override
    {
        return support::uniform_below(random, candidates.size());
    }
};

/// Picks the candidates in rotation.
class round_robin final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context& context,
                     support::random_engine&) const override
    {
        assert(context.rotation_count != nullptr &&
               "round_robin needs a counter of picks");
        const std::uint64_t previous_picks =
            context.rotation_count->fetch_add(1, std::memory_order_relaxed);
        return previous_picks % candidates.size();
    }
};

/// Picks a candidate with the fewest outstanding calls of this entry.
class least_outstanding final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context&,
                     support::random_engine& random) const override
    {
        // A random start distributes calls among upstreams with equal counts.
        const std::size_t offset =
            support::uniform_below(random, candidates.size());
        std::size_t best = offset;
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const std::size_t position = (offset + step) % candidates.size();
            if (outstanding(*candidates[position]) <
                outstanding(*candidates[best]))
                best = position;
        }
        return best;
    }
};

/// Draws two candidates and picks the one with fewer outstanding calls of this
/// entry.
class power_of_two final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context&,
                     support::random_engine& random) const override
    {
        const std::size_t first =
            support::uniform_below(random, candidates.size());
        const std::size_t second =
            support::uniform_below(random, candidates.size());
        const bool second_has_fewer =
            outstanding(*candidates[second]) < outstanding(*candidates[first]);
        return second_has_fewer ? second : first;
    }
};

const expected_completion the_expected_completion;
const random_pick the_random;
const round_robin the_round_robin;
const least_outstanding the_least_outstanding;
const power_of_two the_power_of_two;

constexpr std::array<std::string_view, 5> names = {
    "expected_completion", "random", "round_robin", "least_outstanding",
    "power_of_two"};

const std::array<const pick_strategy*, names.size()> strategies = {
    &the_expected_completion, &the_random, &the_round_robin,
    &the_least_outstanding, &the_power_of_two};

} // namespace

const pick_strategy* find_strategy(std::string_view name)
{
    if (name.empty())
        return strategies.front();
    for (std::size_t position = 0; position < names.size(); ++position) {
        if (names.at(position) == name)
            return strategies.at(position);
    }
    return nullptr;
}

std::span<const std::string_view> strategy_names()
{
    return names;
}

} // namespace galenarudder::routing
