// A token bucket whose rate may change.
#include "galenarudder/admission/rate_limit.hpp"

#include <algorithm>

namespace galenarudder::admission {

double rate_limit::rate() const
{
    return std::max(*stated_, min_calls_per_s);
}

double rate_limit::balance(support::time_point now) const
{
    constexpr double ms_per_s = 1000;
    const double elapsed_s =
        std::max(0.0, support::to_ms(now - counted_at_)) / ms_per_s;
    const double burst = std::max(1.0, rate() * burst_s);
    return std::min(burst, balance_ + elapsed_s * rate());
}

void rate_limit::set(std::optional<double> calls_per_s, support::time_point now)
{
    // A new limit starts without savings: calls have started until now.
    balance_ = stated_ ? balance(now) : 0;
    counted_at_ = now;
    stated_ = calls_per_s;
}

support::duration rate_limit::wait(std::size_t ahead,
                                   support::time_point now) const
{
    if (!stated_)
        return support::duration(0);
    constexpr double ms_per_s = 1000;
    const double missing = static_cast<double>(ahead + 1) - balance(now);
    return support::from_ms(std::max(0.0, missing) / rate() * ms_per_s);
}

void rate_limit::on_start(support::time_point now)
{
    if (!stated_)
        return;
    balance_ = balance(now) - 1;
    counted_at_ = now;
}

} // namespace galenarudder::admission
