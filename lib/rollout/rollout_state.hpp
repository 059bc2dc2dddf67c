/// \file
/// The state of rollout::rollout, shared by the files that implement it.
#pragma once

#include "galenarudder/rollout/rollout.hpp"

#include <deque>
#include <map>
#include <optional>

namespace galenarudder::rollout {

using support::milliseconds;
using support::time_point;

inline constexpr milliseconds first_backoff{250};
inline constexpr milliseconds max_backoff{2000};

struct known_peer
{
    config::endpoint operators;
    std::string domain;
    std::uint64_t version = 0;
    bool accepts_transfers = false;
    /// The member did not answer; it is no watcher until then.
    time_point silent_until{};
    /// The member was slow to answer a pull; others are asked first until then.
    time_point slow_until{};
};

/// An adopted document and the patch that led to it.
struct change
{
    document_id from;
    document_id to;
    /// Empty if there is none.
    std::string patch;
};

/// A document that waits to be built.
struct pending_document
{
    transfer received;
    /// Index in the store; empty if it did not come from there.
    std::optional<store::change_index> index;
    document_source source = document_source::operators;
    time_point received_at{};
    time_point build_started_at{};
};

struct rollout::state
{
    support::member_id member;
    std::string domain;
    std::size_t watchers = watchers_per_domain;
    support::random_engine random;
    rollout_counters counters;
    document_reader read_stored;
    built_document_ptr current;
    document_id current_id;
    /// The newest adoptions, the last one last.
    std::deque<change> recent_changes;

    std::uint64_t build_number = 0;
    /// The document that is being built; its body is left out.
    std::optional<pending_document> building;
    std::optional<pending_document> next_from_store;
    std::optional<pending_document> next_from_peer;
    /// Hash and version of the store's last document; version 0 until it is
    /// built.
    document_id stored_id;
    std::map<support::member_id, known_peer> peers;

    bool started = false;
    time_point started_at{};
    /// When a member of the own failure domain was first heard of, the last
    /// time.
    time_point heard_of_member_at{};
    /// The first watch has been opened, or another member asked for it.
    bool settled = false;
    time_point last_contact{};
    time_point next_read{};
    bool store_answered = false;
    /// Whether the first listing of introducers named no other member.
    std::optional<bool> new_fleet;
    /// When a first document was heard of, which is pulled from a peer.
    std::optional<time_point> first_heard_at;
    milliseconds read_backoff = first_backoff;

    /// This daemon watches in place of another until then.
    time_point watches_for_other_until{};
    bool stopping = false;
    /// Others were asked to watch, since this daemon stops or its watch failed.
    bool handed_over = false;
    time_point next_watcher_check{};
    /// The watcher that a standby is asking; empty when there is none.
    support::member_id checked_watcher;
    /// Members that were asked to watch and may not have heard of it.
    std::vector<support::member_id> asked_to_watch;

    bool watching = false;
    bool watch_open = false;
    std::uint64_t watch_number = 0;
    store::change_index known_index;
    time_point next_watch{};
    milliseconds watch_backoff = first_backoff;

    store_confirmation confirmed;
    /// The members that ask the store, in their order, and until when this
    /// order is used.
    std::vector<support::member_id> observers;
    time_point next_observer_selection{};
    /// When the store was asked; empty if no call is under way.
    std::optional<time_point> asked_at;
    /// What the store is asked for changes of.
    store::change_index asked_index;
    time_point next_ask{};
    /// When the store was asked that has answered since; its document may still
    /// have to be built before the answer can be stated.
    std::optional<time_point> unshared_answer;

    /// The peers that are being asked for a newer document.
    std::vector<support::member_id> pull_peers;
    time_point next_pull{};
    /// The newest version reported by membership or a transfer.
    std::uint64_t highest_seen_version = 0;
    unsigned push_retries = 0;
    version_lag lag;

    milliseconds jitter(milliseconds max_wait);
    milliseconds back_off(milliseconds& backoff);
    bool is_settled(time_point now) const;
    bool should_watch(time_point now) const;
    bool watches(const known_peer& peer,
                 const support::member_id& id,
                 time_point now) const;
    std::size_t watchers_before(std::string_view id,
                                std::string_view of_domain,
                                time_point now) const;
    std::vector<support::member_id> watch_order(time_point now) const;
    void hand_over(std::vector<action>& actions, time_point now);
    void pass_over(const support::member_id& id, time_point now);
    void take_over(time_point now);
    void check_watcher_tick(std::vector<action>& actions, time_point now);
    std::vector<support::member_id> peers_with_older_version() const;
    std::optional<support::member_id> next_pull_peer(time_point now);
    void hear_of(std::uint64_t version, time_point now);
    void start_next_build(std::vector<action>& actions, time_point now);
    bool may_build(const pending_document& pending) const;
    void start_build(pending_document next,
                     std::vector<action>& actions,
                     time_point now);
    void finish_build(const pending_document& done,
                      const support::result<built_document_ptr>& built,
                      std::vector<action>& actions,
                      time_point now);
    void adopt_if_newer(const pending_document& done,
                        const built_document_ptr& built,
                        std::vector<action>& actions,
                        time_point now);
    void adopt_document(const pending_document& done,
                        const built_document_ptr& adopted,
                        std::vector<action>& actions,
                        time_point now);
    std::string patch_from(const document_id& peer_id) const;
    std::string push_payload_for(const support::member_id& to, time_point now);
    void push(std::vector<action>& actions, time_point now);
    void push_to(const support::member_id& to,
                 std::vector<action>& actions,
                 time_point now);
    void take_transfer(std::string_view encoded,
                       const support::member_id& sender,
                       std::vector<action>& actions,
                       time_point now);
    void take_document_of_store(std::string_view serialized,
                                const std::optional<store::change_index>& index,
                                std::vector<action>& actions,
                                time_point now);
    void restore(const store::change_index& index,
                 std::vector<action>& actions);
    void watch_tick(std::vector<action>& actions, time_point now);
    void observe_tick(std::vector<action>& actions, time_point now);
    std::size_t observer_rank(time_point now);
    void share_answer(std::vector<action>& actions, time_point now);
    void pull_tick(std::vector<action>& actions, time_point now);
    void read_tick(std::vector<action>& actions, time_point now);
};

} // namespace galenarudder::rollout
