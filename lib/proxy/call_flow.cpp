// Decides on the attempts, retries, hedges and the result of one call.
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
/// The gate itself refuses the call at the deadline; its refusal is awaited for
/// this long.
constexpr support::milliseconds deadline_grace{50};
constexpr unsigned first_server_error = 500;
/// Attempts that cold gates may hand back, for each answer of a cold upstream.
/// Bounds the attempts that find no room while all upstreams are cold.
constexpr double cold_moves_per_answer = 3;

refusal no_upstream(const std::string& service)
{
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            no_upstream_retry_after,
            "service " + service + " has no upstream that takes calls"};
}

refusal no_start_in_time(const std::string& service,
                         support::milliseconds retry_after)
{
    return {refusal_kind::rate_limited, run_outcome::not_run, true, retry_after,
            "no cold upstream of service " + service +
                " can start the call before it is late"};
}

refusal server_error()
{
    return {refusal_kind::upstream_failed, run_outcome::unknown, false,
            support::milliseconds(0), "the upstream answered with an error"};
}

refusal deadline_exceeded()
{
    return {refusal_kind::deadline_exceeded, run_outcome::unknown, true,
            support::milliseconds(0), "no answer before the deadline"};
}

bool is_overload(refusal_kind kind)
{
    return kind == refusal_kind::overloaded ||
           kind == refusal_kind::upstream_shed ||
           kind == refusal_kind::rate_limited ||
           kind == refusal_kind::deadline_exceeded;
}

/// Returns whether the gate could not start the call now, so that its entry may
/// send it elsewhere.
bool is_handed_back(refusal_kind kind)
{
    return kind == refusal_kind::slow_spell ||
           kind == refusal_kind::rate_limited;
}

/// Returns whether the call may be sent to another upstream without taking from
/// the retry budget: the refusing one takes no calls at present, so that the
/// load of the fleet does not grow.
bool needs_no_budget(const refusal& reason)
{
    const bool takes_no_calls = reason.kind == refusal_kind::draining ||
                                reason.kind == refusal_kind::no_upstream ||
                                reason.kind == refusal_kind::link_broken ||
                                is_handed_back(reason.kind);
    return takes_no_calls && reason.outcome == run_outcome::not_run;
}

/// Returns what a refusal means for the health of the upstream. A refusal for
/// lack of time or capacity does not count as a failure.
attempt_result to_attempt_result(const refusal& reason)
{
    if (reason.kind == refusal_kind::draining)
        return attempt_result::gate_draining;
    if (reason.kind == refusal_kind::canceled)
        return attempt_result::canceled;
    const bool unreachable = reason.kind == refusal_kind::link_broken ||
                             reason.kind == refusal_kind::no_upstream;
    // A full upstream resets connections, so that the outcome is unknown.
    const bool full = reason.kind == refusal_kind::upstream_shed;
    return unreachable || (reason.outcome == run_outcome::unknown && !full)
               ? attempt_result::failed
               : attempt_result::refused;
}

void record(telemetry::decision_log* decisions,
            support::time_point now,
            config::automation automation_kind,
            decision_effect effect,
            const std::string& service,
            std::string reason)
{
    if (decisions == nullptr)
        return;
    decisions->record(
        {now, automation_kind, effect, service, std::move(reason)});
}

} // namespace

call_flow::call_flow(const routing::router& router, call_properties properties)
    : router_(router), properties_(std::move(properties)),
      limits_(router.limits())
{
}

std::vector<call_action> call_flow::start(support::time_point now,
                                          support::random_engine& random)
{
    started_at_ = now;
    std::vector<call_action> actions;
    if (const auto retry_after = router_.turn_away_cold(make_request(), now))
        return refuse(no_start_in_time(properties_.service, *retry_after));
    if (!send_to_next(now, random, actions))
        return refuse(no_upstream(properties_.service));
    service_ = attempts_.front().target.state->service;
    service_->retries.deposit(limits_.retry_share,
                              limits_.saved_extra_attempts);
    service_->hedges.deposit(limits_.hedge_share, limits_.saved_extra_attempts);
    plan_hedge(now);
    actions.emplace_back(next_timer());
    return actions;
}

std::vector<call_action>
call_flow::on_response(std::size_t attempt,
                       const support::load_report& load,
                       unsigned status,
                       support::time_point now,
                       support::random_engine& random)
{
    attempt_record& record = attempts_[attempt];
    router_.on_report(record.target, load, now - record.sent_at, now);
    record.status = status;
    if (decided_ || !record.open)
        return {};
    const bool failed = status >= first_server_error;
    if (failed && properties_.repeatable) {
        std::vector<call_action> replacement =
            replace_response(attempt, now, random);
        if (!replacement.empty())
            return replacement;
    }
    // An answer also returns the token of its own attempt.
    if (record.target.cold)
        service_->cold_moves.deposit(cold_moves_per_answer +
                                     (record.may_hand_back ? 1 : 0));
    if (!failed)
        service_->latency(properties_.rank).record(now - started_at_);
    decided_ = true;
    forwarded_attempt_ = attempt;
    std::vector<call_action> actions{forward_response{attempt}};
    cancel_open(attempt_result::canceled, now, actions, attempt);
    return actions;
}

