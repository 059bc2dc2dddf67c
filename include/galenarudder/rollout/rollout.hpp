/// \file
/// Distribution of the configuration as a state machine without I/O. Its inputs
/// are answers of the store and messages from peers; its outputs are reads and
/// watches of the store, pushes and pulls between peers, builds of documents
/// and adoptions. A lower version than the one in force is never adopted.
///
/// The work of an event does not grow with the size of a document: all that
/// does is in rollout::build, which runs elsewhere. One document is built at a
/// time; of those that arrive meanwhile only the newest is kept.
#pragma once

#include "galenarudder/membership/record.hpp"
#include "galenarudder/rollout/build.hpp"
#include "galenarudder/rollout/store_confirmation.hpp"
#include "galenarudder/rollout/transfer.hpp"
#include "galenarudder/rollout/version_lag.hpp"
#include "galenarudder/store/change_index.hpp"
#include "galenarudder/store/platform_store.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::rollout {

/// Call build() with \p input on another thread, then on_built with its result.
struct build_document
{
    std::uint64_t build_number = 0;
    std::shared_ptr<const build_input> input;
};

/// Put \p adopted in force.
struct adopt
{
    built_document_ptr adopted;
    adoption_timing timing;
};

/// Give up \p document, which is no longer needed, on another thread, since
/// freeing it takes long.
struct release_document
{
    std::shared_ptr<const void> document;
};

/// Read the configuration key of the store once.
struct read_store
{
    store::read_freshness freshness = store::read_freshness::newest;
};

/// Wait until the index of the configuration key differs from \p known_index,
/// then call on_watch_answer or on_watch_failed with \p watch_number.
struct watch_store
{
    std::uint64_t watch_number = 0;
    store::change_index known_index;
};

/// Ask the store, without waiting, whether the index of the configuration key
/// differs from \p known_index, then call on_store_asked or on_ask_failed.
struct ask_store
{
    store::change_index known_index;
};

/// Tell an observer what is known of the store.
struct send_confirmation
{
    support::member_id observer;
    confirmation stated;
};

/// Write \p document to the store if the index of the key is still
/// \p expected_index: the store has an older document than this daemon, or
/// none.
struct restore_store
{
    std::string document;
    store::change_index expected_index;
};

/// Send a transfer to a peer.
struct push_to_peer
{
    support::member_id peer;
    config::endpoint destination;
    std::string encoded;
};

/// Fetch a newer document than \p current_id from a peer.
struct pull_from_peer
{
    support::member_id peer;
    config::endpoint source;
    document_id current_id;
};

using action = std::variant<build_document,
                            adopt,
                            release_document,
                            read_store,
                            watch_store,
                            ask_store,
                            send_confirmation,
                            restore_store,
                            push_to_peer,
                            pull_from_peer>;

/// Counters, exported as metrics.
struct rollout_counters
{
    std::uint64_t adopted = 0;
    /// Documents with a lower version that were received and refused.
    std::uint64_t reversions_refused = 0;
    /// Documents with a lower version that were adopted; must stay 0.
    std::uint64_t reversions_adopted = 0;
    /// Documents with the version in force, but another change id.
    std::uint64_t conflicts = 0;
    std::uint64_t invalid = 0;
    std::uint64_t pushes = 0;
    /// Pushes that only offered the document.
    std::uint64_t offers = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pulls_failed = 0;
    /// Transfers received as a full document.
    std::uint64_t whole_documents = 0;
    /// Transfers received as a patch.
    std::uint64_t patches = 0;
    /// Documents that were dropped unread, since the same was built or a newer
    /// one had arrived.
    std::uint64_t superseded = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t store_watches = 0;
    std::uint64_t store_restores = 0;
    /// Members that this one asked to watch the store in its place.
    std::uint64_t handovers = 0;
    /// Members that did not answer a standby's check of the watchers.
    std::uint64_t silent_watchers = 0;
    /// Times that this observer asked the store for changes.
    std::uint64_t store_asks = 0;
    /// Those that got no answer.
    std::uint64_t store_asks_failed = 0;
    /// Confirmations that other observers stated.
    std::uint64_t confirmations_heard = 0;
};

class rollout
{
public:
    /// \p watchers members of each failure domain watch the store; the others
    /// receive changes from peers. \p read_stored reads the store's documents.
    rollout(std::string member,
            std::string domain,
            std::uint64_t seed,
            std::size_t watchers = watchers_per_domain,
            document_reader read_stored = {});
    ~rollout();
    rollout(const rollout&) = delete;
    rollout& operator=(const rollout&) = delete;

