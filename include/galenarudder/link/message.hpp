/// \file
/// Messages of the link between an entry and a gate, and their CBOR form.
/// The daemon that connects is the entry; the one that accepts is the gate.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/error.hpp"
#include "galenarudder/support/refusal.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::link {

/// Version of the protocol; both sides must state the same.
inline constexpr unsigned protocol_version = 3;

/// Largest body part carried in one message, in bytes.
inline constexpr std::size_t max_body_part_bytes = 16 * 1024;

/// Body bytes that may be under way in one direction of one call.
inline constexpr std::size_t body_window_bytes = 8 * max_body_part_bytes;

/// Least that a part counts against the window, however small it is, so that
/// the window also bounds the number of parts under way.
inline constexpr std::size_t min_part_cost_bytes = 8 * 1024;

/// What a part of \p size bytes counts against the window.
constexpr std::size_t window_cost(std::size_t size)
{
    return size < min_part_cost_bytes ? min_part_cost_bytes : size;
}

/// Body bytes of all calls that may be under way in one direction of a link,
/// received by the peer's daemon or not. It bounds how long a small message
/// waits behind parts of large bodies.
inline constexpr std::size_t link_window_bytes = 16 * max_body_part_bytes;

/// Bytes that open each body and do not count against the link's window, so
/// that small bodies never wait for large ones.
inline constexpr std::size_t small_body_bytes = 2 * max_body_part_bytes;

/// Bytes of randomness that each side contributes to a handshake.
inline constexpr std::size_t challenge_bytes = 16;

/// First message, from entry to gate.
struct hello
{
    unsigned version = protocol_version;
    support::member_id member;
    /// Raised by the entry for each link that it opens.
    std::uint64_t epoch = 0;
    /// Random bytes that the gate's proof must cover.
    std::string challenge;
};

/// Gate to entry: its proof that it holds a key, and its own challenge.
struct gate_proof
{
    unsigned version = protocol_version;
    support::member_id member;
    std::string challenge;
    std::string key_id;
    std::string signature;
};

/// Entry to gate: its proof that it holds a key.
struct entry_proof
{
    std::string key_id;
    std::string signature;
};

/// Gate to entry: the link is open; older links of the entry are closed.
struct welcome
{
    bool draining = false;
};

/// Entry to gate: a call begins; its body follows unless it is complete.
struct call_begin
{
    support::call_head head;
    /// Counts the calls of this link from 1, without gaps.
    std::uint64_t number = 0;
    std::string body;
    bool body_complete = false;
};

/// Either way: a part of a body.
struct body_part
{
    support::call_id id{};
    std::string data;
    bool last = false;
    /// Whether it counts against the link's window.
    bool counted = false;
};

/// Either way: the receiver took parts of this cost out of the call's window.
struct body_credit
{
    support::call_id id{};
    std::uint64_t bytes = 0;
};

/// Entry to gate: the answer is no longer wanted.
struct call_cancel
{
    support::call_id id{};
};

/// Gate to entry: the answer begins; its body follows unless it is complete.
struct answer_begin
{
    support::call_id id{};
    support::answer_head head;
    support::load_report load;
    std::string body;
    bool body_complete = false;
};

/// Gate to entry: the call ends without an answer, or, after the answer
/// began, its body cannot be completed.
struct call_refused
{
    support::call_id id{};
    support::refusal why;
    support::load_report load;
};

/// Gate to entry: send no new calls by this link.
struct drain_notice
{
};

/// Either way: the receiving daemon took body parts of this size.
struct link_credit
{
    std::uint64_t bytes = 0;
};

/// Entry to gate: what became of calls that were open on an older link.
struct fate_query
{
    std::uint64_t epoch = 0;
    /// The numbers of the calls on that link.
    std::vector<std::uint64_t> numbers;
};

/// Gate to entry: those of the calls asked for that did not run and never
/// will. Nothing is known of the others.
struct fate_answer
{
    std::uint64_t epoch = 0;
    std::vector<std::uint64_t> not_run;
};

/// Either way: asks the peer for a sign of life.
struct ping
{
};

/// Answers a ping.
struct pong
{
};

using message = std::variant<hello,
                             gate_proof,
                             entry_proof,
                             welcome,
                             call_begin,
                             body_part,
                             body_credit,
                             call_cancel,
                             answer_begin,
                             call_refused,
                             drain_notice,
                             link_credit,
                             fate_query,
                             fate_answer,
                             ping,
                             pong>;

/// Writes the CBOR form.
std::string encode(const message& outgoing);

/// Reads the CBOR form; the error tells what is malformed.
support::result<message> decode(std::string_view bytes);

} // namespace galenarudder::link
