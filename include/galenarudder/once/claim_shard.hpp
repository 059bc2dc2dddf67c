/// \file
/// One shard of the claims on idempotency keys, held in one value of the store.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/error.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::once {

/// Identifies one of the store's values among which claims are distributed.
enum class shard_id : std::uint32_t
{
};

/// Must be the same in all daemons: it determines the shard of a claim.
inline constexpr std::uint32_t shard_count = 256;

/// Response bodies up to this size are recorded with the outcome.
inline constexpr std::size_t max_kept_body_bytes = 512;
/// A shard whose encoded value would become larger accepts no new claim.
inline constexpr std::size_t max_shard_bytes_for_claims = 512 * 1024;
/// Once a body would make the shard's value larger, outcomes are recorded
/// without their bodies, so that the value stays below the store's limit of
/// 1 MB.
inline constexpr std::size_t max_shard_bytes_for_bodies = 700 * 1024;
/// Largest difference between the daemons' wall clocks at which no claim is
/// dropped too early.
inline constexpr std::uint64_t max_clock_skew_ms = 60'000;

/// Returns the SHA-256 digest of a service and an idempotency key.
std::string claim_digest(std::string_view service, std::string_view key);
/// Returns the shard of a claim; it depends on the digest alone.
shard_id shard_of(std::string_view digest);
/// Returns the store's key of a shard.
std::string shard_key(shard_id shard);

/// The response that is replayed to later calls with the same key.
struct recorded_outcome
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
    /// False when the body was too large to record or was cut off.
    bool body_kept = false;
};

enum class claim_state
{
    /// The call was dispatched or is about to be; its daemon may have stopped
    /// since.
    running,
    answered,
    /// It is not known whether the call ran to its end.
    unknown,
};

struct claim_record
{
    /// Unique among all claims of all daemons.
    std::string token;
    claim_state state = claim_state::running;
    /// Wall-clock time in milliseconds.
    std::uint64_t expires_ms = 0;
    recorded_outcome outcome;
};

class claim_shard
{
public:
    /// Decodes the output of encode(); an empty text is a shard without claims.
    static support::result<claim_shard> decode(std::string_view text);
    /// \p change_id identifies this write and is stored in the value.
    std::string encode(std::string_view change_id) const;

    const claim_record* find(std::string_view digest) const;
    void put(const std::string& digest, claim_record record);
    void erase(const std::string& digest);
    /// Drops claims that expired more than max_clock_skew_ms ago and returns
    /// their number.
    std::size_t drop_expired(std::uint64_t wall_ms);
    std::size_t size() const { return claims_.size(); }

private:
    std::map<std::string, claim_record, std::less<>> claims_;
};

} // namespace galenarudder::once