    /// Takes a complete document from an operator or the replay of a trace, and
    /// builds it at once, on the calling thread.
    std::vector<action> on_document(std::string_view text,
                                    support::time_point now);
    /// The store answered a read; \p index is the default if it has no
    /// document.
    std::vector<action> on_store_answer(std::string_view text,
                                        const store::change_index& index,
                                        support::time_point now);
    /// Like on_store_answer, for an answer that may be some seconds old: it may
    /// bring a document, but not tell that there is none or an older one.
    std::vector<action> on_stale_answer(std::string_view text,
                                        const store::change_index& index,
                                        support::time_point now);
    /// A read of the store failed.
    std::vector<action> on_store_unavailable(support::time_point now);
    std::vector<action> on_watch_answer(std::uint64_t watch_number,
                                        std::string_view text,
                                        const store::change_index& index,
                                        support::time_point now);
    std::vector<action> on_watch_failed(std::uint64_t watch_number,
                                        support::time_point now);
    /// The store answered ask_store; \p text is empty if the index did not
    /// change.
    std::vector<action> on_store_asked(std::string_view text,
                                       const store::change_index& index,
                                       support::time_point now);
    /// The store did not answer ask_store.
    std::vector<action> on_ask_failed(support::time_point now);
    /// Another observer states what it knows of the store.
    void on_confirmation(const confirmation& heard, support::time_point now);
    /// The build with that number ended. Every build must end so, since no
    /// other starts before.
    std::vector<action>
    on_built(std::uint64_t build_number,
             const support::result<built_document_ptr>& built,
             support::time_point now);

    /// Takes an authenticated transfer from a peer or an operator. \p sender is
    /// empty when it is not a peer.
    std::vector<action> on_transfer(std::string_view encoded,
                                    const support::member_id& sender,
                                    support::time_point now);
    /// The answer to pull_from_peer; empty when the peer has no newer document.
    std::vector<action> on_pull_answer(const support::member_id& peer,
                                       std::string_view encoded,
                                       support::time_point now);
    std::vector<action> on_pull_failed(const support::member_id& peer,
                                       support::time_point now);
    /// A push was refused or not answered; it is sent to another peer instead.
    std::vector<action> on_push_failed(const support::member_id& peer,
                                       support::time_point now);

    /// Takes the record of a member whenever membership changes it.
    void on_member(const membership::member_record& record,
                   support::time_point now);
    /// The introducers in the store were listed. If the first listing names no
    /// other member, a new fleet starts.
    void on_directory_read(bool names_others);
    /// Records contact with a peer: an authenticated message arrived.
    void on_peer_message(support::time_point now);
    std::vector<action> on_tick(support::time_point now);
    /// This daemon will stop: if it watches the store, the members that are
    /// next in the order are asked to do so from now on.
    std::vector<action> on_stopping(support::time_point now);

    /// Encodes the transfer that updates a peer from the document \p peer_id;
    /// empty when the peer is up to date.
    std::string transfer_for(const document_id& peer_id) const;

    /// Returns the document in force; null before the first adoption.
    const built_document_ptr& built() const;
    /// Returns the version in force; 0 before the first adoption.
    std::uint64_t version() const;
    /// Returns the id of the document in force.
    const document_id& current_id() const;
    /// Returns whether this daemon is one of the watchers of its failure
    /// domain, as of the last tick.
    bool is_watcher() const;
    const rollout_counters& counters() const;
    /// Returns the time since the store is known to hold nothing newer than the
    /// document in force; empty if this daemon is no observer.
    std::optional<support::duration>
    confirmation_age(support::time_point now) const;
    /// Returns how long newer versions than the one in force were known.
    const version_lag& lag() const;

    /// Members of each failure domain that watch the store.
    static constexpr std::size_t watchers_per_domain = 2;
    /// Members of each failure domain that check the watchers.
    static constexpr std::size_t standbys_per_domain = 2;
    /// Number of peers that are sent a push at each adoption.
    static constexpr std::size_t push_fan_out = 4;
    /// Larger changes are only offered, so that a peer that has the document
    /// from elsewhere does not receive it again.
    static constexpr std::size_t max_pushed_bytes = 16 * 1024;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::rollout
