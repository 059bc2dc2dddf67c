/// \file
/// How a daemon knows that the store holds no newer document, as a state
/// machine without I/O.
///
/// An open watch proves nothing: its answer may be lost while the connection is
/// sound. One member of the fleet therefore asks the store at an interval for
/// changes and tells the observers, the first members of each failure domain,
/// what it learned. An observer that has heard nothing recent asks the store
/// itself, each after a time of its own, so that the first that the store
/// answers spares the others the call. The calls of the store do not depend on
/// the number of members or failure domains.
#pragma once

#include "galenarudder/support/call.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::rollout {

/// Topic of the messages between daemons that carry a confirmation.
inline constexpr const char* confirmation_topic = "store-confirmation";

/// A member that may ask the store, with the failure domain that it is in.
struct observer_candidate
{
    std::string_view member;
    std::string_view domain;
    /// Order of the members; the same at every daemon.
    std::uint64_t hash = 0;
};

/// Returns the observers, in the order in which they ask the store: the first
/// members of all failure domains, then the second ones, up to \p per_domain.
std::vector<support::member_id>
select_observers(std::span<const observer_candidate> candidates,
                 std::size_t per_domain);

/// A statement about the store.
struct confirmation
{
    /// The newest version that the store held.
    std::uint64_t version = 0;
    /// Time since the store answered, at least.
    support::milliseconds age{0};
};

std::string encode(const confirmation& stated);
/// Returns nullopt if \p payload is malformed.
std::optional<confirmation> decode_confirmation(std::string_view payload);

/// When this daemon asks the store, and what it holds true of the store.
class store_confirmation
{
public:
    /// Interval at which the first observer asks the store.
    static constexpr support::milliseconds interval{1000};
    /// Time in which all observers ask once, one after the other, while the
    /// store answers none of them. Longer than a call without an answer.
    static constexpr support::milliseconds retry_round{2000};

    /// Begins to wait for confirmations. Later calls have no effect.
    void start(support::time_point now);
    /// At \p as_of the store held nothing newer than \p version, by its answer
    /// or by what another observer states. Counts once this daemon has that
    /// version.
    void on_confirmed(std::uint64_t version, support::time_point as_of);
    /// Returns whether the observer at \p rank of \p observers has to ask the
    /// store, as it has \p version in force.
    bool is_due(std::size_t rank,
                std::size_t observers,
                std::uint64_t version,
                support::time_point now);
    /// Returns when the observer at \p rank of \p observers asks again after a
    /// call in vain. The turns follow from the last confirmation, which all
    /// observers know, so that they spread over the round without messages: a
    /// store that serves again is asked soon, whatever the observers did
    /// before.
    support::time_point next_turn(std::size_t rank,
                                  std::size_t observers,
                                  support::time_point now) const;
    /// Returns whether no observer but the first has a cause to ask the store.
    bool is_recent(support::time_point now) const;
    /// Returns the time since the store is known to hold nothing newer.
    support::duration age(support::time_point now) const
    {
        return now - as_of_;
    }

private:
    struct statement
    {
        std::uint64_t version = 0;
        support::time_point as_of{};
    };

    bool started_ = false;
    support::time_point as_of_{};
    /// The newest statement; its version may not be in force here yet.
    std::optional<statement> newest_;
};

} // namespace galenarudder::rollout
