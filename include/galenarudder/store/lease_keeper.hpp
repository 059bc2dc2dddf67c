/// \file
/// Keeps one lease: decides when to request, renew and give up a lease, as a
/// state machine without I/O. The store ends a lease that is not renewed: it
/// lapses. The holder gives the lease up before that.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::store {

/// Request a new lease from the store.
struct grant_request
{
    support::duration ttl;
    /// To be passed to \c on_granted with the answer.
    std::uint64_t request_number = 0;
};
/// Renew the lease.
struct renewal_request
{
    std::string lease;
    /// To be passed to \c on_renewed with the answer.
    std::uint64_t request_number = 0;
};
/// The lease was given up, in time or because it has lapsed; the holder must
/// stop relying on it.
struct lease_lost
{
    std::string lease;
};

using lease_action = std::variant<grant_request, renewal_request, lease_lost>;

/// All times are of the holder's monotonic clock. The lease time is counted
/// from when the grant or renewal was \e sent, since the store may have
/// processed it at once. So the holder never considers a lease valid after the
/// lease has lapsed.
class lease_keeper
{
public:
    lease_keeper(support::duration ttl, std::uint64_t seed);

    std::vector<lease_action> on_tick(support::time_point now);
    /// Process the answers to grant_request and renewal_request; an answer to
    /// any but the last request is ignored.
    std::vector<lease_action> on_granted(std::uint64_t request_number,
                                         support::result<std::string> lease,
                                         support::time_point now);
    std::vector<lease_action> on_renewed(std::uint64_t request_number,
                                         const support::result<void>& renewed,
                                         support::time_point now);

    /// The store refused a call under the lease that is held since the lease
    /// has lapsed.
    std::vector<lease_action> on_lapsed(support::time_point now);

    /// Returns whether the lease may be relied on at \p now. Must be called
    /// right before each action under the lease: a process that was paused
    /// learns here that it has to give up its lease.
    bool holds(support::time_point now) const;
    /// Returns the id of the lease; empty when none is held at \p now.
    std::string lease_id(support::time_point now) const;

private:
    enum class phase
    {
        idle,
        granting,
        held,
        renewing
    };
    void retry_later(support::time_point now);
    std::vector<lease_action> give_up(support::time_point now);

    support::duration ttl_;
    support::random_engine random_;
    phase phase_ = phase::idle;
    std::string lease_id_;
    std::uint64_t last_request_number_ = 0;
    /// When the pending request was sent.
    support::time_point sent_at_{};
    /// Until when the lease may be relied on.
    support::time_point valid_until_{};
    support::time_point next_request_at_{};
    unsigned consecutive_failures_ = 0;
};

} // namespace galenarudder::store
