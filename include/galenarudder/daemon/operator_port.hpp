/// \file
/// The operators' port: metrics, health, status, members, configuration.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace galenarudder::daemon {

class node;

/// What the port reads and starts; called on \c executor.
struct operator_handlers
{
    boost::asio::any_io_executor executor;
    std::function<std::string()> metrics;
    const daemon::node* node = nullptr;
    const config::daemon_settings* settings = nullptr;
    std::function<void()> drain;
    /// An authenticated transfer handed over by a peer or an operator's tool;
    /// \c sender is the peer's id or empty.
    std::function<void(const std::string& encoded, const std::string& sender)>
        transfer;
};

class operator_port
{
public:
    operator_port(boost::asio::io_context& io, operator_handlers handlers);
    ~operator_port();
    operator_port(const operator_port&) = delete;
    operator_port& operator=(const operator_port&) = delete;

    support::result<void> listen(const config::endpoint& where);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::daemon
