// Decides attempts, retries, hedges and the end of one call.
#include "galenarudder/proxy/call_flow.hpp"

#include "galenarudder/telemetry/decision_log.hpp"

#include <algorithm>

namespace galenarudder::proxy {

using routing::attempt_result;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;
using telemetry::decision_effect;

namespace {

constexpr support::milliseconds no_upstream_retry_after{1000};
/// The gate refuses at the deadline itself; its word is waited for this long.
constexpr support::milliseconds deadline_grace{50};
constexpr unsigned first_server_error = 500;

refusal no_upstream(const std::string& service)
{
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            no_upstream_retry_after,
            "service " + service + " has no upstream that takes calls"};
}

refusal failed_answer()
{
    return {refusal_kind::upstream_failed, run_outcome::unknown, false,
            support::milliseconds(0), "the upstream answered with an error"};
}

refusal too_late()
{
    return {refusal_kind::deadline_exceeded, run_outcome::unknown, true,
            support::milliseconds(0), "no answer before the deadline"};
}

bool is_overload(refusal_kind kind)
{
    return kind == refusal_kind::overloaded ||
           kind == refusal_kind::upstream_shed ||
           kind == refusal_kind::deadline_exceeded;
}

/// The target takes no work at all, so that sending the call elsewhere adds
/// nothing to the load of the fleet and needs no budget.
bool is_move(const refusal& why)
{
    const bool elsewhere = why.kind == refusal_kind::draining ||
                           why.kind == refusal_kind::no_upstream ||
                           why.kind == refusal_kind::link_broken ||
                           why.kind == refusal_kind::slow_spell;
    return elsewhere && why.outcome == run_outcome::not_run;
}

/// What a refusal says of the upstream. One for lack of time or room does not
/// make it a failing one.
attempt_result result_of(const refusal& why)
{
    if (why.kind == refusal_kind::draining)
        return attempt_result::leaving;
    if (why.kind == refusal_kind::canceled)
        return attempt_result::canceled;
    const bool unreachable = why.kind == refusal_kind::link_broken ||
                             why.kind == refusal_kind::no_upstream;
    return unreachable || why.outcome == run_outcome::unknown
               ? attempt_result::failed
               : attempt_result::refused;
}

void record(telemetry::decision_log* decisions,
            support::time_point now,
            config::automation what,
            decision_effect effect,
            const std::string& service,
            std::string reason)
{
    if (decisions == nullptr)
        return;
    decisions->record({now, what, effect, service, std::move(reason)});
}

} // namespace

call_flow::call_flow(const routing::router& router, call_terms terms)
    : router_(router), terms_(std::move(terms)), limits_(router.limits())
{
}

std::vector<call_action> call_flow::start(support::time_point now,
                                          support::random_engine& random)
{
    started_at_ = now;
    std::vector<call_action> actions;
    if (!send_to_next(now, random, actions))
        return conclude(no_upstream(terms_.service));
    service_ = attempts_.front().target.state->service;
    service_->retries.deposit(limits_.retry_share, limits_.saved_extra);
    service_->hedges.deposit(limits_.hedge_share, limits_.saved_extra);
    plan_hedge(now);
    actions.emplace_back(next_timer());
    return actions;
}

std::vector<call_action> call_flow::on_answer(std::size_t attempt,
                                              const support::load_report& load,
                                              unsigned status,
                                              support::time_point now,
                                              support::random_engine& random)
{
    attempt_record& record = attempts_[attempt];
    router_.on_report(record.target, load, now - record.sent_at, now);
    if (decided_ || !record.open)
        return {};
    record.status = status;
    const bool failed = status >= first_server_error;
    if (failed && terms_.repeatable) {
        std::vector<call_action> instead = replace_answer(attempt, now, random);
        if (!instead.empty())
            return instead;
    }
    if (!failed)
        service_->latency(terms_.rank).record(now - started_at_);
    decided_ = true;
    forwarded_ = attempt;
    std::vector<call_action> actions{forward_answer{attempt}};
    cancel_open(attempt_result::canceled, now, actions, attempt);
    return actions;
}

