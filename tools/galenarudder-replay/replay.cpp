// Entries with their own stale views in front of gates and fake upstreams.
#include "replay.hpp"

#include <algorithm>

namespace galenarudder::replay {

using membership::member_state;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

/// Delay between two VMs of one failure domain.
constexpr double within_domain_ms = 0.3;
/// Delays vary upward by up to this share.
constexpr double delay_variation = 0.2;
/// Time until membership tells every entry of a change that was announced.
constexpr double announced_ms = 200;
/// Time until membership declares a silent member dead.
constexpr double detection_ms = 1500;
constexpr double tick_ms = 10;

refusal key_refusal(claim_result result)
{
    const bool taken = result == claim_result::taken;
    return {taken ? refusal_kind::already_running
                  : refusal_kind::store_unavailable,
            run_outcome::not_run, true, support::milliseconds(0), ""};
}

} // namespace

replay::replay(const trace& given)
    : given_(given), begun_at_(clock_.now()), link_random_(given.seed)
{
}

std::string replay::run(const std::string& policy)
{
    config::configuration in_force = given_.in_force;
    for (const upstream_spec& spec : given_.upstreams) {
        if (in_force.find_service(spec.service) == nullptr)
            in_force.services.push_back({spec.service, {}, ""});
    }
    for (config::service_policy& service : in_force.services)
        service.strategy = policy;
    outcome_.ranks.resize(in_force.ranks.size());
    for (std::size_t number = 0; number < given_.entries; ++number) {
        const std::string& domain =
            given_.domains[number % given_.domains.size()];
        auto& added = entries_.emplace_back(
            std::make_unique<entry>(domain, "entry-" + std::to_string(number)));
        added->random.seed(given_.seed * 1000 + number);
        added->router.on_configuration(in_force);
    }
    for (const upstream_spec& spec : given_.upstreams) {
        auto& added = fleet_.emplace_back(
            std::make_unique<fake_upstream>(clock_, spec, in_force));
        by_id_[spec.id] = added.get();
        added->on_run = [this](std::uint64_t call) {
            ++outcome_.calls.at(call).runs;
        };
        tell_members(*added, member_state::alive, 0);
    }
    events_left_ = given_.events.size();
    for (const trace_event& event : given_.events)
        clock_.at(begun_at_ + event.at, [this, &event] { play(event); });
    tick_all();
    while (!clock_.empty())
        clock_.run_next();
    outcome_.duration_ms = support::to_ms(clock_.now() - begun_at_);
    return to_json(given_, policy, outcome_, fleet_);
}

void replay::tick_all()
{
    if (events_left_ == 0 && open_sessions_ == 0)
        return;
    for (const auto& upstream : fleet_)
        upstream->tick();
    clock_.after(tick_ms, [this] { tick_all(); });
}

void replay::play(const trace_event& event)
{
    --events_left_;
    if (const auto* call = std::get_if<call_event>(&event.what))
        return offer(*call);
    if (const auto* store = std::get_if<store_event>(&event.what))
        return store_.apply(*store);
    change(std::get<upstream_event>(event.what));
}

void replay::offer(const call_event& call)
{
    auto open = std::make_shared<session>();
    open->call = call;
    open->rank = *given_.in_force.rank_index(call.rank);
    open->number = outcome_.calls.size();
    open->at = entries_[call.entry].get();
    open->offered_at = clock_.now();
    outcome_.calls.push_back({0, call.repeatable, false});
    ++outcome_.ranks[open->rank].offered;
    ++open_sessions_;
    if (call.key.empty())
        return begin(open);
    const claim_answer answer = store_.claim(call.key);
    clock_.after(answer.took_ms, [this, open, answer] {
        if (answer.result == claim_result::claimed)
            return begin(open);
        execute(open, proxy::refuse_call{key_refusal(answer.result)});
    });
}

void replay::begin(const session_ptr& open)
{
    proxy::call_properties terms;
    terms.service = open->call.service;
    terms.rank = open->rank;
    terms.deadline =
        open->offered_at + support::from_ms(open->call.deadline_ms);
    terms.repeatable = open->call.repeatable;
    open->flow = std::make_unique<proxy::call_flow>(open->at->router, terms);
    perform(open, open->flow->start(clock_.now(), open->at->random));
}

void replay::perform(const session_ptr& open,
                     std::vector<proxy::call_action> actions)
{
    for (const proxy::call_action& action : actions)
        std::visit([&](const auto& what) { execute(open, what); }, action);
}

