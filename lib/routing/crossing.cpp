// The decision works on lateness instead of latency: within its goal a call
// gains nothing by being answered earlier, while its bytes still cost.
#include "galenarudder/routing/crossing.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::routing {

namespace {

/// A call that is expected to take this share of its goal is taken to be in
/// time. Service times vary by about their mean, and work takes several times
/// as long while an upstream's VM is busy with other work.
constexpr double safe_share_of_goal = 0.5;
/// Share of the goal over which the risk rises from 0 to 1.
constexpr double risk_width = 1.0;
/// Weight of one call in the share of calls that gain by leaving.
constexpr double wanted_weight = 0.1;
/// A call may leave although none did recently, so that a sudden shortage is
/// met, and more may than did, so that the share can grow.
constexpr double first_share = 0.1;
constexpr double share_growth = 2;
constexpr double bytes_per_mb = 1e6;

constexpr std::array<std::string_view, distance_count> distance_names = {
    "same_domain", "same_region", "other_region"};
constexpr std::array<std::string_view, crossing_reason_count> reason_names = {
    "none", "no_nearer_upstream", "deadline", "gain", "held_back"};

} // namespace

std::string_view to_string(distance length)
{
    return distance_names.at(static_cast<std::size_t>(length));
}

std::string_view to_string(crossing_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

bool crossing_settings::enabled() const
{
    return std::any_of(calls_per_mb.begin(), calls_per_mb.end(),
                       [](double price) { return price > 0; });
}

std::string crossing_settings::region_of(const std::string& domain) const
{
    const auto listed = domain_regions.find(domain);
    return listed == domain_regions.end() ? std::string() : listed->second;
}

distance crossing_settings::distance_to(const std::string& domain) const
{
    if (domain == own_domain)
        return distance::same_domain;
    const auto own_region = domain_regions.find(own_domain);
    const auto region = domain_regions.find(domain);
    const bool other = own_region != domain_regions.end() &&
                       region != domain_regions.end() &&
                       own_region->second != region->second;
    return other ? distance::other_region : distance::same_region;
}

double lateness_risk(double completion_ms, double goal_ms)
{
    if (std::isinf(completion_ms))
        return 1;
    if (std::isinf(goal_ms))
        return 0;
    if (goal_ms <= 0)
        return 1;
    return std::clamp(
        (completion_ms / goal_ms - safe_share_of_goal) / risk_width, 0.0, 1.0);
}

crossing_choice choose_distance(const crossing_inputs& inputs,
                                const crossing_settings& settings)
{
    // A call that is late already is judged by what is left until its deadline.
    const double goal_ms =
        inputs.goal_ms > 0 ? inputs.goal_ms : inputs.deadline_ms;
    // Each refusal makes the estimates of the near upstreams less credible.
    const double mb =
        inputs.bytes / bytes_per_mb / static_cast<double>(1 + inputs.tried);
    crossing_choice best;
    bool found = false;
    double best_loss = 0;
    double best_completion_ms = crossing_inputs::no_upstream;
    for (std::size_t index = 0; index < distance_count; ++index) {
        const double completion_ms = inputs.completion_ms.at(index);
        if (std::isinf(completion_ms))
            continue;
        const auto candidate = static_cast<distance>(index);
        const double price = settings.calls_per_mb.at(index) * mb;
        const double loss = lateness_risk(completion_ms, goal_ms) + price;
        if (!found) {
            best = {candidate, index == 0
                                   ? crossing_reason::none
                                   : crossing_reason::no_nearer_upstream};
        } else if (best_completion_ms > inputs.deadline_ms &&
                   completion_ms <= inputs.deadline_ms) {
            best = {candidate, crossing_reason::deadline};
        } else if (loss < best_loss) {
            best = {candidate, crossing_reason::gain};
        } else {
            continue;
        }
        found = true;
        best_loss = loss;
        best_completion_ms = completion_ms;
    }
    return best;
}

bool crossing_share::permit(double max_share, double unit_random)
{
    const double before = wanted();
    wanted_.store(before + wanted_weight * (1 - before),
                  std::memory_order_relaxed);
    return unit_random <
           std::min(max_share, first_share + share_growth * before);
}

void crossing_share::on_stayed()
{
    const double before = wanted();
    wanted_.store(before * (1 - wanted_weight), std::memory_order_relaxed);
}

} // namespace galenarudder::routing
