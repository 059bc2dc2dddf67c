/// \file
/// Which waiting calls the gate of a cold upstream keeps: those that can be
/// answered before they are late. A decision without I/O or state.
#pragma once

#include "galenarudder/admission/attempt.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace galenarudder::admission {

/// Whether a call can be answered before it is late, before its deadline, or
/// not even that.
enum class timeliness
{
    in_time,
    late,
    too_late
};

/// What a gate expects of a call if it keeps it.
struct expected_run
{
    support::duration wait{0};
    /// Absent until the upstream has answered a call: after a start there is
    /// no history.
    std::optional<support::duration> service_time;
};

/// Returns what to expect of \p call. If its goal or its service time is not
/// known it counts as in time: the rules for deadlines decide about it.
timeliness timeliness_of(const attempt& call,
                         const expected_run& expected,
                         support::time_point now);

/// One pass over the waiting calls in the expected order of their starts. A
/// call that is removed does not delay those behind it.
class timely_review
{
public:
    /// Returns what to expect of a call before which \p ahead others start.
    using expectation =
        std::function<expected_run(const attempt& call, std::size_t ahead)>;

    timely_review(expectation expect, support::time_point now)
        : expect_(std::move(expect)), now_(now)
    {
    }

    /// Returns whether \p call, the next in order, is to be removed.
    bool removes(const attempt& call);
    /// Returns whether any call was kept.
    bool keeps_any() const { return kept_ != 0; }
    /// Returns whether a removed call can take a start that would otherwise
    /// remain unused, since no other call waits.
    bool may_fill(const attempt& call) const;

private:
    expectation expect_;
    support::time_point now_;
    std::size_t kept_ = 0;
};

} // namespace galenarudder::admission
