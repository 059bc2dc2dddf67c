/// \file
/// Messages that an entry and a gate exchange over a link, and their encoding
/// in CBOR. The daemon that connects is the entry; the one that accepts is the
/// gate.
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

/// Version of the protocol; both sides must use the same.
inline constexpr unsigned protocol_version = 4;

/// Largest size of a chunk of a body, in bytes. The first part of a body on a
/// link may join several chunks, up to small_body_bytes.
inline constexpr std::size_t max_body_part_bytes = 16 * 1024;

/// Window of one direction of a call: body bytes that the sender may have sent
/// without credit from the receiver.
inline constexpr std::size_t body_window_bytes = 8 * max_body_part_bytes;

/// Smallest cost of a body part. Small parts count this much against the call's
/// window, so that it also limits the number of parts in flight.
inline constexpr std::size_t min_part_cost_bytes = 8 * 1024;

/// Returns the cost of a part of \p size bytes in the call's window.
constexpr std::size_t window_cost(std::size_t size)
{
    return size < min_part_cost_bytes ? min_part_cost_bytes : size;
}

/// Window of one direction of a link: body bytes of all calls that the sender
/// may have sent without credit from the peer's daemon. It limits how long a
/// small message waits behind parts of large bodies.
inline constexpr std::size_t link_window_bytes = 16 * max_body_part_bytes;

/// The first bytes of each body that don't count against the link's window, so
/// that small bodies never wait for large ones.
inline constexpr std::size_t small_body_bytes = 2 * max_body_part_bytes;

/// Size of the random challenge that each side sends in a handshake, in bytes.
inline constexpr std::size_t challenge_bytes = 16;

/// Entry to gate: the first message of a link.
struct hello
{
    unsigned version = protocol_version;
    support::member_id member;
    /// Number of the link; the entry uses a higher one for each link.
    std::uint64_t epoch = 0;
    /// Random bytes that the gate must sign.
    std::string challenge;
};

/// Gate to entry: proves that the gate holds a shared key, and challenges the
/// entry.
struct gate_proof
{
    unsigned version = protocol_version;
    support::member_id member;
    std::string challenge;
    std::string key_id;
    std::string signature;
};

/// Entry to gate: proves that the entry holds a shared key.
struct entry_proof
{
    std::string key_id;
    std::string signature;
};

/// Gate to entry: the link is open. The gate has closed older links of the
/// entry.
struct welcome
{
    /// Whether the gate accepts no new calls.
    bool draining = false;
};

/// Entry to gate: begins a call. The body follows in body_part messages unless
/// it is complete here.
struct call_begin
{
    support::call_head head;
    /// Sequence number of the call on this link: 1, 2, 3 and so on.
    std::uint64_t sequence_number = 0;
    std::string body;
    bool body_complete = false;
    /// When the message was sent, by the boot clock of the entry.
    support::milliseconds sent_at{0};
};

/// Both directions: a part of a body.
struct body_part
{
    support::attempt_id id{};
    std::string data;
    bool last = false;
    /// Whether the part counts against the link's window.
    bool counts_against_link = false;
};

/// Both directions: body parts were read and no longer occupy the call's
/// window. The size is their window_cost, which exceeds the bytes of small
/// parts.
struct body_credit
{
    support::attempt_id id{};
    std::uint64_t cost_bytes = 0;
};

/// Entry to gate: the response is no longer needed.
struct call_cancel
{
    support::attempt_id id{};
};

/// Gate to entry: begins a response. The body follows in body_part messages
/// unless it is complete here.
struct response_begin
{
    support::attempt_id id{};
    support::response_head head;
    support::load_report load;
    std::string body;
    bool body_complete = false;
};

/// Gate to entry: the call ends without a response. After response_begin it
/// means that the rest of the body will not follow.
struct call_refused
{
    support::attempt_id id{};
    support::refusal refusal;
    support::load_report load;
};

/// Gate to entry: asks the entry to send no new calls over this link.
struct drain_notice
{
};

/// Both directions: the daemon received body parts of this size in bytes, not
/// of this window_cost; they no longer occupy the link's window.
struct link_credit
{
    std::uint64_t bytes = 0;
};

/// Entry to gate: asks whether calls of an earlier link ran.
struct outcome_query
{
    /// Epoch of the earlier link.
    std::uint64_t epoch = 0;
    /// Sequence numbers of the calls on that link.
    std::vector<std::uint64_t> numbers;
};

/// Gate to entry: answers an outcome_query. A call that is not listed may have
/// run.
struct outcome_reply
{
    std::uint64_t epoch = 0;
    /// Sequence numbers of the calls that did not run and never will.
    std::vector<std::uint64_t> not_run;
};

/// Entry to gate: requests a pong, to detect a broken link.
struct ping
{
};

/// Gate to entry: answers a ping.
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
                             response_begin,
                             call_refused,
                             drain_notice,
                             link_credit,
                             outcome_query,
                             outcome_reply,
                             ping,
                             pong>;

/// Returns \p outgoing in CBOR.
std::string encode(const message& outgoing);

/// Decodes a message; the error has the kind malformed_message.
support::result<message> decode(std::string_view bytes);

} // namespace galenarudder::link
