// Simulates entries, each with its own and possibly outdated view of the
// members, in front of gates and upstreams.
#include "replay.hpp"

#include <algorithm>

namespace galenarudder::replay {

using membership::member_state;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

/// Shortest one-way delay between two VMs of one failure domain.
constexpr double same_domain_delay_ms = 0.3;
/// The share by which a delay may exceed the shortest one.
constexpr double max_delay_variation = 0.2;
/// Time until every entry learns of a change that the member announced itself.
constexpr double announced_change_delay_ms = 200;
/// Time until membership declares a member dead that stopped without notice.
constexpr double death_detection_ms = 1500;
constexpr double tick_interval_ms = 10;

/// The refusal of a call whose idempotency key could not be claimed.
refusal key_refusal(claim_result result)
{
    const bool taken = result == claim_result::taken;
    return {taken ? refusal_kind::already_running
                  : refusal_kind::store_unavailable,
            run_outcome::not_run, true, support::milliseconds(0), ""};
}

} // namespace

replay::replay(const trace& recorded)
    : trace_(recorded), started_at_(clock_.now()), link_random_(recorded.seed)
{
}

std::string replay::run(const std::string& policy)
{
    config::configuration in_force = trace_.in_force;
    for (const upstream_spec& spec : trace_.upstreams) {
        if (in_force.find_service(spec.service) == nullptr)
            in_force.services.push_back({spec.service, {}, ""});
    }
    for (config::service_policy& service : in_force.services)
        service.strategy = policy;
    outcome_.ranks.resize(in_force.ranks.size());
    for (std::size_t number = 0; number < trace_.entries; ++number) {
        const std::string& domain =
            trace_.domains[number % trace_.domains.size()];
        auto& added = entries_.emplace_back(
            std::make_unique<entry>(domain, "entry-" + std::to_string(number)));
        added->random.seed(trace_.seed * 1000 + number);
        added->router.on_configuration(in_force);
    }
    for (const upstream_spec& spec : trace_.upstreams) {
        auto& added = upstreams_.emplace_back(
            std::make_unique<fake_upstream>(clock_, spec, in_force));
        upstreams_by_id_[spec.id] = added.get();
        added->on_call_started = [this](std::uint64_t position) {
            ++outcome_.calls.at(position).runs;
        };
        announce_state(*added, member_state::alive, 0);
    }
    remaining_events_ = trace_.events.size();
    for (const trace_event& event : trace_.events)
        clock_.at(started_at_ + event.offset, [this, &event] { apply(event); });
    tick_all();
    while (!clock_.empty())
        clock_.run_next();
    outcome_.duration_ms = support::to_ms(clock_.now() - started_at_);
    return to_json(trace_, policy, outcome_, upstreams_);
}

void replay::tick_all()
{
    if (remaining_events_ == 0 && open_call_count_ == 0)
        return;
    for (const auto& upstream : upstreams_)
        upstream->tick();
    clock_.after(tick_interval_ms, [this] { tick_all(); });
}

void replay::apply(const trace_event& event)
{
    --remaining_events_;
    if (const auto* call_details = std::get_if<call_event>(&event.details))
        return offer(*call_details);
    if (const auto* store_details = std::get_if<store_event>(&event.details))
        return store_.apply(*store_details);
    change_upstream(std::get<upstream_event>(event.details));
}

void replay::offer(const call_event& event)
{
    auto call = std::make_shared<simulated_call>();
    call->event = event;
    call->rank = *trace_.in_force.rank_index(event.rank);
    call->position = outcome_.calls.size();
    call->receiving_entry = entries_[event.entry].get();
    call->offered_at = clock_.now();
    outcome_.calls.push_back({0, event.repeatable, false});
    ++outcome_.ranks[call->rank].offered;
    ++open_call_count_;
    if (event.key.empty())
        return begin(call);
    const claim_reply reply = store_.claim(event.key);
    clock_.after(reply.duration_ms, [this, call, reply] {
        if (reply.result == claim_result::claimed)
            return begin(call);
        execute(call, proxy::refuse_call{key_refusal(reply.result)});
    });
}

void replay::begin(const call_ptr& call)
{
    proxy::call_properties properties;
    properties.service = call->event.service;
    properties.rank = call->rank;
    properties.deadline =
        call->offered_at + support::from_ms(call->event.deadline_ms);
    properties.repeatable = call->event.repeatable;
    call->flow = std::make_unique<proxy::call_flow>(
        call->receiving_entry->router, properties);
    perform(call,
            call->flow->start(clock_.now(), call->receiving_entry->random));
}

void replay::perform(const call_ptr& call,
                     std::vector<proxy::call_action> actions)
{
    for (const proxy::call_action& action : actions)
        std::visit([&](const auto& details) { execute(call, details); },
                   action);
}

