/// \file
/// What the gate knows about the upstream's service times.
#pragma once

#include "galenarudder/support/time.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace galenarudder::admission {

/// Recent service times by rank, in milliseconds.
class service_estimate
{
public:
    /// Takes the service time of an answered call; returns how many times
    /// longer it was than the rank's uncontended mean.
    double add(std::string_view rank, double service_ms);
    /// Recent mean over all ranks; 0 before the first answer.
    double mean_ms() const { return overall_ms_; }
    /// Recent mean of one rank; the overall mean while the rank has none.
    double mean_ms(std::string_view rank) const;

private:
    struct rank_times
    {
        double mean_ms = 0;
        /// Mean over a longer span, whose slowly rising minimum stands for
        /// service without contention.
        double smooth_ms = 0;
        double floor_ms = 0;
    };

    double overall_ms_ = 0;
    std::map<std::string, rank_times, std::less<>> ranks_;
};

} // namespace galenarudder::admission