/// Prefers another attempt to a failed answer of a repeatable call. Returns
/// nothing when the answer has to do.
std::vector<call_action>
call_flow::replace_answer(std::size_t attempt,
                          support::time_point now,
                          support::random_engine& random)
{
    std::vector<call_action> actions;
    const bool other = open_count() > 1;
    const bool sent = !other && may_retry(failed_answer(), now) &&
                      send_to_next(now, random, actions);
    if (!other && !sent)
        return {};
    may_have_run_ = true;
    end_attempt(attempt, attempt_result::failed, now);
    actions.emplace_back(cancel_attempt{attempt});
    return actions;
}

std::vector<call_action> call_flow::on_refusal(std::size_t attempt,
                                               const refusal& why,
                                               const support::load_report& load,
                                               support::time_point now,
                                               support::random_engine& random)
{
    attempt_record& record = attempts_[attempt];
    if (load.limit != 0)
        router_.on_report(record.target, load, now - record.sent_at, now);
    if (!record.open)
        return {};
    record.not_run = why.outcome == run_outcome::not_run;
    end_attempt(attempt, result_of(why), now);
    if (decided_)
        return {};
    may_have_run_ = may_have_run_ || why.outcome == run_outcome::unknown;
    if (why.kind == refusal_kind::slow_spell) {
        ++handed_back_;
        handed_back_to_.push_back(record.target.member);
    }
    if (open_count() != 0)
        return {};
    return retry_or_refuse(why, now, random);
}

std::vector<call_action> call_flow::on_timer(support::time_point now,
                                             support::random_engine& random)
{
    if (decided_)
        return {};
    std::vector<call_action> actions;
    if (now >= terms_.deadline + deadline_grace) {
        cancel_open(attempt_result::failed, now, actions);
        for (call_action& action : conclude(too_late()))
            actions.push_back(std::move(action));
        return actions;
    }
    if (hedge_at_ && now >= *hedge_at_) {
        hedge_at_.reset();
        if (may_hedge(now))
            send_to_next(now, random, actions);
    }
    actions.emplace_back(next_timer());
    return actions;
}

std::vector<call_action> call_flow::on_caller_gone(support::time_point now)
{
    std::vector<call_action> actions;
    decided_ = true;
    cancel_open(attempt_result::canceled, now, actions);
    return actions;
}

void call_flow::on_answer_end(bool whole, support::time_point now)
{
    const attempt_record& record = attempts_[forwarded_];
    if (record.status >= first_server_error)
        return end_attempt(forwarded_, attempt_result::failed, now);
    // A broken body can be the caller's doing and tells nothing certain.
    end_attempt(forwarded_,
                whole ? attempt_result::answered : attempt_result::canceled,
                now);
}

/// Asks those that handed the call back again once no other is left.
std::optional<routing::choice> call_flow::pick(support::time_point now,
                                               support::random_engine& random)
{
    const routing::pick_request request{terms_.service, terms_.rank, tried_};
    auto target = router_.pick(request, now, random);
    if (target || handed_back_to_.empty())
        return target;
    std::erase_if(tried_, [this](const support::member_id& member) {
        return std::find(handed_back_to_.begin(), handed_back_to_.end(),
                         member) != handed_back_to_.end();
    });
    handed_back_to_.clear();
    return router_.pick({terms_.service, terms_.rank, tried_}, now, random);
}

bool call_flow::send_to_next(support::time_point now,
                             support::random_engine& random,
                             std::vector<call_action>& actions)
{
    const auto target = pick(now, random);
    if (!target)
        return false;
    router_.on_sent(*target, now);
    tried_.push_back(target->member);
    attempts_.push_back({*target, now});
    const bool movable = terms_.replayable && target->others > 0 &&
                         handed_back_ < max_handed_back;
    actions.emplace_back(send_attempt{attempts_.size() - 1, *target, movable});
    return true;
}