void replay::execute(const call_ptr& call, const proxy::send_attempt& action)
{
    fake_upstream& target = *upstreams_by_id_.at(action.target.member);
    sent_attempt sent;
    sent.gate_attempt.key = {call->event.entry + 1,
                             support::attempt_id{++last_attempt_id_}};
    sent.gate_attempt.rank = call->event.rank;
    sent.gate_attempt.deadline =
        call->offered_at + support::from_ms(call->event.deadline_ms);
    sent.gate_attempt.repeatable = call->event.repeatable;
    sent.call_position = call->position;
    sent.work_ms = call->event.work_ms;
    sent.repeatable = call->event.repeatable;
    sent.sent_at = clock_.now();
    sent.reply = [this, call, &target,
                  attempt = action.attempt](const attempt_reply& reply) {
        clock_.after(
            delay_ms(*call->receiving_entry, target),
            [this, call, attempt, reply] { on_reply(call, attempt, reply); });
    };
    call->attempt_keys.push_back(sent.gate_attempt.key);
    call->targets.push_back(&target);
    clock_.after(delay_ms(*call->receiving_entry, target),
                 [&target, sent = std::move(sent)] { target.receive(sent); });
}

void replay::execute(const call_ptr& call, const proxy::cancel_attempt& action)
{
    fake_upstream& target = *call->targets.at(action.attempt);
    const admission::attempt_key key = call->attempt_keys.at(action.attempt);
    // A link delivers in order, so the cancellation must not overtake the
    // attempt: it gets at least the longest delay that the attempt may have.
    const double cancel_delay_ms =
        delay_ms(*call->receiving_entry, target) * (1 + max_delay_variation);
    clock_.after(cancel_delay_ms, [&target, key] { target.cancel(key); });
}

void replay::execute(const call_ptr& call, const proxy::forward_response&)
{
    --open_call_count_;
    call->flow->on_response_end(true, clock_.now());
}

void replay::execute(const call_ptr& call, const proxy::refuse_call& action)
{
    --open_call_count_;
    rank_outcome& rank = outcome_.ranks[call->rank];
    if (action.refusal.outcome == run_outcome::unknown) {
        ++rank.unknown;
        return;
    }
    ++rank.refused_not_run;
    outcome_.calls[call->position].refused_not_run = true;
}

void replay::execute(const call_ptr& call, const proxy::arm_timer& action)
{
    clock_.at(action.expiry, [this, call] {
        perform(call, call->flow->on_timer(clock_.now(),
                                           call->receiving_entry->random));
    });
}

void replay::on_reply(const call_ptr& call,
                      std::size_t attempt,
                      const attempt_reply& reply)
{
    support::random_engine& random = call->receiving_entry->random;
    if (reply.status == 0) {
        return perform(call, call->flow->on_refusal(attempt, reply.refusal,
                                                    reply.load, clock_.now(),
                                                    random));
    }
    const auto actions = call->flow->on_response(
        attempt, reply.load, reply.status, clock_.now(), random);
    const bool forwards =
        !actions.empty() &&
        std::holds_alternative<proxy::forward_response>(actions.front());
    if (forwards) {
        rank_outcome& rank = outcome_.ranks[call->rank];
        const bool succeeded = reply.status < 500;
        ++(succeeded ? rank.answered : rank.unknown);
        if (succeeded) {
            rank.latencies_ms.push_back(
                support::to_ms(clock_.now() - call->offered_at));
        }
    }
    perform(call, actions);
}

void replay::change_upstream(const upstream_event& event)
{
    const auto found = upstreams_by_id_.find(event.id);
    if (found == upstreams_by_id_.end())
        return;
    fake_upstream& upstream = *found->second;
    const bool served_before = upstream.serves();
    upstream.apply(event);
    if (event.change == upstream_change::drain && served_before)
        return notify_drain(upstream);
    if (event.change == upstream_change::stop)
        return announce_state(upstream, member_state::dead, death_detection_ms);
    if (event.change != upstream_change::start)
        return;
    ++incarnations_[event.id];
    announce_state(upstream, member_state::alive, announced_change_delay_ms);
}

/// The gate notifies its links at once; membership follows later.
void replay::notify_drain(const fake_upstream& upstream)
{
    for (const auto& informed_entry : entries_) {
        clock_.after(delay_ms(*informed_entry, upstream),
                     [this, &informed_entry, &upstream] {
                         informed_entry->router.on_gate_draining(
                             upstream.spec().id, clock_.now());
                     });
    }
    announce_state(upstream, member_state::draining, announced_change_delay_ms);
}

membership::member_record replay::make_record(const fake_upstream& upstream,
                                              member_state state)
{
    membership::member_record record;
    record.id = upstream.spec().id;
    record.incarnation = incarnations_[record.id];
    record.state = state;
    record.domain = upstream.spec().domain;
    record.service = upstream.spec().service;
    record.slots = upstream.spec().slots;
    return record;
}

void replay::announce_state(const fake_upstream& upstream,
                            member_state state,
                            double after_ms)
{
    const membership::member_record record = make_record(upstream, state);
    for (const auto& informed_entry : entries_) {
        clock_.after(after_ms, [this, &informed_entry, record] {
            // Ignores the state of an earlier instance.
            if (record.incarnation == incarnations_[record.id])
                informed_entry->router.on_record(record, clock_.now());
        });
    }
}

double replay::delay_ms(const entry& from, const fake_upstream& to)
{
    const bool same_domain = from.domain == to.spec().domain;
    const double min_delay_ms =
        same_domain ? same_domain_delay_ms : trace_.one_way_ms;
    return min_delay_ms *
           (1 + max_delay_variation * support::uniform_unit(link_random_));
}

} // namespace galenarudder::replay
