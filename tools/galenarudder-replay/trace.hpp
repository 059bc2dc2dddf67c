/// \file
/// A recorded or generated trace: the fleet at the start, calls and faults in
/// order of time.
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

struct upstream_spec
{
    std::string id;
    std::string service;
    std::string domain;
    std::uint32_t slots = 1;
    double probe_cost_ms = 0;
    double connect_cost_ms = 0;
};

struct call_event
{
    std::uint64_t id = 0;
    std::string service;
    std::string rank;
    double work_ms = 0;
    double deadline_ms = 0;
    bool repeatable = false;
    std::string key;
    std::size_t entry = 0;
};

enum class upstream_change
{
    slow,
    fail_fast,
    recover,
    drain,
    stop,
    start,
    pause,
    lie
};

struct upstream_event
{
    std::string id;
    upstream_change what{};
    /// Factor of slow and lie, milliseconds of start and pause.
    double amount = 0;
};

enum class store_change
{
    down,
    up,
    slow,
    lose_next_answer
};

struct store_event
{
    store_change what{};
    double delay_ms = 0;
};

struct trace_event
{
    support::duration at{};
    std::variant<call_event, upstream_event, store_event> what;
};

struct trace
{
    std::uint64_t seed = 0;
    std::size_t entries = 1;
    std::vector<std::string> domains;
    double one_way_ms = 0;
    config::configuration in_force;
    std::vector<upstream_spec> upstreams;
    std::vector<trace_event> events;
};

/// Reads the JSON lines of a trace; the error names the line.
support::result<trace> parse_trace(std::string_view text);

} // namespace galenarudder::replay
