/// \file
/// Which life of the upstream on this VM is there, from its check-ins. They
/// may come late, after the life that sent them has ended. A state machine
/// without I/O.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace galenarudder::admission {

/// What an upstream states of itself.
struct check_in
{
    /// Names a life of the upstream together with \c born_ms.
    std::string instance;
    /// Start of that life in milliseconds of Unix time; 0 when not stated.
    std::uint64_t born_ms = 0;
    /// Grows with each check-in of one life; 0 when they are not numbered.
    std::uint64_t sequence = 0;
    bool leaving = false;
    std::string service;
    config::endpoint address;
    std::uint32_t slots = 0;
    /// How much longer it works slowly after its start.
    support::milliseconds cold_for{0};
};

/// What a check-in or the time changed.
enum class presence_change
{
    /// Nothing new; the check-in came from the life that is known.
    none,
    /// The check-in is older than what is known and was passed over.
    stale,
    /// Another life of the upstream is there and takes work.
    arrived,
    /// The known life takes no more work.
    left,
    /// No check-in came for the time allowed.
    lapsed
};

class upstream_presence
{
public:
    /// \p lapse_after without a check-in means that the upstream is gone.
    explicit upstream_presence(support::duration lapse_after)
        : lapse_after_(lapse_after)
    {
    }

    presence_change on_check_in(const check_in& heard, support::time_point now);
    /// The upstream says that its life \p instance ends; \p born_ms tells lives
    /// of one name apart where it is stated.
    presence_change on_leave(const std::string& instance,
                             std::optional<std::uint64_t> born_ms,
                             support::time_point now);
    /// The upstream said that it is not there for now.
    void on_absent();
    presence_change on_tick(support::time_point now);

    /// The life that is known; null before the first check-in.
    const check_in* known() const { return known_ ? &*known_ : nullptr; }
    /// Whether the known life takes work.
    bool serves() const { return serves_; }
    /// Check-ins that were passed over.
    std::uint64_t stale_count() const { return stale_; }

private:
    presence_change leave();

    support::duration lapse_after_;
    std::optional<check_in> known_;
    bool serves_ = false;
    /// The known life said that it leaves, which it cannot take back.
    bool leaving_ = false;
    support::time_point heard_at_{};
    std::uint64_t stale_ = 0;
};

} // namespace galenarudder::admission
