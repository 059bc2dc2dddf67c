// Counts consecutive failures.
#include "galenarudder/store/reachability.hpp"

namespace galenarudder::store {

std::optional<reachability_change>
reachability::on_call(bool succeeded, support::time_point now)
{
    const bool was_lost = consecutive_failures_ >= failures_until_lost;
    if (!succeeded) {
        if (consecutive_failures_ == 0)
            failing_since_ = now;
        ++consecutive_failures_;
        if (consecutive_failures_ != failures_until_lost)
            return std::nullopt;
        return reachability_change{};
    }
    consecutive_failures_ = 0;
    if (!was_lost)
        return std::nullopt;
    return reachability_change{true, now - failing_since_};
}

} // namespace galenarudder::store
