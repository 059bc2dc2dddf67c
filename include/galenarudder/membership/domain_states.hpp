/// \file
/// Which failure domains the operators have emptied, as a state machine without
/// I/O. It merges what the store states with messages of other daemons, so that
/// daemons learn of it without a store.
#pragma once

#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::membership {

/// Position of a change in the history of the store. Orders changes without a
/// clock: a restored store gives numbers out again, in a higher era.
struct store_revision
{
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    // A false finding of clang-tidy 14.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto operator<=>(const store_revision&,
                            const store_revision&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/// What is known of one failure domain.
struct domain_state
{
    bool emptied = false;
    store_revision revision;
    /// When the first daemon learned of the state, by this daemon's clock. Only
    /// for display. Peers state it, so that it outlives a restart.
    support::time_point since;
};

/// A domain that a reading of the store shows as emptied.
struct emptied_domain
{
    std::string domain;
    store_revision revision;
};

/// A message to the same part of another daemon.
struct domain_message
{
    std::string peer;
    std::string payload;
};

/// The state with the higher revision wins, so messages may be lost, late or
/// repeated. All messages have at most max_message_bytes.
///
/// Cost: a change is sent to 4 random peers three times within a second. While
/// any domain is emptied, each daemon sends one message a second. Otherwise
/// only daemons that have just started send any.
class domain_states
{
public:
    static constexpr std::size_t max_message_bytes = 448;
    static constexpr std::size_t max_domain_bytes = 64;
    /// States of more domains are ignored.
    static constexpr std::size_t max_domains = 256;
    /// How long a daemon that knows no live peer waits for the store before it
    /// takes its domain as not emptied. It has to join the fleet before it
    /// knows one, which takes longer on a slow VM.
    static constexpr support::milliseconds max_alone{5000};
    /// If all live peers, or this many of them, have answered that they do not
    /// know the state either, the fleet was started without a store.
    static constexpr std::size_t max_unaware_peers = 16;
    /// An answer of a daemon that does not number its parts counts after this
    /// time. It has been repeated about four times by then.
    static constexpr support::milliseconds unnumbered_wait{1000};

    /// Returns up to \p count random live peers.
    using peer_source =
        std::function<std::vector<std::string>(std::size_t count)>;

    explicit domain_states(std::uint64_t seed);

    /// The store was read at \p read_at: the domains of \p emptied were
    /// emptied then, and no others.
    void on_reading(std::span<const emptied_domain> emptied,
                    store_revision read_at,
                    support::time_point now);
    /// The store reported a change.
    void on_change(std::string_view domain,
                   bool emptied,
                   store_revision revision,
                   support::time_point now);
    /// Another daemon sent \p payload. Returns the replies.
    std::vector<domain_message> on_message(const std::string& peer,
                                           std::string_view payload,
                                           support::time_point now);
    /// Returns the messages that are due. Called at least every 100 ms.
    std::vector<domain_message> on_tick(const peer_source& peers,
                                        support::time_point now);

    bool is_emptied(std::string_view domain) const;
    std::vector<std::string> emptied() const;
    /// Returns the known domains, those that were taken back included.
    const std::map<std::string, domain_state, std::less<>>& states() const
    {
        return states_;
    }
    /// Returns whether the store was read or a peer that knows it has answered.
    bool informed() const { return informed_; }
    /// Returns whether this daemon has to wait until it is informed: while it
    /// knows live peers, and for max_alone without. Counts from the first
    /// on_tick.
    bool must_wait(support::time_point now) const;

private:
    /// The parts of one peer's answer that have arrived.
    struct partial_answer
    {
        std::uint64_t id = 0;
        std::size_t parts = 0;
        store_revision read_at;
        std::set<std::size_t> received;
        std::set<std::string, std::less<>> emptied;
    };

    bool
    merge(std::string_view domain, const domain_state& state, bool& ours_newer);
    void supersede_before(store_revision read_at,
                          const std::set<std::string, std::less<>>& emptied,
                          support::time_point now);
    void on_answer(const std::string& peer,
                   std::string_view kind,
                   std::string_view head,
                   std::set<std::string, std::less<>> emptied,
                   bool has_states,
                   support::time_point now);
    void on_peers(const std::vector<std::string>& live,
                  support::time_point now);
    std::vector<std::string> peers_to_ask(const std::vector<std::string>& live);
    std::vector<std::string> encode_all(support::time_point now);
    void spread(support::time_point now);

    std::map<std::string, domain_state, std::less<>> states_;
    /// Domains without a state were not emptied at this revision.
    store_revision read_at_;
    support::time_point started_at_{};
    support::random_engine random_;
    bool informed_ = false;
    /// Number of the last answer that was sent.
    std::uint64_t answer_id_ = 0;
    std::map<std::string, partial_answer, std::less<>> partial_answers_;
    /// When a live peer was last known, or the start.
    support::time_point last_peer_at_{};
    /// Peers that answered that they do not know the state.
    std::set<std::string, std::less<>> unaware_peers_;
    bool all_unaware_ = false;
    /// When the first answer without numbered parts arrived.
    support::time_point unnumbered_since_{};
    /// How often the last change is still to be sent.
    std::size_t rounds_left_ = 0;
    support::time_point next_round_{};
    support::time_point asked_at_{};
    support::time_point next_reminder_{};
};

} // namespace galenarudder::membership
