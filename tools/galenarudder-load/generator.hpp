/// \file
/// Sends calls over keep-alive connections: at a fixed rate that does not
/// depend on answers, or one call at a time on each connection.
#pragma once

#include "outcome.hpp"

#include "galenarudder/config/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace galenarudder::load {

/// What to send, and where.
struct plan
{
    /// Connections are distributed over these in turn.
    std::vector<config::endpoint> targets;
    std::string method;
    std::string path;
    /// Request fields as Name:value.
    std::vector<std::string> fields;
    std::size_t body_bytes = 0;
    std::size_t connections = 1;
    /// Calls per second; 0 sends the next call of a connection after the
    /// answer.
    double rate = 0;
    std::uint64_t calls = 0;
    /// Gives each call its own Idempotency-Key.
    bool send_idempotency_keys = false;
    /// Longest wait for one answer.
    support::milliseconds timeout{0};
};

struct load_report
{
    summary outcomes;
    support::duration run_time{0};
};

/// Runs the plan on the calling thread.
load_report run(const plan& load_plan);

} // namespace galenarudder::load
