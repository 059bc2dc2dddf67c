// Names of error kinds and the text form of errors.
#include "galenarudder/support/error.hpp"

#include <array>

namespace galenarudder::support {

std::string_view to_string(error_kind kind)
{
    static constexpr std::array<std::string_view, 12> kind_names = {
        "invalid-document",  "out-of-bounds",     "conflict",
        "not-found",         "store-unavailable", "store-outcome-unknown",
        "malformed-message", "unauthenticated",   "too-large",
        "connection-failed", "timeout",           "canceled"};
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string describe(const error& failure)
{
    std::string line(to_string(failure.kind));
    line += ": ";
    line += failure.message;
    if (failure.remedy.empty())
        return line;
    line += "; remedy: ";
    line += failure.remedy;
    return line;
}

} // namespace galenarudder::support
