/// \file
/// Keeps one lease as a state machine without I/O: when to grant, renew and
/// give up. The holder treats the lease as lapsed before the store does.
#pragma once

#include "galenarudder/support/error.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::store {

/// Ask the store for a new lease.
struct grant_wanted
{
    support::duration ttl;
    /// Hand back with the answer.
    std::uint64_t request = 0;
};
/// Renew the lease.
struct renew_wanted
{
    std::string lease;
    /// Hand back with the answer.
    std::uint64_t request = 0;
};
/// The lease is no longer held; stop acting on it.
struct lease_lost
{
    std::string lease;
};

using lease_action = std::variant<grant_wanted, renew_wanted, lease_lost>;

/// All times are of the holder's monotonic clock. A lease counts from the
/// moment its grant or renewal was \e sent, since the store may have taken it
/// at once: so the holder's end never lies behind the store's.
class lease_keeper
{
public:
    lease_keeper(support::duration ttl, std::uint64_t seed);

    std::vector<lease_action> on_tick(support::time_point now);
    /// Answers to grant_wanted and renew_wanted; an answer to an earlier
    /// request than the last is ignored.
    std::vector<lease_action> on_granted(std::uint64_t request,
                                         support::result<std::string> lease,
                                         support::time_point now);
    std::vector<lease_action> on_renewed(std::uint64_t request,
                                         const support::result<void>& renewed,
                                         support::time_point now);

    /// Whether the lease may be acted on at \p now. Ask right before each act:
    /// a process that was paused learns here that its lease has lapsed.
    bool holds(support::time_point now) const;
    /// The lease's name; empty when none is held at \p now.
    std::string held(support::time_point now) const;

private:
    enum class phase
    {
        idle,
        granting,
        held,
        renewing
    };
    void retry_later(support::time_point now);
    std::vector<lease_action> lose(support::time_point now);

    support::duration ttl_;
    support::random_engine random_;
    phase phase_ = phase::idle;
    std::string lease_;
    std::uint64_t request_ = 0;
    /// When the request under way was sent.
    support::time_point asked_{};
    /// Until when the lease may be acted on.
    support::time_point safe_until_{};
    support::time_point next_{};
    unsigned failures_ = 0;
};

} // namespace galenarudder::store
