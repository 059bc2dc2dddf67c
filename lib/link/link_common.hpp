/// \file
/// What the entry's and the gate's side of a daemon's links share.
#pragma once

#include "body_transfer.hpp"

#include "galenarudder/config/settings.hpp"
#include "galenarudder/link/hub.hpp"
#include "galenarudder/support/time.hpp"

#include <vector>

namespace galenarudder::link {

/// Who this daemon is and how it proves it.
struct link_identity
{
    support::member_id member;
    std::vector<config::shared_key> keys;
};

/// Means of both sides.
struct link_context
{
    link_strand strand;
    std::shared_ptr<websocket_endpoint> endpoint;
    link_identity identity;
    hub_handlers handlers;
    hub_counters* counters = nullptr;

    void send(connection_id connection, const message& outgoing) const
    {
        send_message(*endpoint, connection, outgoing);
    }
};

/// Takes credit for one body or for the whole link; false when \p received is
/// neither. \p Link is the record of a link at either side.
template <typename Link>
bool take_credit(Link& link, const message& received)
{
    if (const auto* whole = std::get_if<link_credit>(&received)) {
        link.window->on_credit(whole->bytes);
        return true;
    }
    const auto* credit = std::get_if<body_credit>(&received);
    if (credit == nullptr)
        return false;
    const auto call = link.calls.find(credit->id);
    if (call != link.calls.end() && call->second.sender)
        call->second.sender->on_credit(credit->bytes);
    return true;
}

/// How often a quiet link is asked for a sign of life.
inline constexpr support::milliseconds ping_interval{1000};

/// A link that was silent for this long is broken. Several pings fit in, so
/// that lost packets of a slow line do not break links.
inline constexpr support::milliseconds silence_timeout{4000};

/// Time from connecting to an open link.
inline constexpr support::milliseconds handshake_timeout{1500};

/// How often timeouts are looked at.
inline constexpr support::milliseconds link_tick_interval{100};

} // namespace galenarudder::link
