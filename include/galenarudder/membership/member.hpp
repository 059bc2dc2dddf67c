/// \file
/// Group membership of one daemon according to SWIM and Lifeguard, as a state
/// machine without I/O. Its inputs are datagrams, ticks and changes of the own
/// record, each with its time; its outputs are datagrams to send and changes of
/// records.
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

/// A member's record changed; holds the complete new record.
struct record_changed
{
    member_record record;
    /// Only the configuration version changed.
    bool only_version = false;
};

/// A live member sent a message for another part of the daemon.
struct extension_received
{
    support::member_id peer;
    std::string topic;
    std::string payload;
};

using action = std::variant<send_datagram, record_changed, extension_received>;

/// Protocol counters, exported as metrics.
struct member_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    /// All datagrams that were dropped; the reasons are counted below.
    std::uint64_t datagrams_dropped = 0;
    std::uint64_t malformed = 0;
    std::uint64_t oversized = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t replayed = 0;
    /// Sent by an earlier incarnation: a process that has since been replaced.
    std::uint64_t former_life = 0;
    /// Addressed to another member, or sent by this one.
    std::uint64_t misdirected = 0;
    std::uint64_t probes_failed = 0;
    std::uint64_t suspicions = 0;
    /// Members declared dead by this member or reported dead by another.
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    /// Deferrable messages that were not sent because the byte budget was
    /// spent.
    std::uint64_t held_back = 0;
    /// Pauses in which this process did not run.
    std::uint64_t pauses = 0;
};

class member
{
public:
    /// \p self is the daemon's own record. While no other member is live, the
    /// member sends joins to \p introducers.
    member(member_record self,
           std::vector<config::endpoint> introducers,
           std::vector<config::shared_key> keys,
           std::uint64_t seed);
    ~member();
    member(const member&) = delete;
    member& operator=(const member&) = delete;

    /// Processes one datagram; counts and drops it if it is malformed,
    /// unauthenticated, replayed or misdirected.
    std::vector<action> on_datagram(const config::endpoint& from,
                                    std::string_view payload,
                                    support::time_point now);

    /// Performs the work that is due. Must be called every \c tick_interval.
    std::vector<action> on_tick(support::time_point now);

    /// Changes service, slots, state and configuration version of the own
    /// record and sends the update to some members at once. The other fields of
    /// \p changed are ignored.
    std::vector<action> update_self(const member_record& changed,
                                    support::time_point now);

    /// Sends \p payload, of at most max_extension_bytes, to the part of the
    /// daemon \p peer that \p topic names. Datagrams may be lost, and arrive
    /// late or twice. Returns no action if the peer is unknown or dead.
    std::vector<action> send_extension(std::string_view peer,
                                       std::string topic,
                                       std::string payload,
                                       support::time_point now);

    /// Adds introducers from the directory in the store.
    void add_introducers(std::span<const config::endpoint> introducers);

    /// Adds records from another source, such as a snapshot, without
    /// disseminating them.
    std::vector<action> add_records(std::span<const member_record> records,
                                    support::time_point now);

    const member_record& self() const;
    /// Returns the record of one member; null when the id is unknown.
    const member_record* find(std::string_view id) const;
    /// Returns the number of live members, this one included.
    std::size_t live_count() const;
    /// Returns the number of live members of the own failure domain whose hash
    /// is lower than that of this member.
    std::size_t position_in_domain() const;
    /// Returns the bytes that may be sent at once, for metrics; negative while
    /// the budget is overdrawn.
    double available_budget_bytes() const;
    /// Returns all known records, the own one included, ordered by id.
    std::vector<member_record> records() const;
    const member_counters& counters() const;

    static constexpr support::milliseconds tick_interval{100};

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::membership
