/// \file
/// Membership datagrams between daemons: message types, CBOR encoding and
/// authentication.
///
/// A frame consists of a format byte, a byte with the length of the key id, the
/// key id, an HMAC-SHA256 over all the rest of the frame, and a CBOR array. The
/// signature is verified before the CBOR is parsed.
#pragma once

#include "galenarudder/membership/record.hpp"
#include "galenarudder/support/error.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::membership {

/// Identifies a member on the wire: a 64-bit hash of its id. 0 means no member.
using member_hash = std::uint64_t;
member_hash hash_of(std::string_view id);

/// Hashes the fields of a record that seldom change: all but incarnation, state
/// and configuration version. A receiver with an equal hash needs only a
/// \c status_update and not the full record.
std::uint32_t content_hash(const member_record& record);

/// Largest datagram that is sent or accepted; small enough not to be
/// fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;
/// IPv4 and UDP headers, added to the size of each datagram in the byte counts.
inline constexpr std::size_t header_overhead_bytes = 28;
/// Largest incarnation that is accepted; leaves room to increment it without
/// overflow.
inline constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 52;
/// Number of buckets into which the members of a failure domain are hashed for
/// anti-entropy.
inline constexpr std::size_t digest_buckets = 64;
/// Maximum number of failure domains in one digest message.
inline constexpr std::size_t max_domains = 16;
/// Largest payload of an extension message.
inline constexpr std::size_t max_extension_bytes = 448;
/// Maximum number of members in one fetch message.
inline constexpr std::size_t max_fetched_members = 32;

/// Update of a member's state at an incarnation, without its addresses.
struct status_update
{
    member_hash member = 0;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::uint32_t content_hash = 0;
    /// The member that suspects it; 0 unless \c state is suspect.
    member_hash suspected_by = 0;
};

/// Update of the configuration version in force at a member.
struct version_update
{
    member_hash member = 0;
    std::uint64_t version = 0;
};

/// Entry of a \c digest message: number and digest of the live members of one
/// failure domain.
struct domain_digest
{
    std::string domain;
    std::uint32_t count = 0;
    /// Exclusive or over a hash of each live member.
    std::uint64_t digest = 0;
};

/// Asks the receiver for an ack with the same number.
struct probe
{
    std::uint64_t number = 0;
};
/// Answers a probe, or reports a successful indirect probe.
struct ack
{
    std::uint64_t number = 0;
};
/// Sent by a relay that got no ack from the target of an indirect probe.
struct nack
{
    std::uint64_t number = 0;
};
/// Asks a relay to probe \c target (an indirect probe).
struct probe_request
{
    std::uint64_t number = 0;
    member_hash target = 0;
};
/// Carries only piggybacked updates.
struct gossip
{
};
/// Carries requested records. The receiver does not disseminate them further,
/// except those of members new to it while it knows at most 128 other live
/// members.
struct sync
{
};
/// Introduces the sender to a member that may not know it yet.
struct join
{
};
/// Message with the digests of all failure domains, the first step of
/// anti-entropy.
struct digest
{
    bool wants_reply = false;
    std::vector<domain_digest> domains;
};
/// Message with the digests of the buckets of one failure domain.
struct bucket_digests
{
    std::string domain;
    /// The low 32 bits of the digest of each bucket.
    std::vector<std::uint32_t> digests;
};
/// Asks for the records in the buckets of a failure domain whose bits are set
/// in \c bucket_mask.
struct pull
{
    std::string domain;
    std::uint64_t bucket_mask = 0;
};
/// Asks for the records of certain members.
struct fetch
{
    std::vector<member_hash> members;
};
/// Tells a restarted member that its start incarnation is lower than the one
/// of an earlier process, so that it starts again above
/// \c highest_start_incarnation.
struct stale_incarnation
{
    std::uint64_t highest_start_incarnation = 0;
};
/// Carries a message of another part of the daemon, which \c topic names.
struct extension
{
    std::string topic;
    std::string payload;
};

using message_body = std::variant<probe,
                                  ack,
                                  nack,
                                  probe_request,
                                  gossip,
                                  sync,
                                  join,
                                  digest,
                                  bucket_digests,
                                  pull,
                                  fetch,
                                  stale_incarnation,
                                  extension>;

struct message
{
    support::member_id sender;
    /// Incarnation with which the sending process started; tells successive
    /// processes of one member apart.
    std::uint64_t start_incarnation = 0;
    std::uint64_t incarnation = 0;
    /// Counts the datagrams of one process of the sender.
    std::uint64_t sequence = 0;
    /// The intended receiver; 0 when the sender knows only its address.
    member_hash target = 0;
    std::uint64_t configuration_version = 0;
    message_body body;
    std::vector<member_record> records;
    std::vector<status_update> status_updates;
    std::vector<version_update> version_updates;
};

/// Upper bounds of encoded sizes in bytes, used to fill a datagram.
std::size_t record_bytes(const member_record& record);
inline constexpr std::size_t status_bytes = 36;
inline constexpr std::size_t version_bytes = 20;
/// Upper bound of the size of a message without records and updates.
std::size_t base_bytes(const message& outgoing, std::string_view key_id);

/// Encodes a message and signs it with \p key.
std::string encode(const message& outgoing, const config::shared_key& key);

/// Verifies the signature with the key of \p keys that the frame names, then
/// decodes the message. Errors: too_large, malformed_message, unauthenticated.
support::result<message> decode(std::string_view datagram,
                                std::span<const config::shared_key> keys);

} // namespace galenarudder::membership
