// Counts failures in a row.
#include "galenarudder/store/reachability.hpp"

namespace galenarudder::store {

std::optional<reachability_change>
reachability::on_call(bool answered, support::time_point now)
{
    const bool was_lost = failures_ >= failures_until_lost;
    if (!answered) {
        if (failures_ == 0)
            failing_since_ = now;
        ++failures_;
        if (failures_ != failures_until_lost)
            return std::nullopt;
        return reachability_change{};
    }
    failures_ = 0;
    if (!was_lost)
        return std::nullopt;
    return reachability_change{true, now - failing_since_};
}

} // namespace galenarudder::store
