/// \file
/// Limits of organisations as all parts of the limiter use them.
#pragma once

#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace galenarudder::organisations {

/// Identifies an organisation in messages: a hash of its name.
using organisation_hash = std::uint64_t;
/// Identifies a member in messages; equals membership::hash_of of its id.
using member_hash = std::uint64_t;

organisation_hash hash_of(std::string_view name);

/// By how much the calls that pass in one window may exceed a limit.
struct tolerance
{
    support::duration window = std::chrono::seconds(5);
    double overrun_share = 0;
    double overrun_calls = 0;
};

/// A token is valid for this long after the entry sent the request for it. All
/// tokens may be used at the end of it, so it counts against the tolerance.
inline constexpr support::duration token_lifetime =
    std::chrono::milliseconds(200);
/// Time for which a member leaves its share to the owner that polled it.
inline constexpr support::duration lease_time = std::chrono::milliseconds(1500);
/// Time for which an entry's call waits for the owner's reply.
inline constexpr support::duration reply_time = std::chrono::milliseconds(40);
/// A request whose reply has not come after this time is sent again.
inline constexpr support::duration resend_time = std::chrono::milliseconds(20);

/// The limit of one organisation.
struct limit
{
    double calls_per_s = 0;
    /// Tokens that all buckets of the organisation hold together at most: the
    /// burst and a part of the tolerance.
    double capacity = 0;
    /// Since when this daemon enforces a limit.
    support::time_point since{};

    friend bool operator==(const limit&, const limit&) = default;
};

limit make_limit(double calls_per_s,
                 double burst,
                 const tolerance& allowed,
                 support::time_point since);

/// Returns the number of members among which the limit is divided in a fleet of
/// \p known members: one share for each call per second, at least 16, and at
/// most one for each member.
std::size_t share_count(const limit& in_force, std::size_t known);

/// The organisations that have a limit.
using limit_table = std::unordered_map<organisation_hash, limit>;

/// An estimate of events per second that forgets them exponentially, over about
/// a second.
class demand_estimate
{
public:
    void add(double events, support::time_point now);
    double per_s(support::time_point now) const;

private:
    double value_ = 0;
    support::time_point updated_at_{};
};

} // namespace galenarudder::organisations
