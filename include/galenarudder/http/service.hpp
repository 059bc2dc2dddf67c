/// \file
/// A small HTTP server for documents that fit in memory: the operator port,
/// announcements and the stand-in of the store.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::http {

struct field
{
    std::string name;
    std::string value;
};

/// Returns the value of the first field of that name, whatever its case; empty
/// when there is none.
std::string_view field_or_empty(const std::vector<field>& fields,
                                std::string_view name);

struct request
{
    std::string method;
    /// Path without the query.
    std::string path;
    /// Query parameters in order, decoded.
    std::vector<field> query;
    std::vector<field> fields;
    std::string body;

    /// Returns a query parameter, or null.
    const std::string* parameter(std::string_view name) const;
};

struct response
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<field> fields;
    /// Closes the connection without an answer; used by stand-ins.
    bool withheld = false;
};

using handler =
    std::function<boost::asio::awaitable<response>(request received)>;

/// Largest request body taken unless stated otherwise, in bytes.
inline constexpr std::uint64_t default_max_body_bytes = 4 << 20;

/// Serves until stopped; requests of one connection are answered in order.
class service
{
public:
    service(boost::asio::io_context& io,
            handler handle,
            std::uint64_t max_body_bytes = default_max_body_bytes);
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    support::result<void> listen(const config::endpoint& where);
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace galenarudder::http
