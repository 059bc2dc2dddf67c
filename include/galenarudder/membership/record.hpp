/// \file
/// The record that membership keeps of one daemon and its upstream.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/call.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace galenarudder::membership {

enum class member_state
{
    /// Started; gets no calls yet.
    joining,
    /// Gets calls if it has an announced upstream.
    alive,
    /// Gets no new calls.
    draining,
    /// Suspected by some member to have failed; still gets calls.
    suspect,
    /// Announced that it leaves.
    left,
    /// Declared dead after a suspicion that it did not refute in time.
    dead
};

std::string_view to_string(member_state state);

/// One daemon as its peers see it.
struct member_record
{
    support::member_id id;
    /// Raised by the member itself: at each start, with each change of state,
    /// service or slots, when it refutes what others report about it, and on a
    /// \c stale_incarnation message.
    std::uint64_t incarnation = 0;
    member_state state = member_state::joining;
    /// Endpoint on which the member receives membership datagrams.
    config::endpoint gossip;
    /// Endpoint on which the member accepts links from other daemons.
    config::endpoint link;
    /// Endpoint on which peers and operators' tools read and deliver the
    /// configuration.
    config::endpoint operators;
    /// Failure domain.
    std::string domain;
    /// Service of the announced upstream; empty when there is none.
    std::string service;
    /// Concurrent calls that the upstream offers to process.
    std::uint32_t slots = 0;
    /// Configuration version in force at the member.
    std::uint64_t configuration_version = 0;
};

/// Returns whether calls may be sent to the member's upstream.
bool serves_calls(const member_record& record);

} // namespace galenarudder::membership
