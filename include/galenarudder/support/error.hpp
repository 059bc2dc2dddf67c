/// \file
/// Typed errors returned as values by every part of the library.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace galenarudder::support {

/// What went wrong, for code that decides by kind.
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

/// An error as a value: the kind for code, the message and the remedy for
/// people. Messages start in lower case and end without a period.
struct error
{
    error_kind kind;
    std::string message;
    std::string remedy;
};

/// The stable name of a kind, as printed and logged.
std::string_view to_string(error_kind kind);

/// One line with kind, message and remedy.
std::string describe(const error& failure);

/// A value or an error; the compiler warns when it is dropped.
template <typename T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::terminate>;

} // namespace galenarudder::support
