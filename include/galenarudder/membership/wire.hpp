/// \file
/// Datagrams between daemons: typed messages, their CBOR form and their
/// authentication.
///
/// Frame: one byte of format, one byte with the key id's length, the key id,
/// an HMAC-SHA256 over everything else, then a CBOR array. The signature is
/// checked before the CBOR is read.
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

/// Names a member on the wire: a 64-bit hash of its id. 0 names nobody.
using member_hash = std::uint64_t;
member_hash hash_of(std::string_view id);

/// Hashes what seldom changes in a record: everything but incarnation, state
/// and configuration version. Equal hashes make the full record unnecessary.
std::uint32_t content_hash(const member_record& record);

/// Largest datagram sent or accepted, so that none is fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;
/// Headers of IPv4 and UDP, counted with each datagram.
inline constexpr std::size_t header_overhead_bytes = 28;
/// Upper bound of incarnations and lives, far from overflow.
inline constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 52;
/// Buckets of one failure domain's digest.
inline constexpr std::size_t digest_buckets = 64;
/// Most failure domains in one digest message.
inline constexpr std::size_t max_domains = 16;
/// Most members named by one fetch.
inline constexpr std::size_t max_fetched = 32;

/// State of a member at an incarnation, without its addresses.
struct status_news
{
    member_hash member = 0;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::uint32_t content = 0;
    /// Who suspects; 0 unless \c state is suspect.
    member_hash accuser = 0;
};

/// Configuration version in force at a member.
struct version_news
{
    member_hash member = 0;
    std::uint64_t version = 0;
};

/// Live members of one failure domain in short.
struct domain_digest
{
    std::string domain;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;
};

/// Asks for an ack.
struct probe
{
    std::uint64_t number = 0;
};
struct ack
{
    std::uint64_t number = 0;
};
/// The relay could not reach the member either.
struct nack
{
    std::uint64_t number = 0;
};
/// Asks a relay to probe \c subject.
struct probe_request
{
    std::uint64_t number = 0;
    member_hash subject = 0;
};
/// Carries news only.
struct gossip
{
};
/// Carries records that were asked for; they are not passed on.
struct sync
{
};
/// A member that knows nobody introduces itself.
struct join
{
};
/// Digests of all failure domains.
struct digest
{
    bool wants_reply = false;
    std::vector<domain_digest> domains;
};
/// Digests of one failure domain's buckets.
struct buckets
{
    std::string domain;
    std::vector<std::uint32_t> digests;
};
/// Asks for the records in some buckets of a failure domain.
struct pull
{
    std::string domain;
    std::uint64_t mask = 0;
};
/// Asks for the records of members.
struct fetch
{
    std::vector<member_hash> members;
};
/// Tells a restarted sender that its life number is not above its former one.
struct stale
{
    std::uint64_t life = 0;
};

using message_body = std::variant<probe,
                                  ack,
                                  nack,
                                  probe_request,
                                  gossip,
                                  sync,
                                  join,
                                  digest,
                                  buckets,
                                  pull,
                                  fetch,
                                  stale>;

struct message
{
    support::member_id sender;
    /// Incarnation that the sender started with; orders its processes.
    std::uint64_t life = 0;
    std::uint64_t incarnation = 0;
    /// Counts the sender's datagrams within one life.
    std::uint64_t sequence = 0;
    /// The receiver that the sender means; 0 when it only has an address.
    member_hash target = 0;
    std::uint64_t configuration_version = 0;
    message_body body;
    std::vector<member_record> records;
    std::vector<status_news> statuses;
    std::vector<version_news> versions;
};

/// Upper bounds of encoded sizes, for filling a datagram.
std::size_t record_bytes(const member_record& record);
inline constexpr std::size_t status_bytes = 36;
inline constexpr std::size_t version_bytes = 20;
/// Size of a message without records, statuses and versions.
std::size_t base_bytes(const message& sent, std::string_view key_id);

/// Encodes and signs with \p key.
std::string encode(const message& sent, const config::shared_key& key);

/// Verifies with any of \p keys, then decodes. Errors: too_large,
/// malformed_message, unauthenticated.
support::result<message> decode(std::string_view datagram,
                                std::span<const config::shared_key> keys);

} // namespace galenarudder::membership
