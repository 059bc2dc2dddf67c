/// \file
/// How long a daemon knows of a newer version before it has that version in
/// force, and which step took the time.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <map>
#include <string_view>

namespace galenarudder::rollout {

/// Where a document came from.
enum class document_source
{
    operators,
    store,
    peer
};

std::string_view to_string(document_source source);

/// The steps of one document on its way into force.
struct adoption_timing
{
    document_source source = document_source::operators;
    /// From the first word of this version, or of one that replaced it, to the
    /// receipt of the document.
    support::duration fetch{0};
    /// From its receipt to the start of its build, while another was built.
    support::duration wait{0};
    support::duration build{0};
};

/// Measures the time for which a newer version than the one in force is known.
class version_lag
{
public:
    /// \p version is newer than the one in force, and than those that were
    /// heard of before; other calls have no effect.
    void on_known(std::uint64_t version, support::time_point now);
    void on_in_force(std::uint64_t version, support::time_point now);

    /// Returns the time since \p version or a later one is known; 0 if none is.
    support::duration known_for(std::uint64_t version,
                                support::time_point now) const;
    /// Returns the time since a newer version is known; 0 if none is.
    support::duration current(support::time_point now) const
    {
        return known_for(0, now);
    }
    /// Returns the longest time that ended or lasts at \p now.
    support::duration longest(support::time_point now) const;

private:
    /// When each of the newer versions was first heard of.
    std::map<std::uint64_t, support::time_point> known_since_;
    support::duration longest_{0};
};

} // namespace galenarudder::rollout
