// Exponential moving averages that start at the first sample.
#include "galenarudder/admission/service_estimate.hpp"

#include <algorithm>

namespace galenarudder::admission {

namespace {

constexpr double mean_weight = 0.1;
constexpr double long_mean_weight = 0.02;
/// Weight with which each sample raises the floor toward the long mean.
constexpr double floor_weight = 0.0005;
constexpr double min_service_ms = 0.001;

void update_mean(double& mean, double sample, double weight)
{
    mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

} // namespace

double service_estimate::record(std::string_view rank, double service_ms)
{
    const double sample = std::max(service_ms, min_service_ms);
    update_mean(overall_ms_, sample, mean_weight);
    auto found = ranks_.find(rank);
    if (found == ranks_.end())
        found = ranks_.emplace(std::string(rank), rank_times{}).first;
    rank_times& times = found->second;
    update_mean(times.mean_ms, sample, mean_weight);
    update_mean(times.long_mean_ms, sample, long_mean_weight);
    update_mean(times.floor_ms, times.long_mean_ms, floor_weight);
    times.floor_ms = std::min(times.floor_ms, times.long_mean_ms);
    return sample / times.floor_ms;
}

double service_estimate::mean_ms(std::string_view rank) const
{
    const auto found = ranks_.find(rank);
    return found == ranks_.end() ? overall_ms_ : found->second.mean_ms;
}

} // namespace galenarudder::admission
