// Decides attempts, retries and the end of one call.
#include "galenarudder/proxy/call_flow.hpp"

namespace galenarudder::proxy {

using routing::attempt_result;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr std::size_t max_attempts = 3;
constexpr support::milliseconds no_upstream_retry_after{1000};
/// The gate refuses at the deadline itself; its word is waited for this long.
constexpr support::milliseconds deadline_grace{50};

refusal no_upstream(const std::string& service)
{
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            no_upstream_retry_after,
            "service " + service + " has no upstream that takes calls"};
}

} // namespace

call_flow::call_flow(const routing::router& router, call_terms terms)
    : router_(router), terms_(std::move(terms))
{
}

std::vector<call_action> call_flow::start(support::time_point now,
                                          support::random_engine& random)
{
    std::vector<call_action> actions =
        send_next(now, random, no_upstream(terms_.service));
    if (!decided_)
        actions.emplace_back(arm_timer{terms_.deadline + deadline_grace});
    return actions;
}

std::vector<call_action> call_flow::on_answer(std::size_t attempt,
                                              const support::load_report& load,
                                              support::time_point now)
{
    router_.on_report(attempts_[attempt].target, load, now);
    if (decided_)
        return {};
    decided_ = true;
    forwarded_ = attempt;
    return {forward_answer{attempt}};
}

std::vector<call_action> call_flow::on_refusal(std::size_t attempt,
                                               const refusal& why,
                                               const support::load_report& load,
                                               support::time_point now,
                                               support::random_engine& random)
{
    const bool failed = why.outcome == run_outcome::unknown;
    if (load.limit != 0)
        router_.on_report(attempts_[attempt].target, load, now);
    end_attempt(attempt,
                failed ? attempt_result::failed : attempt_result::refused, now);
    if (decided_)
        return {};
    if (may_retry(why, now))
        return send_next(now, random, why);
    decided_ = true;
    return {refuse_call{why}};
}

std::vector<call_action> call_flow::on_timer(support::time_point now)
{
    if (decided_)
        return {};
    decided_ = true;
    std::vector<call_action> actions;
    for (std::size_t number = 0; number < attempts_.size(); ++number) {
        if (!attempts_[number].open)
            continue;
        end_attempt(number, attempt_result::failed, now);
        actions.emplace_back(cancel_attempt{number});
    }
    actions.emplace_back(refuse_call{
        {refusal_kind::deadline_exceeded, run_outcome::unknown, true,
         support::milliseconds(0), "no answer before the deadline"}});
    return actions;
}

std::vector<call_action> call_flow::on_caller_gone(support::time_point now)
{
    std::vector<call_action> actions;
    decided_ = true;
    for (std::size_t number = 0; number < attempts_.size(); ++number) {
        if (!attempts_[number].open)
            continue;
        end_attempt(number, attempt_result::refused, now);
        actions.emplace_back(cancel_attempt{number});
    }
    return actions;
}

void call_flow::on_answer_end(bool whole, support::time_point now)
{
    end_attempt(forwarded_,
                whole ? attempt_result::answered : attempt_result::failed, now);
}

std::vector<call_action> call_flow::send_next(support::time_point now,
                                              support::random_engine& random,
                                              const refusal& otherwise)
{
    const auto target =
        router_.pick({terms_.service, terms_.rank, tried_}, now, random);
    if (!target) {
        decided_ = true;
        return {refuse_call{otherwise}};
    }
    router_.on_sent(*target);
    tried_.push_back(target->member);
    attempts_.push_back({*target, now});
    return {send_attempt{attempts_.size() - 1, *target}};
}

void call_flow::end_attempt(std::size_t attempt,
                            attempt_result how,
                            support::time_point now)
{
    attempt_record& record = attempts_[attempt];
    if (!record.open)
        return;
    record.open = false;
    router_.on_ended(record.target, how, now - record.sent_at, now);
}

bool call_flow::may_retry(const refusal& why, support::time_point now) const
{
    const bool harmless =
        why.outcome == run_outcome::not_run || terms_.repeatable;
    return harmless && !why.retry_exhausted && terms_.replayable &&
           attempts_.size() < max_attempts && now < terms_.deadline;
}

} // namespace galenarudder::proxy
