// A lag begins with the first word of a newer version, whatever comes after.
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

void version_lag::on_newer_known(support::time_point now)
{
    newer_known_since_ = newer_known_since_.value_or(now);
}

void version_lag::on_newest_in_force(support::time_point now)
{
    longest_ = longest(now);
    newer_known_since_.reset();
}

support::duration version_lag::current(support::time_point now) const
{
    return newer_known_since_ ? now - *newer_known_since_
                              : support::duration(0);
}

support::duration version_lag::longest(support::time_point now) const
{
    return std::max(longest_, current(now));
}

} // namespace galenarudder::rollout
