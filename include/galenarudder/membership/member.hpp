/// \file
/// Membership of one daemon as a state machine without I/O. Datagrams, ticks
/// and local changes go in with their time; datagrams to send and changes of
/// state come out.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/membership/record.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::membership {

/// A datagram to send.
struct send_datagram
{
    config::endpoint to;
    std::string payload;
};

/// A member's record changed; the whole new record is given.
struct record_changed
{
    member_record record;
    /// Nothing but the configuration version changed.
    bool only_version = false;
};

using action = std::variant<send_datagram, record_changed>;

/// Counters of the protocol, for metrics.
struct member_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    /// All that were not taken; the reasons are counted below.
    std::uint64_t datagrams_dropped = 0;
    std::uint64_t malformed = 0;
    std::uint64_t oversized = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t replayed = 0;
    /// Sent by a process of the member that has been replaced since.
    std::uint64_t former_life = 0;
    /// Meant for another member.
    std::uint64_t misdirected = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t suspicions = 0;
    /// Members declared dead by this one or on another's word.
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    /// Gossip and anti-entropy that waited for the byte budget.
    std::uint64_t held_back = 0;
    /// Spans in which this process did not run.
    std::uint64_t pauses = 0;
};

class member
{
public:
    /// \p self is the daemon's own record; \p introducers are contacted until
    /// another member is known.
    member(member_record self,
           std::vector<config::endpoint> introducers,
           std::vector<config::shared_key> keys,
           std::uint64_t seed);
    ~member();
    member(const member&) = delete;
    member& operator=(const member&) = delete;

    /// Takes one datagram; malformed or unauthenticated ones are counted and
    /// dropped.
    std::vector<action> on_datagram(const config::endpoint& from,
                                    std::string_view payload,
                                    support::time_point now);

    /// Does what is due; call it every \c tick_interval.
    std::vector<action> on_tick(support::time_point now);

    /// Changes the own record's service, slots, state or configuration
    /// version and tells some members at once; id, incarnation and addresses
    /// stay.
    std::vector<action> update_self(const member_record& changed,
                                    support::time_point now);

    /// Adds introducers found in the store's directory.
    void add_introducers(std::span<const config::endpoint> found);

    /// Takes records that are known from elsewhere, such as a snapshot,
    /// without passing them on.
    std::vector<action> load(std::span<const member_record> records,
                             support::time_point now);

    const member_record& self() const;
    /// The record of one member; null when it is unknown.
    const member_record* find(std::string_view id) const;
    /// Number of known members that are present, the own one included.
    std::size_t live_count() const;
    /// Present members of the own failure domain that come before this one in
    /// the order of their hashes.
    std::size_t rank_in_domain() const;
    /// Bytes that may be sent at once; the budget's use for metrics.
    double budget_left() const;
    /// All known records, the own one included, ordered by id.
    std::vector<member_record> records() const;
    const member_counters& counters() const;

    static constexpr support::milliseconds tick_interval{100};

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::membership
