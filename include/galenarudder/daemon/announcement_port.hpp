/// \file
/// The HTTP port where the upstream on this VM announces itself with the
/// product's own protocol.
#pragma once

#include "galenarudder/daemon/integration.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string_view>

namespace galenarudder::daemon {

/// Parses and validates the body of an announcement.
support::result<upstream_announcement>
parse_announcement(std::string_view text);

/// Serves PUT and DELETE /v1/upstream and POST /v1/upstream/drain.
class announcement_port final : public announcement_listener
{
public:
    announcement_port(boost::asio::io_context& io,
                      announcement_handlers handlers);
    ~announcement_port() override;
    announcement_port(const announcement_port&) = delete;
    announcement_port& operator=(const announcement_port&) = delete;

    support::result<void> listen(const config::endpoint& address) override;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
