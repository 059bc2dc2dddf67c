// Versions that were heard of and came into force are forgotten.
#include "galenarudder/rollout/version_lag.hpp"

#include <algorithm>

namespace galenarudder::rollout {

std::string_view to_string(document_source source)
{
    switch (source) {
    case document_source::operators:
        return "operators";
    case document_source::store:
        return "store";
    case document_source::peer:
        return "peer";
    }
    return "unknown";
}

void version_lag::on_known(std::uint64_t version, support::time_point now)
{
    if (known_since_.empty() || known_since_.rbegin()->first < version)
        known_since_.emplace(version, now);
}

void version_lag::on_in_force(std::uint64_t version, support::time_point now)
{
    longest_ = longest(now);
    known_since_.erase(known_since_.begin(), known_since_.upper_bound(version));
}

support::duration version_lag::known_for(std::uint64_t version,
                                         support::time_point now) const
{
    const auto first = known_since_.lower_bound(version);
    return first == known_since_.end() ? support::duration(0)
                                       : now - first->second;
}

support::duration version_lag::longest(support::time_point now) const
{
    return std::max(longest_, current(now));
}

} // namespace galenarudder::rollout
