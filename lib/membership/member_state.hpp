// The protocol's state, shared by the files that each implement one side of
// it: sending and receiving (member.cpp), news (member_news.cpp), probing
// (member_probe.cpp), joining and anti-entropy (member_sync.cpp).
#pragma once

#include "galenarudder/membership/broadcast_queue.hpp"
#include "galenarudder/membership/member.hpp"
#include "galenarudder/membership/member_table.hpp"
#include "galenarudder/membership/suspicion.hpp"
#include "galenarudder/support/rate_budget.hpp"

#include <deque>
#include <optional>

namespace galenarudder::membership {

/// One probe of a member: direct, then through relays.
struct probe_round
{
    member_hash target = 0;
    std::uint64_t number = 0;
    support::time_point relays_at{};
    support::time_point ends_at{};
    bool asked_relays = false;
    unsigned relays = 0;
    unsigned nacks = 0;
};

/// A probe made for another member.
struct relayed_probe
{
    std::uint64_t number = 0;
    config::endpoint asker;
    member_hash asker_hash = 0;
    std::uint64_t asker_number = 0;
    support::time_point nack_at{};
};

/// Buckets of a failure domain whose records are to be asked for.
struct pending_pull
{
    std::string domain;
    std::uint64_t mask = 0;
};

struct member::state
{
    state(const member_record& self,
          std::vector<config::endpoint> introducers,
          std::vector<config::shared_key> keys,
          std::uint64_t seed);

    // Sending and receiving.
    /// Sends \p body with \p first records and as much news as fits; returns
    /// how many of \p first fitted.
    std::size_t send(const config::endpoint& to,
                     member_hash target,
                     message_body body,
                     std::span<const peer* const> first,
                     support::time_point now);
    void send(const peer& to, message_body body, support::time_point now);
    bool admit(const message& received,
               const config::endpoint& from,
               support::time_point now);
    void receive(const message& received,
                 const config::endpoint& from,
                 support::time_point now);
    /// Whether the byte budget lets traffic go that can wait.
    bool may_send(support::time_point now);
    std::vector<action> take_actions();

    // News.
    void fill(message& sent, std::size_t room, const peer* target);
    void add_statuses(message& sent, std::size_t& room);
    void add_versions(message& sent, std::size_t& room);
    status_news status_of(const peer& known, member_hash accuser) const;
    void take_record(const member_record& heard,
                     bool pass_on,
                     support::time_point now);
    void take_status(const status_news& told, support::time_point now);
    void take_version(peer& known, std::uint64_t version);
    void take_sender(const message& received, support::time_point now);
    void take_word_of_self(std::uint64_t incarnation, member_state told);
    void raise_incarnation(std::uint64_t above);
    void change_state(peer& known,
                      std::uint64_t incarnation,
                      member_state told,
                      support::time_point now);
    void changed(const peer& known, bool only_version = false);
    bool is_small_fleet() const;
    void want(member_hash unknown);
    void gossip_at_once(std::size_t fanout, support::time_point now);
    unsigned transmit_limit() const;

    // Probing.
    void probe_tick(support::time_point now);
    void start_probe(support::time_point now);
    void ask_relays(support::time_point now);
    void probe_failed(support::time_point now);
    void relay_tick(support::time_point now);
    void suspect(peer& known, member_hash accuser, support::time_point now);
    void suspicion_tick(support::time_point now);
    void expect_probe_of(const peer& added);
    void forgive_pause(support::time_point now);
    void change_health(int steps);

    // Joining and anti-entropy.
    void join_tick(support::time_point now);
    void sync_tick(support::time_point now);
    void reconnect_tick(support::time_point now);
    void purge_tick(support::time_point now);
    void contact(const config::endpoint& where, support::time_point now);
    void contact_introducer(support::time_point now);
    bool is_present(const config::endpoint& gossip) const;
    void greet(const config::endpoint& introducer);
    void greet_tick(support::time_point now);
    digest own_digest(bool wants_reply) const;
    std::vector<std::uint32_t> own_buckets(std::string_view domain) const;
    void
    compare(const digest& theirs, const peer& sender, support::time_point now);
    void plan_pulls(const domain_digest& theirs);
    void send_records(std::vector<const peer*> wanted,
                      const config::endpoint& to,
                      member_hash target,
                      support::time_point now);

    // One handler for each kind of message.
    struct envelope
    {
        const message& whole;
        const config::endpoint& from;
        member_hash sender;
        support::time_point now;
    };
    void on(const probe& body, const envelope& in);
    void on(const ack& body, const envelope& in);
    void on(const nack& body, const envelope& in);
    void on(const probe_request& body, const envelope& in);
    void on(const gossip&, const envelope&) {}
    void on(const sync&, const envelope&) {}
    void on(const join& body, const envelope& in);
    void on(const digest& body, const envelope& in);
    void on(const buckets& body, const envelope& in);
    void on(const pull& body, const envelope& in);
    void on(const fetch& body, const envelope& in);
    void on(const stale& body, const envelope& in);

    support::duration jittered(support::duration span);

    member_table table;
    std::vector<config::endpoint> introducers;
    /// Introducers found that are not present, to be contacted.
    std::vector<config::endpoint> to_greet;
    std::vector<config::shared_key> keys;
    support::random_engine random;
    member_counters counters;
    std::vector<action> actions;

    std::uint64_t life;
    std::uint64_t next_sequence = 1;
    support::rate_budget budget;
    broadcast_queue news;
    broadcast_queue version_news_queue;
    /// Members heard of without their record.
    std::vector<member_hash> wanted;
    bool refuted = false;

    std::optional<probe_round> round;
    std::vector<member_hash> probe_order;
    std::size_t probe_position = 0;
    std::uint64_t next_probe_number = 1;
    support::time_point next_probe{};
    std::vector<relayed_probe> relayed;
    suspicion_list suspicions;
    /// Lifeguard's local health: 0 is healthy; timeouts grow with it.
    int health_penalty = 0;

    std::deque<pending_pull> pulls;
    support::time_point first_tick{};
    support::time_point last_tick{};
    support::time_point next_join{};
    unsigned joins_tried = 0;
    support::time_point next_digest{};
    support::time_point next_reconnect{};
    support::time_point next_introducer{};
};

} // namespace galenarudder::membership
