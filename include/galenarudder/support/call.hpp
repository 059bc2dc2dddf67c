/// \file
/// Data of a call that passes between caller, entry, gate and upstream: heads
/// of requests and responses, and load reports.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::support {

/// Identifies one attempt of a call; unique within the entry that sent it.
enum class attempt_id : std::uint64_t
{
};

/// Identifies a daemon; unique in the fleet and unchanged by restarts.
using member_id = std::string;

/// One HTTP field.
struct header_field
{
    std::string name;
    std::string value;
};

/// Largest accepted depth of nested calls between services.
inline constexpr unsigned max_call_depth = 26;

/// The request of one attempt, without its body.
struct call_head
{
    attempt_id id{};
    std::string service;
    std::string rank;
    /// Name of the caller's organisation; empty if it has none.
    std::string organisation;
    /// Time until the caller's deadline, measured when the head is sent.
    milliseconds remaining_time{0};
    /// Time until the call is late, measured when the head is sent. Absent if
    /// the call has no goal, its service no cold limit, or the entry is of an
    /// earlier version.
    std::optional<milliseconds> time_until_late;
    /// Whether the call may run more than once without harm.
    bool repeatable = false;
    /// Whether the gate may hand the attempt back before it starts, so that the
    /// entry sends the call to another upstream.
    bool may_hand_back = false;
    /// The caller's Idempotency-Key; empty if it sent none.
    std::string idempotency_key;
    /// Position in the chain of nested calls; 1 for a call from outside.
    unsigned depth = 0;
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    /// Body length in bytes; absent if the body is chunked.
    std::optional<std::uint64_t> content_length;
};

/// Load of a gate; sent with each response and refusal.
struct load_report
{
    /// Calls that the upstream is running.
    std::uint32_t running = 0;
    /// Calls that wait at the gate.
    std::uint32_t waiting = 0;
    /// Current concurrency limit of the gate, in calls.
    std::uint32_t limit = 0;
    /// Recent mean service time of the upstream in milliseconds.
    double service_ms = 0;
    /// Waiting calls of each rank, most urgent first.
    std::vector<std::uint32_t> waiting_by_rank;
    /// Milliseconds since the upstream began to serve; used for slow start.
    double age_ms = 0;
    /// Milliseconds that the attempt spent at the gate; the rest of its latency
    /// was spent on the link.
    double time_at_gate_ms = 0;
    /// Expected milliseconds until a call that arrives now could start, because
    /// of a slowdown of the upstream or the limit that it states; 0 if neither
    /// delays it.
    double start_delay_ms = 0;
    /// Milliseconds for which the upstream is still cold and therefore takes
    /// few calls per second; 0 if it is not.
    double cold_ms = 0;
};

/// A response without its body.
struct response_head
{
    /// HTTP status code.
    unsigned status = 0;
    /// Reason phrase of the HTTP status line.
    std::string reason;
    std::vector<header_field> fields;
    /// Body length in bytes; absent if the body is chunked.
    std::optional<std::uint64_t> content_length;
};

} // namespace galenarudder::support
