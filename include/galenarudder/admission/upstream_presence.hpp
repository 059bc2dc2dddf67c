/// \file
/// Tracks from its announcements which instance of the upstream runs on this VM
/// and whether it accepts calls. Announcements may arrive late, even after the
/// instance that sent them has ended, and may be of another writer: their start
/// times and sequence numbers can be wrong. A state machine without I/O.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::admission {

/// What an instance of an upstream, one run of its process, announces about
/// itself.
struct announcement
{
    /// Identifies the instance, together with \c started_ms.
    std::string instance;
    /// Start of the instance in milliseconds of Unix time; 0 when not stated.
    std::uint64_t started_ms = 0;
    /// Increases with each announcement of an instance; 0 when announcements
    /// are not numbered.
    std::uint64_t sequence = 0;
    /// Whether the instance accepts no more calls.
    bool leaving = false;
    std::string service;
    config::endpoint address;
    std::uint32_t slots = 0;
    /// Remaining time for which the instance is slower because it has just
    /// started.
    support::milliseconds warm_up_remaining{0};
};

/// How an announcement or the passing of time changed the presence.
enum class presence_change
{
    /// No change.
    none,
    /// The announcement is older than the last accepted one and was ignored.
    stale,
    /// A new instance, or the current one after an absence, accepts calls.
    arrived,
    /// The current instance accepts no more calls; it may still be running.
    left,
    /// No announcement arrived within the permitted time.
    lapsed
};

/// The current instance is the one whose announcement was accepted last. One
/// that started later replaces it at once. Any other replaces it only after two
/// announcements in order, while the current one is silent for half of the time
/// after which it lapses. The same number of announcements in order restores a
/// sequence that a wrong number broke.
///
/// An announcement that an instance accepts no more calls always takes effect
/// on that instance, whatever its sequence number and start time. If it states
/// another start of the current instance's name, the current one counts as left
/// until its next announcement, or for good if the other start has announced
/// itself regularly.
class upstream_presence
{
public:
    /// The upstream counts as gone after \p lapse_after without an
    /// announcement.
    explicit upstream_presence(support::duration lapse_after)
        : lapse_after_(lapse_after)
    {
    }

    /// Applies from now on; the settings may be reloaded.
    void set_lapse_after(support::duration lapse_after)
    {
        lapse_after_ = lapse_after;
    }

    presence_change on_announcement(const announcement& announced,
                                    support::time_point now);
    /// The upstream announced that \p instance ends, which counts the same as
    /// an announcement that it accepts no more calls. \p started_ms, where
    /// stated, distinguishes instances of the same name.
    presence_change on_leave(const std::string& instance,
                             std::optional<std::uint64_t> started_ms,
                             support::time_point now);
    /// The upstream announced that it is temporarily absent.
    void on_absent();
    /// Checks whether the last announcement is too old.
    presence_change on_tick(support::time_point now);

    /// Returns the last accepted announcement; null before the first.
    const announcement* last_announcement() const
    {
        return last_ ? &*last_ : nullptr;
    }
    /// Returns whether the current instance accepts calls.
    bool serves() const { return serves_; }
    /// Number of announcements that were ignored as stale.
    std::uint64_t stale_count() const { return stale_count_; }

private:
    /// What is known of one start of an instance.
    struct known_start
    {
        std::string instance;
        std::uint64_t started_ms = 0;
        /// Highest accepted sequence number.
        std::uint64_t sequence = 0;
        bool leaving = false;
        support::time_point heard_at{};
        /// Announcements in order that were not accepted, counted at most once
        /// in a while, with the last one's sequence number.
        unsigned pending_count = 0;
        std::uint64_t pending_sequence = 0;
        support::time_point pending_counted_at{};
    };

    known_start* find_start(const std::string& instance,
                            std::uint64_t started_ms);
    known_start& note_start(const announcement& announced,
                            support::time_point now);
    bool announces_regularly(known_start& start,
                             const announcement& announced,
                             support::time_point now) const;
    bool may_replace(known_start& start,
                     bool is_known,
                     const announcement& announced,
                     support::time_point now) const;
    presence_change ignore();
    presence_change accept(known_start& start,
                           const announcement& announced,
                           support::time_point now);
    presence_change leave();
    presence_change on_other_start_leaving(known_start& start);

    support::duration lapse_after_;
    std::optional<announcement> last_;
    /// The starts that announced themselves most recently.
    std::vector<known_start> starts_;
    bool serves_ = false;
    /// Whether the current instance announced that it accepts no more calls or
    /// ends. A later announcement of the same instance does not undo this.
    bool leaving_ = false;
    support::time_point announced_at_{};
    std::uint64_t stale_count_ = 0;
};

} // namespace galenarudder::admission
