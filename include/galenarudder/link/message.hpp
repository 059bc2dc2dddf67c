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

namespace galenarudder::link {

/// Version of the protocol; both sides must state the same.
inline constexpr unsigned protocol_version = 1;

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

/// First message of each side.
struct hello
{
    unsigned version = protocol_version;
    support::member_id member;
    /// Raised by the entry for each link that it opens to a gate.
    std::uint64_t epoch = 0;
};

/// Entry to gate: a call begins; its body follows.
struct call_begin
{
    support::call_head head;
};

/// Either way: a part of a body.
struct body_part
{
    support::call_id id{};
    std::string data;
    bool last = false;
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

/// Gate to entry: the answer begins; its body follows.
struct answer_begin
{
    support::call_id id{};
    support::answer_head head;
    support::load_report load;
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

using message = std::variant<hello,
                             call_begin,
                             body_part,
                             body_credit,
                             call_cancel,
                             answer_begin,
                             call_refused,
                             drain_notice>;

/// Writes the CBOR form.
std::string encode(const message& outgoing);

/// Reads the CBOR form; the error tells what is malformed.
support::result<message> decode(std::string_view bytes);

} // namespace galenarudder::link
