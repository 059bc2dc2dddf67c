/// \file
/// Configuration between daemons as a state machine without I/O. Words from
/// the store and from peers go in; reads, watches, pushes, pulls and adoptions
/// come out. A lower version is never adopted.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/membership/record.hpp"
#include "galenarudder/rollout/transfer.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::rollout {

/// Put \p whole in force.
struct adopt
{
    config::document whole;
};

/// Read the configuration key of the store once.
struct read_store
{
};

/// Wait for a change of the store's key after \p known_index, then report it
/// by on_watch_answer or on_watch_failed with \p watch.
struct watch_store
{
    std::uint64_t watch = 0;
    std::uint64_t known_index = 0;
};

/// Write \p stored to the store if its index is still \p expected_index: the
/// store holds an older document than the fleet.
struct restore_store
{
    std::string stored;
    std::uint64_t expected_index = 0;
};

/// Hand a transfer to a peer.
struct push_to_peer
{
    support::member_id peer;
    config::endpoint where;
    std::string encoded;
};

/// Fetch what is newer than \p held from a peer.
struct pull_from_peer
{
    support::member_id peer;
    config::endpoint where;
    document_id held;
};

using action = std::variant<adopt,
                            read_store,
                            watch_store,
                            restore_store,
                            push_to_peer,
                            pull_from_peer>;

/// Counters, for metrics.
struct rollout_counters
{
    std::uint64_t adopted = 0;
    /// Lower versions that were offered and refused.
    std::uint64_t reversions_refused = 0;
    /// Lower versions that were adopted; stays 0.
    std::uint64_t reversions_adopted = 0;
    /// The version in force offered with another content.
    std::uint64_t conflicts = 0;
    std::uint64_t invalid = 0;
    std::uint64_t pushes = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pulls_failed = 0;
    std::uint64_t whole_documents = 0;
    std::uint64_t patches = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t store_watches = 0;
    std::uint64_t store_restores = 0;
};

class rollout
{
public:
    /// \p watchers members of each failure domain watch the store; the others
    /// hear of changes from peers.
    rollout(std::string member,
            std::string domain,
            std::uint64_t seed,
            std::size_t watchers = watchers_per_domain);
    ~rollout();
    rollout(const rollout&) = delete;
    rollout& operator=(const rollout&) = delete;

    /// A whole document, from an operator or a replay.
    std::vector<action> on_document(std::string_view text,
                                    support::time_point now);
    /// The store answered a read; \p index is 0 when it holds no document.
    std::vector<action> on_store_answer(std::string_view text,
                                        std::uint64_t index,
                                        support::time_point now);
    /// A store read failed or found no document.
    std::vector<action> on_store_unavailable(support::time_point now);
    std::vector<action> on_watch_answer(std::uint64_t watch,
                                        std::string_view text,
                                        std::uint64_t index,
                                        support::time_point now);
    std::vector<action> on_watch_failed(std::uint64_t watch,
                                        support::time_point now);

    /// An authenticated transfer that a peer or an operator handed over.
    /// \p sender may be empty.
    std::vector<action> on_transfer(std::string_view encoded,
                                    const support::member_id& sender,
                                    support::time_point now);
    /// An answer to pull_from_peer; empty when the peer has nothing newer.
    std::vector<action> on_pull_answer(const support::member_id& peer,
                                       std::string_view encoded,
                                       support::time_point now);
    std::vector<action> on_pull_failed(const support::member_id& peer,
                                       support::time_point now);
    /// A push was refused or not answered; another peer gets it instead.
    std::vector<action> on_push_failed(const support::member_id& peer,
                                       support::time_point now);

    /// What membership knows of a member, at every change.
    void on_member(const membership::member_record& record,
                   support::time_point now);
    /// Any authenticated message from a peer: this daemon is not cut off.
    void on_word(support::time_point now);
    std::vector<action> on_tick(support::time_point now);

    /// Encodes what a peer that holds \p held lacks; empty when nothing.
    std::string transfer_for(const document_id& held) const;

    /// The document in force; null before the first.
    const config::document* current() const;
    std::uint64_t version() const;
    /// Names the document in force.
    const document_id& held() const;
    /// Whether this daemon is one of its failure domain's watchers.
    bool watches() const;
    const rollout_counters& counters() const;

    /// Members of each failure domain that watch the store.
    static constexpr std::size_t watchers_per_domain = 2;
    /// Peers that get a push at each adoption.
    static constexpr std::size_t push_fan_out = 4;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::rollout
