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
#include <variant>
#include <vector>

namespace galenarudder::proxy {

/// Send attempt number \c attempt, counted from 0, to \c target.
struct send_attempt
{
    std::size_t attempt = 0;
    routing::choice target;
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

/// Call on_timer at this time.
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
};

class call_flow
{
public:
    call_flow(const routing::router& router, call_terms terms);

    std::vector<call_action> start(support::time_point now,
                                   support::random_engine& random);
    std::vector<call_action> on_answer(std::size_t attempt,
                                       const support::load_report& load,
                                       support::time_point now);
    std::vector<call_action> on_refusal(std::size_t attempt,
                                        const support::refusal& why,
                                        const support::load_report& load,
                                        support::time_point now,
                                        support::random_engine& random);
    std::vector<call_action> on_timer(support::time_point now);
    /// The caller closed its connection.
    std::vector<call_action> on_caller_gone(support::time_point now);
    /// The forwarded answer's body ended; \p whole unless it broke off.
    void on_answer_end(bool whole, support::time_point now);

private:
    struct attempt_record
    {
        routing::choice target;
        support::time_point sent_at;
        bool open = true;
    };

    std::vector<call_action> send_next(support::time_point now,
                                       support::random_engine& random,
                                       const support::refusal& otherwise);
    void end_attempt(std::size_t attempt,
                     routing::attempt_result how,
                     support::time_point now);
    bool may_retry(const support::refusal& why, support::time_point now) const;

    const routing::router& router_;
    call_terms terms_;
    std::vector<attempt_record> attempts_;
    std::vector<support::member_id> tried_;
    bool decided_ = false;
    std::size_t forwarded_ = 0;
};

} // namespace galenarudder::proxy
