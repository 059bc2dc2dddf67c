// Lookup of services and the choice of subsets of large services.
#include "galenarudder/routing/fleet_view.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>

namespace galenarudder::routing {

using config::automation;
using config::limit;

namespace {

std::uint64_t rendezvous_hash(std::string_view own_member,
                              std::string_view upstream_member)
{
    const std::uint64_t seed =
        XXH3_64bits(own_member.data(), own_member.size());
    return XXH3_64bits_withSeed(upstream_member.data(), upstream_member.size(),
                                seed);
}

struct hashed_candidate
{
    std::uint64_t hash = 0;
    candidate upstream;
};

} // namespace

routing_limits limits_of(const config::configuration& in_force)
{
    routing_limits limits;
    limits.samples =
        static_cast<std::size_t>(in_force.value(limit::pick_samples));
    limits.slow_start_ms = in_force.value(limit::slow_start_ms);
    // The three shares each limit one automation. While it is in mode
    // automatic, it may go up to the loosest value within the bounds of the
    // base document.
    limits.eject_share = in_force.automation_limit(limit::eject_share);
    limits.eject_error_rate = in_force.value(limit::eject_error_rate);
    limits.eject_ms = in_force.value(limit::eject_ms);
    limits.retry_share = in_force.automation_limit(limit::retry_share);
    limits.hedge_share = in_force.automation_limit(limit::hedge_share);
    limits.hedge_percentile = in_force.value(limit::hedge_percentile);
    limits.eject_mode = in_force.mode(automation::eject);
    limits.reroute_mode = in_force.mode(automation::reroute);
    limits.retry_mode = in_force.mode(automation::retry);
    limits.hedge_mode = in_force.mode(automation::hedge);
    limits.cold_mode = in_force.mode(automation::cold_admission);
    limits.leave_share = in_force.automation_limit(limit::leave_share);
    return limits;
}

const service_view* fleet_view::find(std::string_view name) const
{
    const auto found =
        std::lower_bound(services.begin(), services.end(), name,
                         [](const std::shared_ptr<const service_view>& service,
                            std::string_view wanted_name) {
                             return service->state->name < wanted_name;
                         });
    if (found == services.end() || (*found)->state->name != name)
        return nullptr;
    return found->get();
}

std::vector<candidate> select_subset(std::vector<candidate> all,
                                     std::string_view own_member,
                                     std::size_t subset_size)
{
    const std::size_t size =
        std::clamp<std::size_t>(subset_size, 1, max_candidates);
    if (all.size() <= size)
        return all;
    std::map<std::string, std::vector<hashed_candidate>> by_domain;
    for (candidate& upstream : all) {
        const std::uint64_t hash = rendezvous_hash(own_member, upstream.member);
        auto& domain_candidates = by_domain[upstream.domain];
        domain_candidates.push_back({hash, std::move(upstream)});
    }
    std::size_t largest_domain = 0;
    for (auto& [domain, domain_candidates] : by_domain) {
        std::sort(
            domain_candidates.begin(), domain_candidates.end(),
            [](const hashed_candidate& left, const hashed_candidate& right) {
                return left.hash < right.hash;
            });
        largest_domain = std::max(largest_domain, domain_candidates.size());
    }
    std::vector<candidate> subset;
    for (std::size_t position = 0; position < largest_domain; ++position) {
        for (auto& [domain, domain_candidates] : by_domain) {
            if (position < domain_candidates.size() && subset.size() < size)
                subset.push_back(
                    std::move(domain_candidates[position].upstream));
        }
    }
    return subset;
}

std::vector<candidate> select_near_subset(std::vector<candidate> all,
                                          std::string_view own_member,
                                          std::size_t subset_size)
{
    const std::size_t size =
        std::clamp<std::size_t>(subset_size, 1, max_candidates);
    if (all.size() <= size)
        return all;
    std::array<std::vector<candidate>, distance_count> by_distance;
    for (candidate& upstream : all) {
        const auto index = static_cast<std::size_t>(upstream.length);
        by_distance.at(index).push_back(std::move(upstream));
    }
    std::size_t farther = 0;
    for (const std::vector<candidate>& group : by_distance)
        farther += group.size();
    std::vector<candidate> subset;
    for (std::vector<candidate>& group : by_distance) {
        farther -= group.size();
        const std::size_t left = size - subset.size();
        // Places that farther upstreams cannot fill go to the nearer ones.
        const std::size_t places =
            std::max((left + 1) / 2, left - std::min(left, farther));
        if (group.empty())
            continue;
        if (places == 0)
            break;
        for (candidate& upstream :
             select_subset(std::move(group), own_member, places))
            subset.push_back(std::move(upstream));
    }
    return subset;
}

} // namespace galenarudder::routing
