/// \file
/// Declarations that are shared by the links opened as an entry and the links
/// accepted as a gate.
#pragma once

#include "body_transfer.hpp"

#include "galenarudder/config/settings.hpp"
#include "galenarudder/link/link_manager.hpp"
#include "galenarudder/support/time.hpp"

#include <vector>

namespace galenarudder::link {

/// The id of this daemon and the keys with which it authenticates itself.
struct link_identity
{
    support::member_id member;
    std::vector<config::shared_key> keys;
};

/// State and functions that both kinds of links use.
struct link_context
{
    link_strand strand;
    std::shared_ptr<websocket_endpoint> endpoint;
    link_identity identity;
    link_handlers handlers;
    link_counters* counters = nullptr;

    void send(connection_id connection, const message& outgoing) const
    {
        send_message(*endpoint, connection, outgoing);
    }
};

/// Handles a body_credit or link_credit message. Returns false if \p received
/// is neither. \p Link is the type of a link at the entry or at the gate.
template <typename Link>
bool handle_credit(Link& link, const message& received)
{
    if (const auto* link_wide = std::get_if<link_credit>(&received)) {
        link.window->on_credit(link_wide->bytes);
        return true;
    }
    const auto* credit = std::get_if<body_credit>(&received);
    if (credit == nullptr)
        return false;
    const auto call = link.calls.find(credit->id);
    if (call != link.calls.end() && call->second.sender)
        call->second.sender->on_credit(credit->cost_bytes);
    return true;
}

/// Time without a message after which the entry sends a ping.
inline constexpr support::milliseconds ping_interval{1000};

/// Time without a message after which a link counts as broken. It spans several
/// pings, so that packet loss on a slow line does not break links.
inline constexpr support::milliseconds receive_timeout{4000};

/// Longest time from connecting to the open link.
inline constexpr support::milliseconds handshake_timeout{1500};

/// Interval at which timeouts are checked.
inline constexpr support::milliseconds timeout_check_interval{100};

} // namespace galenarudder::link
