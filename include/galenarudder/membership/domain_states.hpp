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
    /// for display.
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
    /// How long a daemon that has just started waits to be informed before it
    /// takes its domain as not emptied.
    static constexpr support::milliseconds max_uninformed{2000};

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
    /// Returns whether this daemon has to wait until it is informed. The time
    /// counts from the first on_tick.
    bool must_wait(support::time_point now) const
    {
        return !informed_ && (started_at_ == support::time_point() ||
                              now - started_at_ < max_uninformed);
    }

private:
    bool
    merge(std::string_view domain, const domain_state& state, bool& ours_newer);
    void supersede_before(store_revision read_at,
                          std::span<const std::string_view> still_emptied,
                          support::time_point now);
    std::vector<std::string> encode_all(support::time_point now) const;
    void spread(support::time_point now);

    std::map<std::string, domain_state, std::less<>> states_;
    /// Domains without a state were not emptied at this revision.
    store_revision read_at_;
    support::time_point started_at_{};
    support::random_engine random_;
    bool informed_ = false;
    /// How often the last change is still to be sent.
    std::size_t rounds_left_ = 0;
    support::time_point next_round_{};
    support::time_point next_ask_{};
    support::time_point next_reminder_{};
};

} // namespace galenarudder::membership
