/// \file
/// The limits of organisations at one daemon: entry side, owner side and own
/// shares, as a state machine without I/O.
#pragma once

#include "galenarudder/organisations/limit_client.hpp"
#include "galenarudder/organisations/limit_owner.hpp"
#include "galenarudder/organisations/share_book.hpp"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::organisations {

/// Send \c payload to the limiter of another daemon.
struct send_message
{
    support::member_id to;
    std::string payload;
};

/// A waiting call was decided.
struct call_decided
{
    admission decision;
};

using action = std::variant<send_message, call_decided>;

/// The limit of an organisation in the configuration.
struct organisation_rate
{
    std::string_view name;
    double calls_per_s = 0;
    double burst = 0;
};

struct limiter_counters
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t malformed = 0;
};

/// In no window of the tolerance's length do more calls of an organisation pass
/// in the fleet than limit and tolerance allow. All events must come from one
/// thread at a time. The times must come from a clock that goes on while the
/// host is suspended.
class limiter
{
public:
    limiter(support::member_id self,
            peer_expectation expects_peers,
            const tolerance& allowed,
            std::uint64_t seed);

    /// Sets the limits in force; organisations with a rate of 0 have none.
    void configure(std::span<const organisation_rate> rates,
                   support::time_point now);
    std::vector<action> on_members(std::span<const observed_member> members,
                                   support::time_point now);
    std::vector<action> on_message(std::string_view peer,
                                   std::string_view payload,
                                   support::time_point now);
    /// Must be called about every 100 ms.
    std::vector<action> on_tick(support::time_point now);

    /// Decides on a call. If it returns waiting, or wants_to_send() is true
    /// afterwards, flush() must be called soon.
    admission admit(organisation_hash organisation, support::time_point now)
    {
        return client_.admit(organisation, now);
    }
    /// flush() must be called afterwards.
    void on_reply_late(organisation_hash organisation, call_number call)
    {
        client_.on_reply_late(organisation, call);
    }
    admission on_wait_over(organisation_hash organisation,
                           call_number call,
                           support::time_point now)
    {
        return client_.on_wait_over(organisation, call, now);
    }
    void give_back(const token& unused, support::time_point now)
    {
        client_.give_back(unused, now);
    }
    bool wants_to_send() const { return client_.wants_to_send(); }
    /// Sends the requests that calls led to; several calls share a message.
    std::vector<action> flush(support::time_point now);

    bool has_limit(organisation_hash organisation) const
    {
        return limits_.contains(organisation);
    }
    const client_counters& requests() const { return client_.counters(); }
    const limiter_counters& counters() const { return counters_; }
    const fleet& members() const { return members_; }
    /// Returns the number of organisations with state.
    std::size_t size() const
    {
        return client_.size() + owner_.size() + shares_.size();
    }

private:
    void
    deliver(member_hash from, const message& received, support::time_point now);
    std::vector<action> take_actions(support::time_point now);
    void ask_for_known_count(support::time_point now);

    tolerance allowed_;
    limit_table limits_;
    fleet members_;
    share_book shares_;
    limit_client client_;
    limit_owner owner_;
    outbox outbox_;
    limiter_counters counters_;
    support::time_point last_greeting_{};
    std::size_t next_greeted_ = 0;
};

} // namespace galenarudder::organisations