/// Drops a 5xx response to a repeatable call in favour of another attempt, open
/// or newly sent. Returns no action if there is none; the response is then
/// forwarded.
std::vector<call_action>
call_flow::replace_response(std::size_t attempt,
                            support::time_point now,
                            support::random_engine& random)
{
    std::vector<call_action> actions;
    const bool other_open = open_attempt_count() > 1;
    const bool replacement_sent = !other_open &&
                                  may_retry(server_error(), now) &&
                                  send_to_next(now, random, actions);
    if (!other_open && !replacement_sent)
        return {};
    may_have_run_ = true;
    end_attempt(attempt, attempt_result::failed, now);
    actions.emplace_back(cancel_attempt{attempt});
    return actions;
}

std::vector<call_action> call_flow::on_refusal(std::size_t attempt,
                                               const refusal& reason,
                                               const support::load_report& load,
                                               support::time_point now,
                                               support::random_engine& random)
{
    attempt_record& record = attempts_[attempt];
    if (load.limit != 0)
        router_.on_report(record.target, load, now - record.sent_at, now);
    record.refused_outcome = reason.outcome;
    if (!record.open)
        return {};
    end_attempt(attempt, to_attempt_result(reason), now);
    if (decided_)
        return {};
    may_have_run_ = may_have_run_ || reason.outcome == run_outcome::unknown;
    if (record.may_hand_back && is_handed_back(reason.kind)) {
        ++handed_back_count_;
        handed_back_by_.push_back(record.target.member);
    }
    if (open_attempt_count() != 0)
        return {};
    if (reason.kind == refusal_kind::rate_limited && load.cold_ms > 0 &&
        !reason.retry_exhausted) {
        if (const auto retry_after =
                router_.turn_away_cold(make_request(), now))
            return refuse(no_start_in_time(properties_.service, *retry_after));
    }
    return retry_or_refuse(reason, now, random);
}

