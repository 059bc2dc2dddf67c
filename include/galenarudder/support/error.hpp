/// \file
/// Typed errors, returned as values by all parts of the library.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace galenarudder::support {

/// Classifies errors for code that handles them differently.
enum class error_kind
{
    invalid_document,
    out_of_bounds,
    conflict,
    not_found,
    store_unavailable,
    store_outcome_unknown,
    malformed_message,
    unauthenticated,
    too_large,
    connection_failed,
    timeout,
    canceled,
};

/// An error: a kind for code, a message and a remedy for operators. Messages
/// start in lower case and end without a period.
struct error
{
    error_kind kind;
    std::string message;
    std::string remedy;
};

/// Returns the stable name of \p kind, as printed and logged.
std::string_view to_string(error_kind kind);

/// Returns kind, message and remedy of \p failure in one line.
std::string describe(const error& failure);

/// A value or an error; the compiler warns if it is discarded.
template <typename T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::terminate>;

} // namespace galenarudder::support