void call_flow::end_attempt(std::size_t attempt,
                            attempt_result how,
                            support::time_point now)
{
    attempt_record& record = attempts_[attempt];
    if (!record.open)
        return;
    record.open = false;
    router_.on_ended(record.target, how, now);
}

void call_flow::cancel_open(attempt_result how,
                            support::time_point now,
                            std::vector<call_action>& actions,
                            std::optional<std::size_t> kept)
{
    for (std::size_t number = 0; number < attempts_.size(); ++number) {
        if (!attempts_[number].open || number == kept)
            continue;
        end_attempt(number, how, now);
        actions.emplace_back(cancel_attempt{number});
    }
}

std::size_t call_flow::open_count() const
{
    std::size_t count = 0;
    for (const attempt_record& record : attempts_) {
        if (record.open)
            ++count;
    }
    return count;
}

bool call_flow::can_send_again(support::time_point now) const
{
    return terms_.replayable &&
           attempts_.size() - handed_back_ < max_attempts && may_run_again() &&
           now < terms_.deadline;
}

bool call_flow::may_run_again() const
{
    if (terms_.max_runs == 0)
        return true;
    const auto runs =
        std::count_if(attempts_.begin(), attempts_.end(),
                      [](const attempt_record& made) { return !made.not_run; });
    return static_cast<std::size_t>(runs) < terms_.max_runs;
}

bool call_flow::may_retry(const refusal& why, support::time_point now)
{
    const bool harmless =
        why.outcome == run_outcome::not_run || terms_.repeatable;
    if (!harmless || why.retry_exhausted || !can_send_again(now))
        return false;
    return is_move(why) || take_retry(now, why);
}

bool call_flow::take_retry(support::time_point now, const refusal& why)
{
    const bool observed = limits_.retry == config::automation_mode::observe;
    const bool within = observed || service_->retries.take();
    const decision_effect effect = telemetry::effect_of(limits_.retry, within);
    record(router_.decisions(), now, config::automation::retry, effect,
           terms_.service, std::string(to_string(why.kind)));
    retry_denied_ = effect != decision_effect::acted;
    return !retry_denied_;
}

std::vector<call_action> call_flow::retry_or_refuse(
    const refusal& why, support::time_point now, support::random_engine& random)
{
    std::vector<call_action> actions;
    if (may_retry(why, now) && send_to_next(now, random, actions))
        return actions;
    return conclude(why);
}

/// States the outcome over all attempts and tells callers above not to retry
/// what was retried here or what failed for lack of capacity.
std::vector<call_action> call_flow::conclude(refusal why)
{
    decided_ = true;
    if (may_have_run_)
        why.outcome = run_outcome::unknown;
    const bool spent = attempts_.size() - handed_back_ > 1 || retry_denied_ ||
                       is_overload(why.kind);
    why.retry_exhausted = why.retry_exhausted || spent;
    return {refuse_call{std::move(why)}};
}

void call_flow::plan_hedge(support::time_point now)
{
    if (!terms_.repeatable || !terms_.replayable)
        return;
    const auto after =
        service_->latency(terms_.rank).percentile(limits_.hedge_percentile);
    if (after && now + *after < terms_.deadline)
        hedge_at_ = now + *after;
}

bool call_flow::may_hedge(support::time_point now)
{
    if (!can_send_again(now))
        return false;
    const bool observed = limits_.hedge == config::automation_mode::observe;
    const bool within = observed || service_->hedges.take();
    const decision_effect effect = telemetry::effect_of(limits_.hedge, within);
    record(router_.decisions(), now, config::automation::hedge, effect,
           terms_.service, "no answer by the service's own percentile");
    return effect == decision_effect::acted;
}

arm_timer call_flow::next_timer() const
{
    return arm_timer{hedge_at_.value_or(terms_.deadline + deadline_grace)};
}

} // namespace galenarudder::proxy
