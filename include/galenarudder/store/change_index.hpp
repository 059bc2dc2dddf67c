/// \file
/// Identity of a change in the platform's key-value service.
#pragma once

#include <cstdint>

namespace galenarudder::store {

/// Identifies the last change of a key. Two changes of a key differ in their
/// index even if the service was restored from an older copy between them: it
/// gives the numbers of the changes that it lost out again, but in a new era.
/// The default index means that the key is absent.
struct change_index
{
    std::uint64_t number = 0;
    /// Number of restores of the service; 0 if it does not report them.
    std::uint64_t era = 0;

    bool is_absent() const { return number == 0; }
    friend bool operator==(const change_index&, const change_index&) = default;
};

} // namespace galenarudder::store
