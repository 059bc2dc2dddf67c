/// \file
/// What a call carries between caller, entry, gate and upstream.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::support {

/// Names one attempt of a call, unique within the entry that made it.
enum class call_id : std::uint64_t
{
};

/// Names a daemon, unique in the fleet; it stays the same over restarts.
using member_id = std::string;

/// One HTTP field.
struct header_field
{
    std::string name;
    std::string value;
};

/// The deepest nesting of calls that is accepted.
inline constexpr unsigned max_call_depth = 26;

/// Everything about a request but its body.
struct call_head
{
    call_id id{};
    std::string service;
    std::string rank;
    /// Time the caller still waits, counted at the moment of sending.
    milliseconds remaining{0};
    /// Whether running the call twice is harmless.
    bool repeatable = false;
    /// Whether the entry sends the call to another upstream when the gate
    /// hands it back.
    bool movable = false;
    /// The caller's Idempotency-Key; empty when there is none.
    std::string key;
    unsigned depth = 0;
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    /// Body length in bytes; absent when the body is chunked.
    std::optional<std::uint64_t> content_length;
};

/// Load of one gate, sent with each answer.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Calls that the gate runs at once at present.
    std::uint32_t limit = 0;
    /// Recent mean service time of the upstream in milliseconds.
    double service_ms = 0;
    /// Calls waiting per rank, most urgent first.
    std::vector<std::uint32_t> waiting_by_rank;
    /// Milliseconds since the upstream began serving; for slow start.
    double age_ms = 0;
    /// Milliseconds that the attempt spent at the gate; the rest of its
    /// latency was spent on links.
    double held_ms = 0;
    /// Milliseconds after which a slow spell of the upstream should have ended;
    /// 0 while it works at its usual speed.
    double spell_left_ms = 0;
};

/// Everything about an answer but its body.
struct answer_head
{
    unsigned status = 0;
    std::string reason;
    std::vector<header_field> fields;
    std::optional<std::uint64_t> content_length;
};

} // namespace galenarudder::support
