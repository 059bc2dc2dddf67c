/// \file
/// What makes a response valid, beyond what the parser checks.
#pragma once

#include <boost/system/error_code.hpp>

#include <string_view>
#include <type_traits>

namespace galenarudder::http {

/// Why a response is not valid, or not complete.
enum class response_fault
{
    version = 1,
    status,
    unrequested_upgrade,
    folded_field,
    field_name,
    control_byte,
    repeated_length,
    malformed_length,
    transfer_coding,
    interim_responses,
    /// The connection ended, but not by an orderly close of the sender.
    connection_reset,
    /// The connection ended while the request was being written, and writing
    /// failed.
    request_not_written
};

const boost::system::error_category& response_fault_category();
boost::system::error_code make_error_code(response_fault fault);

/// Returns why \p raw_head is not valid: the bytes from the status line to the
/// empty line, as received. Takes one pass over the head for each rule.
boost::system::error_code check_response_head(std::string_view raw_head);

/// Returns why the trailers of a chunked body are not valid. \p raw_end is what
/// was received from the last chunk's size, or the line end before it, to the
/// empty line.
boost::system::error_code check_response_trailers(std::string_view raw_end);

} // namespace galenarudder::http

template <>
struct boost::system::is_error_code_enum<galenarudder::http::response_fault>
    : std::true_type
{
};
