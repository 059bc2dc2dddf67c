// Exponential means; the first sample sets them.
#include "galenarudder/admission/service_estimate.hpp"

#include <algorithm>

namespace galenarudder::admission {

namespace {

constexpr double mean_weight = 0.1;
constexpr double smooth_weight = 0.02;
/// Part of the gap that the floor rises with each sample.
constexpr double floor_rise = 0.0005;
constexpr double least_floor_ms = 0.001;

void move_toward(double& mean, double sample, double weight)
{
    mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

} // namespace

double service_estimate::add(std::string_view rank, double service_ms)
{
    const double sample = std::max(service_ms, least_floor_ms);
    move_toward(overall_ms_, sample, mean_weight);
    auto found = ranks_.find(rank);
    if (found == ranks_.end())
        found = ranks_.emplace(std::string(rank), rank_times{}).first;
    rank_times& times = found->second;
    move_toward(times.mean_ms, sample, mean_weight);
    move_toward(times.smooth_ms, sample, smooth_weight);
    move_toward(times.floor_ms, times.smooth_ms, floor_rise);
    times.floor_ms = std::min(times.floor_ms, times.smooth_ms);
    return sample / times.floor_ms;
}

double service_estimate::mean_ms(std::string_view rank) const
{
    const auto found = ranks_.find(rank);
    return found == ranks_.end() ? overall_ms_ : found->second.mean_ms;
}

} // namespace galenarudder::admission
