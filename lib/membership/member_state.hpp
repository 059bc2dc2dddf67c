// State of the membership protocol, shared by the files that implement it:
// sending and receiving (member.cpp), dissemination of updates
// (member_updates.cpp), failure detection (member_probe.cpp), joining and
// anti-entropy (member_sync.cpp).
#pragma once

#include "galenarudder/membership/broadcast_queue.hpp"
#include "galenarudder/membership/member.hpp"
#include "galenarudder/membership/member_table.hpp"
#include "galenarudder/membership/suspicion.hpp"
#include "galenarudder/support/token_bucket.hpp"

#include <deque>
#include <optional>

namespace galenarudder::membership {

/// One probe of a member: direct first, then indirect through relays.
struct probe_round
{
    member_hash target = 0;
    std::uint64_t number = 0;
    support::time_point indirect_at{};
    support::time_point ends_at{};
    bool indirect_requested = false;
    unsigned relay_count = 0;
    unsigned nack_count = 0;
};

/// A probe on behalf of another member.
struct relayed_probe
{
    std::uint64_t number = 0;
    config::endpoint requester;
    member_hash requester_hash = 0;
    std::uint64_t requester_probe_number = 0;
    support::time_point nack_at{};
};

/// Buckets of a failure domain whose records are still to be requested.
struct pending_pull
{
    std::string domain;
    std::uint64_t bucket_mask = 0;
};

struct member::state
{
    state(const member_record& self,
          std::vector<config::endpoint> introducers,
          std::vector<config::shared_key> keys,
          std::uint64_t seed);

    // Sending and receiving.
    /// Sends \p body with as many of \p leading_records and then as many
    /// updates as fit; returns how many of \p leading_records fitted.
    std::size_t send(const config::endpoint& to,
                     member_hash target,
                     message_body body,
                     std::span<const peer* const> leading_records,
                     support::time_point now);
    void send(const peer& to, message_body body, support::time_point now);
    /// Returns whether a datagram is addressed to this member and not replayed;
    /// counts it otherwise. Resets the configuration version of a restarted
    /// sender. Answers an earlier process of a restarted member with
    /// stale_incarnation if the byte budget allows it.
    bool admit(const message& received,
               const config::endpoint& from,
               support::time_point now);
    void receive(const message& received,
                 const config::endpoint& from,
                 support::time_point now);
    /// Returns whether the byte budget allows a deferrable message; counts it
    /// as held back otherwise.
    bool may_send(support::time_point now);
    std::vector<action> take_actions();

    // Dissemination of updates.
    /// Fills the \p room_bytes left in a datagram to \p target.
    void
    add_updates(message& outgoing, std::size_t room_bytes, const peer* target);
    void add_status_updates(message& outgoing, std::size_t& room_bytes);
    void add_version_updates(message& outgoing, std::size_t& room_bytes);
    status_update make_status_update(const peer& known_peer,
                                     member_hash suspected_by) const;
    void apply_record(const member_record& received,
                      bool disseminate,
                      support::time_point now);
    void apply_status_update(const status_update& update,
                             support::time_point now);
    void apply_version(peer& known_peer, std::uint64_t version);
    void apply_sender_state(const message& received, support::time_point now);
    void refute_report_about_self(std::uint64_t incarnation,
                                  member_state reported_state);
    void raise_incarnation(std::uint64_t above);
    void change_state(peer& known_peer,
                      std::uint64_t incarnation,
                      member_state reported_state,
                      support::time_point now);
    /// Reports a changed record to the rest of the daemon.
    void report_change(const peer& known_peer, bool only_version = false);
    bool is_small_fleet() const;
    /// Requests the record of a member at the end of \c receive.
    void request_record(member_hash unknown_member);
    void gossip_now(std::size_t fanout, support::time_point now);
    unsigned transmission_limit() const;

