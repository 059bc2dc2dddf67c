/// \file
/// The life of one call at the entry as a state machine without I/O: which
/// attempt is made where, which answer the caller gets, when it is refused.
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

/// Send attempt number \c attempt, counted from 0, to \c target.
struct send_attempt
{
    std::size_t attempt = 0;
    routing::choice target;
    /// Whether the gate may hand the attempt back during a slow spell.
    bool movable = false;
};

/// The answer of this attempt is no longer wanted.
struct cancel_attempt
{
    std::size_t attempt = 0;
};

/// The caller gets this attempt's answer.
struct forward_answer
{
    std::size_t attempt = 0;
};

/// The caller gets a refusal.
struct refuse_call
{
    support::refusal why;
};

/// Call on_timer at this time. A later one replaces an earlier one.
struct arm_timer
{
    support::time_point at;
};

using call_action = std::variant<send_attempt,
                                 cancel_attempt,
                                 forward_answer,
                                 refuse_call,
                                 arm_timer>;

/// What the call is, as decided from its route and its head.
struct call_terms
{
    std::string service;
    std::size_t rank = 0;
    support::time_point deadline;
    bool repeatable = false;
    /// Whether the body can be sent again to another upstream.
    bool replayable = true;
    /// Upstreams on which the call may run; 0 for no bound but the product's.
    unsigned max_runs = 0;
};

/// One call at its entry. Used by one thread at a time; what calls share is
/// in the router.
class call_flow
{
public:
    /// Attempts of one call, hedges included; those that were handed back do
    /// not count.
    static constexpr std::size_t max_attempts = 3;
    /// Attempts that gates may hand back during slow spells. Each costs a round
    /// trip, and three upstreams are seldom slow at once.
    static constexpr std::size_t max_handed_back = 3;

    call_flow(const routing::router& router, call_terms terms);

    std::vector<call_action> start(support::time_point now,
                                   support::random_engine& random);
    /// The answer of an attempt begins with HTTP \p status. An answer of the
    /// 5xx class counts as a failure of its upstream.
    std::vector<call_action> on_answer(std::size_t attempt,
                                       const support::load_report& load,
                                       unsigned status,
                                       support::time_point now,
                                       support::random_engine& random);
    std::vector<call_action> on_refusal(std::size_t attempt,
                                        const support::refusal& why,
                                        const support::load_report& load,
                                        support::time_point now,
                                        support::random_engine& random);
    /// An armed time came; one that came early or twice does no harm.
    std::vector<call_action> on_timer(support::time_point now,
                                      support::random_engine& random);
    /// The caller closed its connection.
    std::vector<call_action> on_caller_gone(support::time_point now);
    /// The forwarded answer's body ended; \p whole unless it broke off.
    void on_answer_end(bool whole, support::time_point now);

private:
    struct attempt_record
    {
        routing::choice target;
        support::time_point sent_at;
        unsigned status = 0;
        bool open = true;
        /// Refused before an upstream ran it.
        bool not_run = false;
    };

    bool send_to_next(support::time_point now,
                      support::random_engine& random,
                      std::vector<call_action>& actions);
    void end_attempt(std::size_t attempt,
                     routing::attempt_result how,
                     support::time_point now);
    void cancel_open(routing::attempt_result how,
                     support::time_point now,
                     std::vector<call_action>& actions,
                     std::optional<std::size_t> kept = std::nullopt);
    std::size_t open_count() const;
    std::optional<routing::choice> pick(support::time_point now,
                                        support::random_engine& random);
    bool may_run_again() const;
    bool can_send_again(support::time_point now) const;
    bool may_retry(const support::refusal& why, support::time_point now);
    bool take_retry(support::time_point now, const support::refusal& why);
    std::vector<call_action> replace_answer(std::size_t attempt,
                                            support::time_point now,
                                            support::random_engine& random);
    std::vector<call_action> retry_or_refuse(const support::refusal& why,
                                             support::time_point now,
                                             support::random_engine& random);
    std::vector<call_action> conclude(support::refusal why);
    void plan_hedge(support::time_point now);
    bool may_hedge(support::time_point now);
    arm_timer next_timer() const;

    const routing::router& router_;
    call_terms terms_;
    routing::routing_limits limits_;
    /// Null until the first attempt was sent.
    std::shared_ptr<routing::service_state> service_;
    std::vector<attempt_record> attempts_;
    std::vector<support::member_id> tried_;
    /// Those of tried_ that handed the call back; they may be asked again once
    /// all others were tried.
    std::vector<support::member_id> handed_back_to_;
    std::size_t handed_back_ = 0;
    support::time_point started_at_;
    std::optional<support::time_point> hedge_at_;
    bool decided_ = false;
    /// An attempt that ended without an answer can have run.
    bool may_have_run_ = false;
    bool retry_denied_ = false;
    std::size_t forwarded_ = 0;
};

} // namespace galenarudder::proxy
