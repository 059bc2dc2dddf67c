/// \file
/// A recorded or generated trace: the fleet at the start, then calls and faults
/// by time.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/error.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::replay {

/// An upstream as the trace's first line describes it.
struct upstream_spec
{
    std::string id;
    std::string service;
    std::string domain;
    std::uint32_t slots = 1;
    double probe_cost_ms = 0;
    double connect_cost_ms = 0;
    /// Factor by which all of its work takes longer than stated.
    double slowness = 1;
    /// Whether it tells its gate how long it is cold after a start.
    bool states_cold = false;
    /// Slowdown right after a cold start; it falls linearly to 1 in the cold
    /// time.
    double cold_slowdown = 4;
};

/// A caller sends a call.
struct call_event
{
    std::uint64_t id = 0;
    std::string service;
    std::string rank;
    double work_ms = 0;
    double deadline_ms = 0;
    bool repeatable = false;
    /// The idempotency key; empty for none.
    std::string key;
    /// Number of the entry that takes the call, from 0.
    std::size_t entry = 0;
};

/// The order is that of the names in trace.cpp.
enum class upstream_change
{
    /// Work takes longer by a factor.
    slow,
    /// Each call ends at once with an error.
    fail_fast,
    /// Ends slow, fail_fast and lie.
    recover,
    drain,
    stop,
    /// Starts a new instance, which is slow at first.
    start,
    /// Gate and upstream do nothing for a time.
    pause,
    /// Load reports state the number of calls multiplied by a factor.
    lie
};

struct upstream_event
{
    std::string id;
    upstream_change change{};
    /// Factor of slow and lie, milliseconds of start and pause.
    double amount = 0;
};

/// The order is that of the names in trace.cpp.
enum class store_change
{
    down,
    up,
    slow,
    lose_next_answer
};

struct store_event
{
    store_change change{};
    /// Delay that slow adds.
    double delay_ms = 0;
};

struct trace_event
{
    /// Time since the start of the trace.
    support::duration offset{};
    std::variant<call_event, upstream_event, store_event> details;
};

struct trace
{
    std::uint64_t seed = 0;
    std::size_t entries = 1;
    std::vector<std::string> domains;
    /// Delay of messages between failure domains.
    double one_way_ms = 0;
    config::configuration in_force;
    std::vector<upstream_spec> upstreams;
    std::vector<trace_event> events;
};

/// Parses a trace in JSON lines. Errors name the line.
support::result<trace> parse_trace(std::string_view text);

} // namespace galenarudder::replay
