/// \file
/// One call at its entry, as a state machine without I/O. It decides to which
/// upstreams attempts are sent, which response the caller gets, and when the
/// call is refused.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/routing/router.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::proxy {

/// Send an attempt, numbered from 0, to a target.
struct send_attempt
{
    std::size_t attempt = 0;
    routing::choice target;
    /// Whether the gate may hand the attempt back during a slowdown of its
    /// upstream.
    bool may_hand_back = false;
};

/// Cancel an attempt; its response is no longer needed.
struct cancel_attempt
{
    std::size_t attempt = 0;
};

/// Forward the response of an attempt to the caller.
struct forward_response
{
    std::size_t attempt = 0;
};

/// Answer the caller with a refusal.
struct refuse_call
{
    support::refusal refusal;
};

/// Call on_timer at this time; replaces the time of an earlier action.
struct arm_timer
{
    support::time_point expiry;
};

using call_action = std::variant<send_attempt,
                                 cancel_attempt,
                                 forward_response,
                                 refuse_call,
                                 arm_timer>;

/// Properties of a call, taken from its route and its request's head.
struct call_properties
{
    std::string service;
    /// Position in the configuration's list of ranks; 0 is the most urgent.
    std::size_t rank = 0;
    support::time_point deadline;
    /// Whether running the call twice is harmless.
    bool repeatable = false;
    /// Whether the entry still has the body and can send it again.
    bool replayable = true;
    /// Number of upstreams on which the call may run; 0 if only
    /// call_flow::max_attempts limits it.
    unsigned max_runs = 0;
    /// When the call is late; max() if its route has no goal.
    support::time_point in_time_until = support::time_point::max();
    /// Regions in which the call may be served; empty for all.
    std::vector<std::string> regions;
};

/// Decides the attempts of one call. To be used by one thread at a time; the
/// state that calls share is in the router.
class call_flow
{
public:
    /// Limit on the attempts of one call, including hedges; attempts that were
    /// handed back do not count.
    static constexpr std::size_t max_attempts = 3;
    /// Limit on the attempts that gates may hand back during slowdowns. Each
    /// costs a round trip, and three upstreams are seldom slow at the same
    /// time.
    static constexpr std::size_t max_handed_back = 3;

    call_flow(const routing::router& router, call_properties properties);

    std::vector<call_action> start(support::time_point now,
                                   support::random_engine& random);
    /// The head of an attempt's response was received, with HTTP \p status. A
    /// response of the 5xx class counts as a failure of its upstream.
    std::vector<call_action> on_response(std::size_t attempt,
                                         const support::load_report& load,
                                         unsigned status,
                                         support::time_point now,
                                         support::random_engine& random);
    /// An attempt was refused by its gate or could not reach it.
    std::vector<call_action> on_refusal(std::size_t attempt,
                                        const support::refusal& reason,
                                        const support::load_report& load,
                                        support::time_point now,
                                        support::random_engine& random);
    /// The time of an arm_timer action was reached; early or repeated calls are
    /// harmless.
    std::vector<call_action> on_timer(support::time_point now,
                                      support::random_engine& random);
    /// Moves the deadline to \p latest if that is earlier. on_timer must be
    /// called next.
    void bound_deadline(support::time_point latest);
    /// The caller closed its connection.
    std::vector<call_action> on_caller_disconnected(support::time_point now);
    /// The content of the forwarded response ended; \p complete is false if it
    /// was cut off.
    void on_response_end(bool complete, support::time_point now);
    /// Records the size of the request and of the forwarded response.
    void on_bytes(std::uint64_t bytes);

    /// Returns whether any attempt may have run, by what the gates stated:
    /// \c not_run if all attempts were refused as not run or none was sent.
    /// \c nullopt while a gate has not stated the end of an attempt; events of
    /// canceled attempts must be passed on for that.
    std::optional<support::run_outcome> outcome_of_attempts() const;

private:
    struct attempt_record
    {
        routing::choice target;
        support::time_point sent_at;
        /// HTTP status of the response; 0 until its head was received.
        unsigned status = 0;
        /// Whether the attempt has neither ended nor been canceled.
        bool open = true;
        /// Outcome that the gate stated with a refusal.
        std::optional<support::run_outcome> refused_outcome;
        /// Whether its gate may hand it back.
        bool may_hand_back = false;
    };

    bool send_to_next(support::time_point now,
                      support::random_engine& random,
                      std::vector<call_action>& actions);
    void end_attempt(std::size_t attempt,
                     routing::attempt_result result,
                     support::time_point now);
    void cancel_open(routing::attempt_result result,
                     support::time_point now,
                     std::vector<call_action>& actions,
                     std::optional<std::size_t> excluded = std::nullopt);
    std::size_t open_attempt_count() const;
    std::optional<routing::choice> pick(support::time_point now,
                                        support::random_engine& random);
    routing::pick_request make_request() const;
    bool may_move_from(const routing::choice& target) const;
    bool may_run_again() const;
    bool can_send_again(support::time_point now) const;
    bool may_retry(const support::refusal& reason, support::time_point now);
    bool take_from_retry_budget(support::time_point now,
                                const support::refusal& reason);
    std::vector<call_action> replace_response(std::size_t attempt,
                                              support::time_point now,
                                              support::random_engine& random);
    std::vector<call_action> retry_or_refuse(const support::refusal& reason,
                                             support::time_point now,
                                             support::random_engine& random);
    std::vector<call_action> refuse(support::refusal reason);
    void plan_hedge(support::time_point now);
    bool may_hedge(support::time_point now);
    arm_timer next_timer() const;

    const routing::router& router_;
    call_properties properties_;
    routing::routing_limits limits_;
    /// Null until the first attempt is sent.
    std::shared_ptr<routing::service_state> service_;
    std::vector<attempt_record> attempts_;
    std::vector<support::member_id> tried_members_;
    /// Those of tried_members_ that handed the call back; they may be tried
    /// again once all others have been tried.
    std::vector<support::member_id> handed_back_by_;
    std::size_t handed_back_count_ = 0;
    support::time_point started_at_;
    std::optional<support::time_point> hedge_at_;
    /// Whether a response is being forwarded, the call was refused or its
    /// caller disconnected.
    bool decided_ = false;
    /// Whether an attempt may have run although its response was not forwarded.
    bool may_have_run_ = false;
    /// Whether the last retry was denied by its budget or by its mode.
    bool retry_denied_ = false;
    std::size_t forwarded_attempt_ = 0;
};

} // namespace galenarudder::proxy
