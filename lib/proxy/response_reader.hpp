/// \file
/// Reads the responses of an upstream to one request.
#pragma once

#include "connection_pool.hpp"

#include "galenarudder/http/read_response.hpp"
#include "galenarudder/support/call.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace galenarudder::proxy {

/// How a read of a part of a body ended.
struct part_read
{
    boost::system::error_code failure;
    /// Bytes of the body that were read.
    std::size_t size = 0;
};

/// Passes on only valid responses (http/response_validity.hpp). A body that the
/// end of the connection ends is complete only if the upstream closed the
/// connection in order and the request was written to its end or was stopped
/// without a failure. Reads at most 16 KiB at once and copies each head once.
class response_reader
{
public:
    /// Stops a request that is still being written. Returns whether the whole
    /// request was written or no write failed until it was stopped.
    using request_end = std::function<boost::asio::awaitable<bool>()>;

    /// \p source must outlive the reader. \p is_head_request states that
    /// responses have no body.
    response_reader(connection& source,
                    bool is_head_request,
                    request_end end_request);

    /// Reads heads up to the first that is not an interim one (1xx), not past
    /// \p deadline. Also called to go on with the response after one that was
    /// skipped.
    boost::asio::awaitable<boost::system::error_code>
    read_head(std::chrono::steady_clock::time_point deadline);
    /// Returns the head, without fields that are not forwarded.
    support::response_head head() const;
    /// Returns the value of the field Keep-Alive.
    std::string_view keep_alive_parameters() const;

    /// Reads the next part of the body to \p target. Reads nothing if the
    /// framing ended the body.
    boost::asio::awaitable<part_read>
    read_part(std::span<char> target,
              std::chrono::steady_clock::time_point deadline);
    /// Reads the body to its end and drops it, up to \p max_bytes with the
    /// framing. Returns whether the connection can be used afterwards.
    boost::asio::awaitable<bool>
    skip_body(std::size_t max_bytes,
              std::chrono::steady_clock::time_point deadline);

    /// Whether any byte of the response arrived.
    bool has_received() const { return parser_ && parser_->consumed() != 0; }
    /// Whether the response was read to its end.
    bool is_done() const { return parser_->parser().is_done(); }
    /// Whether another response can follow on the connection.
    bool keeps_connection() const;
    /// Makes the read in progress, and all later ones, fail.
    void abort();

private:
    using parser = http::valid_response_parser<boost::beast::http::buffer_body>;

    void start_message();
    bool may_be_followed() const;
    boost::system::error_code
    reported(const boost::system::error_code& failure) const;

    connection& source_;
    bool is_head_request_;
    request_end end_request_;
    /// Replaced for each response.
    std::optional<parser> parser_;
    /// When the read in progress must have ended.
    std::chrono::steady_clock::time_point deadline_{};
    bool aborted_ = false;
};

} // namespace galenarudder::proxy