void replay::execute(const session_ptr& open, const proxy::send_attempt& wanted)
{
    fake_upstream& target = *by_id_.at(wanted.target.member);
    sent_attempt sent;
    sent.terms.key = {open->call.entry + 1,
                      support::attempt_id{++last_attempt_}};
    sent.terms.rank = open->call.rank;
    sent.terms.deadline =
        open->offered_at + support::from_ms(open->call.deadline_ms);
    sent.terms.repeatable = open->call.repeatable;
    sent.call = open->number;
    sent.work_ms = open->call.work_ms;
    sent.repeatable = open->call.repeatable;
    sent.sent_at = clock_.now();
    sent.reply = [this, open, &target,
                  attempt = wanted.attempt](const attempt_reply& reply) {
        clock_.after(delay_ms(*open->at, target), [this, open, attempt, reply] {
            heard(open, attempt, reply);
        });
    };
    open->attempts.push_back(sent.terms.key);
    open->targets.push_back(&target);
    clock_.after(delay_ms(*open->at, target),
                 [&target, sent = std::move(sent)] { target.arrive(sent); });
}

void replay::execute(const session_ptr& open,
                     const proxy::cancel_attempt& dropped)
{
    fake_upstream& target = *open->targets.at(dropped.attempt);
    const admission::attempt_key key = open->attempts.at(dropped.attempt);
    // Messages of one link arrive in order.
    const double slowest = delay_ms(*open->at, target) * (1 + delay_variation);
    clock_.after(slowest, [&target, key] { target.cancel(key); });
}

void replay::execute(const session_ptr& open, const proxy::forward_response&)
{
    --open_sessions_;
    open->flow->on_response_end(true, clock_.now());
}

void replay::execute(const session_ptr& open, const proxy::refuse_call& ended)
{
    --open_sessions_;
    rank_outcome& rank = outcome_.ranks[open->rank];
    if (ended.refusal.outcome == run_outcome::unknown) {
        ++rank.unknown;
        return;
    }
    ++rank.refused_not_run;
    outcome_.calls[open->number].refused_not_run = true;
}

void replay::execute(const session_ptr& open, const proxy::arm_timer& armed)
{
    clock_.at(armed.expiry, [this, open] {
        perform(open, open->flow->on_timer(clock_.now(), open->at->random));
    });
}

void replay::heard(const session_ptr& open,
                   std::size_t attempt,
                   const attempt_reply& reply)
{
    support::random_engine& random = open->at->random;
    if (reply.status == 0) {
        return perform(open,
                       open->flow->on_refusal(attempt, reply.why, reply.load,
                                              clock_.now(), random));
    }
    const auto actions = open->flow->on_response(
        attempt, reply.load, reply.status, clock_.now(), random);
    const bool forwards =
        !actions.empty() &&
        std::holds_alternative<proxy::forward_response>(actions.front());
    if (forwards) {
        rank_outcome& rank = outcome_.ranks[open->rank];
        const bool good = reply.status < 500;
        ++(good ? rank.answered : rank.unknown);
        if (good) {
            rank.latencies_ms.push_back(
                support::to_ms(clock_.now() - open->offered_at));
        }
    }
    perform(open, actions);
}

void replay::change(const upstream_event& event)
{
    const auto found = by_id_.find(event.id);
    if (found == by_id_.end())
        return;
    fake_upstream& upstream = *found->second;
    const bool served = upstream.serves();
    upstream.apply(event);
    if (event.what == upstream_change::drain && served)
        return notify_drain(upstream);
    if (event.what == upstream_change::stop)
        return tell_members(upstream, member_state::dead, detection_ms);
    if (event.what != upstream_change::start)
        return;
    ++incarnations_[event.id];
    tell_members(upstream, member_state::alive, announced_ms);
}

/// The gate tells its links at once; membership follows.
void replay::notify_drain(const fake_upstream& upstream)
{
    for (const auto& peer : entries_) {
        clock_.after(delay_ms(*peer, upstream), [this, &peer, &upstream] {
            peer->router.on_gate_draining(upstream.spec().id, clock_.now());
        });
    }
    tell_members(upstream, member_state::draining, announced_ms);
}

membership::member_record replay::record_of(const fake_upstream& upstream,
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

void replay::tell_members(const fake_upstream& upstream,
                          member_state state,
                          double after_ms)
{
    const membership::member_record record = record_of(upstream, state);
    for (const auto& peer : entries_) {
        clock_.after(after_ms, [this, &peer, record] {
            // Word of an earlier life comes too late.
            if (record.incarnation == incarnations_[record.id])
                peer->router.on_record(record, clock_.now());
        });
    }
}

double replay::delay_ms(const entry& from, const fake_upstream& to)
{
    const bool same = from.domain == to.spec().domain;
    const double least = same ? within_domain_ms : given_.one_way_ms;
    return least * (1 + delay_variation * support::uniform_unit(link_random_));
}

} // namespace galenarudder::replay
