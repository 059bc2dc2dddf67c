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
    joining,
    alive,
    draining,
    suspect,
    left,
    dead
};

std::string_view to_string(member_state state);

/// One daemon as its peers see it.
struct member_record
{
    support::member_id id;
    /// Raised by the member itself at each start and when it refutes a
    /// suspicion.
    std::uint64_t incarnation = 0;
    member_state state = member_state::joining;
    /// Where the member receives membership datagrams.
    config::endpoint gossip;
    /// Where the member accepts links from other daemons.
    config::endpoint link;
    /// Operator port: peers and operators' tools read and deliver the
    /// configuration here.
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
