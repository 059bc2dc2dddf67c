/// \file
/// Admission of calls to one upstream as a state machine without I/O. The
/// gate is the only one that sends work to its upstream, so it knows what
/// runs and what was never started.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::telemetry {
class decision_log;
} // namespace galenarudder::telemetry

namespace galenarudder::admission {

/// Names one attempt at the gate: the link it came by (0 for the gate's own
/// entry) and its call id on that link.
struct attempt_key
{
    std::uint64_t link = 0;
    support::call_id id{};

    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding of clang-tidy 14.
    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

struct attempt
{
    attempt_key key;
    std::string rank;
    support::time_point deadline;
    bool repeatable = false;
};

/// Send the attempt to the upstream now.
struct start
{
    attempt_key key;
};

/// Answer the attempt with a refusal; it was never started.
struct refuse
{
    attempt_key key;
    support::refusal why;
};

/// Close the upstream connection of a running attempt that may repeat.
struct abort_running
{
    attempt_key key;
};

using action = std::variant<start, refuse, abort_running>;

/// How a started attempt ended.
enum class run_result
{
    answered,
    failed,
    shed
};

class gate
{
public:
    explicit gate(const config::configuration& in_force);
    ~gate();
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;

    /// Records sheds and changes of the limit.
    void set_decision_log(telemetry::decision_log& log);

    void on_configuration(const config::configuration& in_force,
                          support::time_point now);
    /// The upstream announced itself; a new one begins with a slow start.
    std::vector<action> on_upstream(std::uint32_t slots,
                                    support::time_point now);
    /// The upstream left or its heartbeat lapsed.
    std::vector<action> on_upstream_gone(support::time_point now);

    std::vector<action> offer(const attempt& arrived, support::time_point now);
    /// A started attempt ended; \p service_time is the upstream's part.
    std::vector<action> on_ended(const attempt_key& key,
                                 run_result how,
                                 support::duration service_time,
                                 support::time_point now);
    /// The entry gave the attempt up. Waiting work is refused as canceled.
    std::vector<action> cancel(const attempt_key& key, support::time_point now);
    /// A link closed: its waiting attempts are dropped, never started.
    std::vector<action> on_link_closed(std::uint64_t link,
                                       support::time_point now);
    /// Refuses all new and waiting work from now on; running work ends.
    std::vector<action> drain(support::time_point now);
    std::vector<action> on_tick(support::time_point now);

    bool draining() const;
    /// True while an attempt runs.
    bool busy() const;
    support::load_report report(support::time_point now) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::admission