std::vector<call_action> call_flow::on_timer(support::time_point now,
                                             support::random_engine& random)
{
    if (decided_)
        return {};
    std::vector<call_action> actions;
    if (now >= properties_.deadline + deadline_grace) {
        cancel_open(attempt_result::failed, now, actions);
        for (call_action& action : refuse(deadline_exceeded()))
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

void call_flow::bound_deadline(support::time_point latest)
{
    properties_.deadline = std::min(properties_.deadline, latest);
    if (hedge_at_ && *hedge_at_ >= properties_.deadline)
        hedge_at_.reset();
}

std::vector<call_action>
call_flow::on_caller_disconnected(support::time_point now)
{
    std::vector<call_action> actions;
    decided_ = true;
    cancel_open(attempt_result::canceled, now, actions);
    return actions;
}

void call_flow::on_response_end(bool complete, support::time_point now)
{
    const attempt_record& record = attempts_[forwarded_attempt_];
    if (record.status >= first_server_error)
        return end_attempt(forwarded_attempt_, attempt_result::failed, now);
    // The caller may have caused the cut-off, so that it counts neither as a
    // success nor as a failure of the upstream.
    end_attempt(forwarded_attempt_,
                complete ? attempt_result::answered : attempt_result::canceled,
                now);
}

void call_flow::on_bytes(std::uint64_t bytes)
{
    router_.on_bytes(attempts_[forwarded_attempt_].target, bytes);
}

std::optional<run_outcome> call_flow::outcome_of_attempts() const
{
    bool pending = false;
    for (const attempt_record& record : attempts_) {
        if (record.status != 0 ||
            record.refused_outcome == run_outcome::unknown)
            return run_outcome::unknown;
        pending = pending || !record.refused_outcome;
    }
    return pending ? std::nullopt : std::optional(run_outcome::not_run);
}

routing::pick_request call_flow::make_request() const
{
    return {
        properties_.service, properties_.rank,          tried_members_,
        properties_.regions, properties_.in_time_until, properties_.deadline};
}

/// Picks an upstream that was not tried. If there is none, those that handed
/// the call back may be tried again.
std::optional<routing::choice> call_flow::pick(support::time_point now,
                                               support::random_engine& random)
{
    auto target = router_.pick(make_request(), now, random);
    if (target || handed_back_by_.empty())
        return target;
    std::erase_if(tried_members_, [this](const support::member_id& member) {
        return std::find(handed_back_by_.begin(), handed_back_by_.end(),
                         member) != handed_back_by_.end();
    });
    handed_back_by_.clear();
    return router_.pick(make_request(), now, random);
}

bool call_flow::send_to_next(support::time_point now,
                             support::random_engine& random,
                             std::vector<call_action>& actions)
{
    const auto target = pick(now, random);
    if (!target)
        return false;
    router_.on_sent(*target, now);
    tried_members_.push_back(target->member);
    const bool may_hand_back =
        properties_.replayable && target->alternatives > 0 &&
        handed_back_count_ < max_handed_back && may_move_from(*target);
    attempts_.push_back({*target, now});
    attempts_.back().may_hand_back = may_hand_back;
    actions.emplace_back(
        send_attempt{attempts_.size() - 1, *target, may_hand_back});
    return true;
}

/// Returns whether the budget lets a cold gate hand the attempt back. One that
/// may not gets the time of its return from the gate.
bool call_flow::may_move_from(const routing::choice& target) const
{
    return !target.cold || target.state->service->cold_moves.try_take();
}

void call_flow::end_attempt(std::size_t attempt,
                            attempt_result result,
                            support::time_point now)
{
    attempt_record& record = attempts_[attempt];
    if (!record.open)
        return;
    record.open = false;
    router_.on_ended(record.target, result, now);
}

void call_flow::cancel_open(attempt_result result,
                            support::time_point now,
                            std::vector<call_action>& actions,
                            std::optional<std::size_t> excluded)
{
    for (std::size_t attempt = 0; attempt < attempts_.size(); ++attempt) {
        if (!attempts_[attempt].open || attempt == excluded)
            continue;
        end_attempt(attempt, result, now);
        actions.emplace_back(cancel_attempt{attempt});
    }
}

std::size_t call_flow::open_attempt_count() const
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
    return properties_.replayable &&
           attempts_.size() - handed_back_count_ < max_attempts &&
           may_run_again() && now < properties_.deadline;
}

bool call_flow::may_run_again() const
{
    if (properties_.max_runs == 0)
        return true;
    const auto runs = std::count_if(
        attempts_.begin(), attempts_.end(), [](const attempt_record& attempt) {
            return attempt.refused_outcome != run_outcome::not_run;
        });
    return static_cast<std::size_t>(runs) < properties_.max_runs;
}

bool call_flow::may_retry(const refusal& reason, support::time_point now)
{
    const bool safe_to_repeat =
        reason.outcome == run_outcome::not_run || properties_.repeatable;
    if (!safe_to_repeat || reason.retry_exhausted || !can_send_again(now))
        return false;
    return needs_no_budget(reason) || take_from_retry_budget(now, reason);
}

bool call_flow::take_from_retry_budget(support::time_point now,
                                       const refusal& reason)
{
    const bool only_observed =
        limits_.retry_mode == config::automation_mode::observe;
    const bool within_budget = only_observed || service_->retries.try_take();
    const decision_effect effect =
        telemetry::effect_of(limits_.retry_mode, within_budget);
    record(router_.decisions(), now, config::automation::retry, effect,
           properties_.service, std::string(to_string(reason.kind)));
    retry_denied_ = effect != decision_effect::acted;
    return !retry_denied_;
}

std::vector<call_action>
call_flow::retry_or_refuse(const refusal& reason,
                           support::time_point now,
                           support::random_engine& random)
{
    std::vector<call_action> actions;
    if (may_retry(reason, now) && send_to_next(now, random, actions))
        return actions;
    return refuse(reason);
}

/// Refuses the call with the outcome of all its attempts. Tells callers up the
/// call chain not to retry it if it was already retried here or failed for lack
/// of capacity.
std::vector<call_action> call_flow::refuse(refusal reason)
{
    decided_ = true;
    if (may_have_run_)
        reason.outcome = run_outcome::unknown;
    const bool retries_exhausted = attempts_.size() - handed_back_count_ > 1 ||
                                   retry_denied_ || is_overload(reason.kind);
    reason.retry_exhausted = reason.retry_exhausted || retries_exhausted;
    return {refuse_call{std::move(reason)}};
}

void call_flow::plan_hedge(support::time_point now)
{
    if (!properties_.repeatable || !properties_.replayable)
        return;
    const auto delay = service_->latency(properties_.rank)
                           .percentile(limits_.hedge_percentile);
    if (delay && now + *delay < properties_.deadline)
        hedge_at_ = now + *delay;
}

bool call_flow::may_hedge(support::time_point now)
{
    if (!can_send_again(now))
        return false;
    const bool only_observed =
        limits_.hedge_mode == config::automation_mode::observe;
    const bool within_budget = only_observed || service_->hedges.try_take();
    const decision_effect effect =
        telemetry::effect_of(limits_.hedge_mode, within_budget);
    record(router_.decisions(), now, config::automation::hedge, effect,
           properties_.service,
           "no response within the percentile of the service's latency");
    return effect == decision_effect::acted;
}

arm_timer call_flow::next_timer() const
{
    return arm_timer{hedge_at_.value_or(properties_.deadline + deadline_grace)};
}

} // namespace galenarudder::proxy
