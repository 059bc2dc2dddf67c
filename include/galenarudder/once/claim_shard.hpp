/// \file
/// One value of the store that holds claims of idempotency keys.
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

/// Names one of the values over which claims are spread.
enum class shard_id : std::uint32_t
{
};

/// All daemons must use the same number: it decides where a claim lies.
inline constexpr std::uint32_t shard_count = 256;

/// Bodies up to this size are kept with the outcome.
inline constexpr std::size_t max_kept_body_bytes = 512;
/// A value that is larger takes no further claims.
inline constexpr std::size_t full_shard_bytes = 512 * 1024;
/// A value that is larger keeps outcomes without their bodies, so that it
/// stays below the megabyte that the store holds.
inline constexpr std::size_t no_body_shard_bytes = 700 * 1024;
/// Clocks of daemons may differ by this much before a claim is dropped early.
inline constexpr std::uint64_t max_clock_skew_ms = 60'000;

/// Digest of a service and an idempotency key.
std::string claim_digest(std::string_view service, std::string_view key);
/// The shard of a claim, chosen by its digest alone.
shard_id shard_of(std::string_view digest);
/// The key of a shard in the store.
std::string shard_key(shard_id shard);

/// What a second call with the key is given.
struct recorded_outcome
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
    /// False when the body was too large to keep or broke off.
    bool body_kept = false;
};

enum class claim_state
{
    /// Dispatched, or about to be; its daemon may have died since.
    running,
    answered,
    /// It failed after it had been started.
    unknown,
};

struct claim_record
{
    /// Unique for each claim that was ever written.
    std::string token;
    claim_state state = claim_state::running;
    /// Wall-clock time in milliseconds.
    std::uint64_t expires_ms = 0;
    recorded_outcome outcome;
};

class claim_shard
{
public:
    /// Reads the form that encode writes; an empty text holds no claims.
    static support::result<claim_shard> decode(std::string_view text);
    /// \p change_id names this write.
    std::string encode(std::string_view change_id) const;

    const claim_record* find(std::string_view digest) const;
    void put(const std::string& digest, claim_record record);
    void erase(const std::string& digest);
    /// Returns how many were dropped.
    std::size_t drop_expired(std::uint64_t wall_ms);
    std::size_t size() const { return claims_.size(); }

private:
    std::map<std::string, claim_record, std::less<>> claims_;
};

} // namespace galenarudder::once