    // Failure detection.
    void probe_tick(support::time_point now);
    void start_probe(support::time_point now);
    void request_indirect_probes(support::time_point now);
    void on_probe_failed(support::time_point now);
    void relay_tick(support::time_point now);
    void suspect(peer& known_peer,
                 member_hash suspected_by,
                 support::time_point now);
    void suspicion_tick(support::time_point now);
    /// Inserts a member at a random position of the current probe cycle.
    void insert_into_probe_order(const peer& added);
    /// Detects a pause of this process; discards or postpones the timeouts that
    /// passed meanwhile.
    void compensate_pause(support::time_point now);
    void adjust_health_penalty(int steps);

    // Joining and anti-entropy.
    void join_tick(support::time_point now);
    void sync_tick(support::time_point now);
    void reconnect_tick(support::time_point now);
    void purge_tick(support::time_point now);
    void send_join(const config::endpoint& destination,
                   support::time_point now);
    void join_random_introducer(support::time_point now);
    bool is_live_endpoint(const config::endpoint& gossip) const;
    void queue_join(const config::endpoint& introducer);
    void pending_join_tick(support::time_point now);
    digest own_digest(bool wants_reply) const;
    std::vector<std::uint32_t>
    own_bucket_digests(std::string_view domain) const;
    void compare_digests(const digest& theirs,
                         const peer& sender,
                         support::time_point now);
    void plan_pulls(const domain_digest& theirs);
    void send_records(std::vector<const peer*> records,
                      const config::endpoint& to,
                      member_hash target,
                      support::time_point now);

    // One handler for each message type.
    struct envelope
    {
        const message& received;
        const config::endpoint& from;
        member_hash sender;
        support::time_point now;
    };
    void on(const probe& body, const envelope& incoming);
    void on(const ack& body, const envelope& incoming);
    void on(const nack& body, const envelope& incoming);
    void on(const probe_request& body, const envelope& incoming);
    void on(const gossip&, const envelope&) {}
    void on(const sync&, const envelope&) {}
    void on(const join& body, const envelope& incoming);
    void on(const digest& body, const envelope& incoming);
    void on(const bucket_digests& body, const envelope& incoming);
    void on(const pull& body, const envelope& incoming);
    void on(const fetch& body, const envelope& incoming);
    void on(const stale_incarnation& body, const envelope& incoming);
    void on(const extension& body, const envelope& incoming);

    support::duration jittered(support::duration span);

    member_table table;
    std::vector<config::endpoint> introducers;
    /// Introducers from the directory that are no live members; each is sent a
    /// join.
    std::vector<config::endpoint> pending_joins;
    std::vector<config::shared_key> keys;
    support::random_engine random;
    member_counters counters;
    std::vector<action> actions;

    std::uint64_t start_incarnation;
    std::uint64_t next_sequence = 1;
    support::token_bucket budget;
    /// Updates of records and states to be disseminated.
    broadcast_queue updates;
    /// Updates of configuration versions to be disseminated.
    broadcast_queue version_updates;
    /// Members whose records are requested after the current message.
    std::vector<member_hash> members_to_fetch;
    /// Whether the current message made this member raise its incarnation.
    bool incarnation_raised = false;

    std::optional<probe_round> round;
    std::vector<member_hash> probe_order;
    std::size_t probe_position = 0;
    std::uint64_t next_probe_number = 1;
    support::time_point next_probe_at{};
    std::vector<relayed_probe> relayed_probes;
    suspicion_list suspicions;
    /// Lifeguard's local health multiplier: 0 is healthy; the probe interval
    /// and timeout are multiplied by it plus 1.
    int health_penalty = 0;

    std::deque<pending_pull> pending_pulls;
    support::time_point first_tick{};
    support::time_point last_tick{};
    support::time_point next_join_at{};
    unsigned join_attempts = 0;
    support::time_point next_digest_at{};
    support::time_point next_reconnect_at{};
    support::time_point next_introducer_join_at{};
};

} // namespace galenarudder::membership
