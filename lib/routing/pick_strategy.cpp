// The strategies and the table that finds them by name.
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

/// Several small numbers out of one draw of the engine, whose refills every
/// few hundred draws would otherwise show in the time of a pick.
class draw
{
public:
    explicit draw(support::random_engine& random) : state_(random()) {}

    /// Returns a number in [0, bound); \p bound fits 32 bits.
    std::size_t below(std::size_t bound)
    {
        constexpr std::uint64_t multiplier = 6364136223846793005ULL;
        constexpr std::uint64_t increment = 1442695040888963407ULL;
        constexpr unsigned half = 32;
        state_ = state_ * multiplier + increment;
        return static_cast<std::size_t>(((state_ >> half) * bound) >> half);
    }

private:
    std::uint64_t state_;
};

/// The product's own: the least expected completion among a few sampled
/// candidates.
class expected_completion final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context& context,
                     support::random_engine& random) const override
    {
        const std::size_t samples =
            std::clamp<std::size_t>(context.samples, 1, candidates.size());
        draw numbers(random);
        std::size_t best = 0;
        double least = std::numeric_limits<double>::max();
        for (std::size_t drawn = 0; drawn < samples; ++drawn) {
            const std::size_t other =
                drawn + numbers.below(candidates.size() - drawn);
            std::swap(candidates[drawn], candidates[other]);
            const double cost = cost_of(*candidates[drawn], context);
            if (cost >= least)
                continue;
            least = cost;
            best = drawn;
        }
        return best;
    }

private:
    static double cost_of(const candidate& upstream,
                          const pick_context& context)
    {
        const estimate_terms terms{context.now, context.rank, upstream.slots,
                                   context.slow_start_ms};
        return expected_ms(*upstream.state, terms);
    }
};

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

class round_robin final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context& context,
                     support::random_engine&) const override
    {
        assert(context.turn != nullptr && "turns need a counter");
        const std::uint64_t turn =
            context.turn->fetch_add(1, std::memory_order_relaxed);
        return turn % candidates.size();
    }
};

class least_outstanding final : public pick_strategy
{
public:
    std::size_t pick(std::span<const candidate*> candidates,
                     const pick_context&,
                     support::random_engine& random) const override
    {
        // Starts anywhere, so that equal upstreams share the work.
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
        const bool second_is_freer =
            outstanding(*candidates[second]) < outstanding(*candidates[first]);
        return second_is_freer ? second : first;
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
