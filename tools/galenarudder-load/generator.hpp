/// \file
/// Sends calls over keep-alive connections, by a fixed rate that does not
/// wait for answers, or as many at once as there are connections.
#pragma once

#include "outcome.hpp"

#include "galenarudder/config/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace galenarudder::load {

struct plan
{
    /// Connections are spread over these in turn.
    std::vector<config::endpoint> targets;
    std::string method;
    std::string path;
    std::vector<std::string> fields;
    std::size_t body_bytes = 0;
    std::size_t connections = 1;
    /// Calls per second; 0 sends the next call after each answer.
    double rate = 0;
    std::uint64_t calls = 0;
    /// Adds an Idempotency-Key of its own to each call.
    bool keyed = false;
    support::milliseconds timeout{0};
};

struct load_report
{
    summary outcomes;
    support::duration took{0};
};

/// Runs the plan on the calling thread.
load_report run(const plan& wanted);

} // namespace galenarudder::load
