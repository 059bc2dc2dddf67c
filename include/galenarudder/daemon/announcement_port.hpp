/// \file
/// The port by which the upstream on this VM announces itself.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace galenarudder::daemon {

/// What an upstream states of itself with each heartbeat.
struct announcement
{
    std::string service;
    config::endpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Where the gate may probe the upstream; empty for no probes.
    std::string probe_path;
};

/// Reads and checks the body of an announcement.
support::result<announcement> parse_announcement(std::string_view text);

/// Called on any thread.
struct announcement_handlers
{
    std::function<void(const announcement&)> announced;
    /// The upstream left or its heartbeat lapsed.
    std::function<void()> gone;
    std::function<void()> drain;
};

class announcement_port
{
public:
    announcement_port(boost::asio::io_context& io,
                      announcement_handlers handlers);
    ~announcement_port();
    announcement_port(const announcement_port&) = delete;
    announcement_port& operator=(const announcement_port&) = delete;

    support::result<void> listen(const config::endpoint& where);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
