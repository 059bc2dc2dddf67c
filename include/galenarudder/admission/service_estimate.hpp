/// \file
/// Estimates of the upstream's service times.
#pragma once

#include "galenarudder/support/time.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace galenarudder::admission {

/// Estimates of service times: recent means and the time without contention,
/// per rank.
class service_estimate
{
public:
    /// Records the service time of an answered call and returns its ratio to
    /// the rank's mean service time without contention.
    double record(std::string_view rank, double service_ms);
    /// Recent mean over all ranks in milliseconds; 0 before the first answer.
    double mean_ms() const { return overall_ms_; }
    /// Recent mean of \p rank in milliseconds; the mean over all ranks until
    /// the rank has an answer.
    double mean_ms(std::string_view rank) const;

private:
    struct rank_times
    {
        double mean_ms = 0;
        /// Mean over more calls than \c mean_ms.
        double long_mean_ms = 0;
        /// Slowly rising minimum of \c long_mean_ms; the estimate of the
        /// service time without contention.
        double floor_ms = 0;
    };

    double overall_ms_ = 0;
    std::map<std::string, rank_times, std::less<>> ranks_;
};

} // namespace galenarudder::admission
