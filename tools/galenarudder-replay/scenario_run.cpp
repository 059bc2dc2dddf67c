// Simulates the VMs of a scenario, each with its own and possibly outdated view
// of the others.
#include "scenario_run.hpp"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <cmath>

namespace galenarudder::replay {

using membership::member_state;
using organisations::verdict;
using support::run_outcome;

namespace {

/// The share by which a delay may exceed the shortest one.
constexpr double max_delay_variation = 0.2;
/// Time until every daemon learns of a change that the member announced itself.
constexpr double announced_change_delay_ms = 200;
/// Time until membership declares a member dead that stopped without notice.
constexpr double death_detection_ms = 1500;
constexpr double gate_tick_ms = 10;
constexpr double limiter_tick_ms = 100;
/// Time before the first call. Shares of organisations' limits count only once
/// the members were live for 1 s, and a fleet in service has them.
constexpr double settling_ms = 3000;
constexpr double ms_per_s = 1000;
constexpr unsigned first_error_status = 500;
/// Message about a limit with the frame of membership and the IP header.
constexpr double limiter_message_bytes = 180;

/// Milliseconds that a message of \p bytes occupies a link.
double occupancy_ms(double bytes, double mbit_per_s)
{
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_of_mbit = 1000;
    return bytes * bits_per_byte / (mbit_per_s * bits_per_ms_of_mbit);
}

} // namespace

struct scenario_run::vm
{
    vm(std::string member, const std::string& domain_name, std::size_t domain)
        : id(std::move(member)), domain(domain), router(domain_name, id)
    {
    }

    support::member_id id;
    std::size_t domain = 0;
    routing::router router;
    support::random_engine random;
    std::unique_ptr<organisations::limiter> limiter;
    /// Calls that wait for a decision about their organisation's limit.
    std::unordered_map<organisations::call_number, call_ptr> waiting;
    std::unique_ptr<fake_upstream> upstream;
    std::uint64_t incarnation = 0;
};

/// An attempt as its entry knows it.
struct scenario_run::open_attempt
{
    admission::attempt_key key;
    vm* target = nullptr;
    /// When it reaches the gate.
    support::time_point arrival;
};

struct scenario_run::open_call
{
    /// Key in open_calls_ until it has ended.
    std::uint64_t number = 0;
    const planned_call* plan = nullptr;
    const call_type* type = nullptr;
    vm* entry = nullptr;
    /// Whether an upstream made the call.
    bool nested = false;
    /// When the caller sent it.
    support::time_point sent_at;
    support::time_point received_at;
    std::string rank;
    std::string organisation;
    std::optional<organisations::token> token;
    std::optional<proxy::call_flow> flow;
    /// Most calls have one attempt, some a second.
    boost::container::small_vector<open_attempt, 2> attempts;
    bool left_domain = false;
    bool left_region = false;
    /// Called with whether the call was answered; may be empty.
    std::function<void(bool)> on_end;
};

scenario_run::scenario_run(const scenario& played, std::uint64_t seed)
    : played_(played), seed_(seed),
      started_at_(clock_.now() + support::from_ms(settling_ms)),
      demand_(draw_demand(played, seed)), vms_by_domain_(played.domains.size()),
      link_random_(make_random(seed, random_purpose::links))
{
    for (const scenario_organisation& organisation : played.organisations) {
        std::string& rank = organisation_ranks_.emplace_back();
        for (const auto& policy : played.in_force.organisations) {
            if (policy->name == organisation.name && !policy->rank.empty())
                rank = policy->rank;
        }
    }
}

scenario_run::~scenario_run() = default;

seed_figures scenario_run::run()
{
    result_.per_second.resize(
        static_cast<std::size_t>(std::ceil(played_.seconds)));
    result_.per_call.resize(played_.calls.size());
    result_.per_organisation.resize(played_.organisations.size());
    create_fleet();
    schedule_demand();
    schedule_events();
    tick_gates();
    tick_limiters();
    while (!clock_.empty())
        clock_.run_next();
    return std::move(result_);
}

void scenario_run::create_fleet()
{
    auto fleet_random = make_random(seed_, random_purpose::fleet);
    const auto in_force =
        std::make_shared<const config::configuration>(played_.in_force);
    std::vector<membership::member_record> records;
    for (const scenario_service& service : played_.services) {
        for (std::size_t domain = 0; domain < played_.domains.size();
             ++domain) {
            const std::string& domain_name = played_.domains[domain].name;
            for (std::size_t number = 0; number < service.upstreams[domain];
                 ++number) {
                const std::string id = service.name + "-" + domain_name + "-" +
                                       std::to_string(number + 1);
                auto& added = vms_.emplace_back(
                    std::make_unique<vm>(id, domain_name, domain));
                const double unit = 2 * support::uniform_unit(fleet_random) - 1;
                upstream_spec spec;
                spec.id = id;
                spec.service = service.name;
                spec.domain = domain_name;
                spec.slots = service.slots;
                spec.slowness = 1 + service.speed_spread * unit;
                spec.states_cold = true;
                spec.cold_slowdown = service.cold_slowdown;
                added->upstream =
                    std::make_unique<fake_upstream>(clock_, spec, *in_force);
                added->upstream->on_call_started = [](std::uint64_t) {};
                vms_by_domain_[domain].push_back(added.get());
                vms_by_id_[id] = added.get();
                records.push_back(make_record(*added, member_state::alive));
            }
        }
    }
    std::vector<organisations::organisation_rate> rates;
    for (const auto& policy : in_force->organisations) {
        if (policy->calls_per_s > 0)
            rates.push_back({policy->name, policy->calls_per_s, policy->burst});
    }
    std::vector<organisations::observed_member> members;
    for (const auto& listed : vms_)
        members.push_back({listed->id, organisations::presence::live});
    for (std::size_t number = 0; number < vms_.size(); ++number) {
        vm& daemon = *vms_[number];
        daemon.random = make_random(seed_, random_purpose::entries, number);
        routing::crossing_settings crossings = played_.crossings;
        crossings.own_domain = played_.domains[daemon.domain].name;
        daemon.router.set_crossings(std::move(crossings));
        daemon.router.set_fleet_saved_extra_attempts(
            played_.saved_extra_attempts);
        daemon.router.on_configuration(in_force);
        daemon.router.on_records(records);
        if (rates.empty())
            continue;
        auto limiter_random =
            make_random(seed_, random_purpose::limiters, number);
        daemon.limiter = std::make_unique<organisations::limiter>(
            daemon.id,
            vms_.size() > 1 ? organisations::peer_expectation::certain
                            : organisations::peer_expectation::none,
            played_.organisation_tolerance, limiter_random());
        daemon.limiter->configure(rates, clock_.now());
        execute(daemon, daemon.limiter->on_members(members, clock_.now()));
    }
}

/// Schedules one call at a time, which keeps the timeline short.
void scenario_run::schedule_demand()
{
    const auto schedule = [this](const auto& self, std::size_t next) -> void {
        if (next == demand_.size()) {
            demand_left_ = false;
            return;
        }
        const planned_call& plan = demand_[next];
        clock_.at(started_at_ + support::from_ms(plan.at_ms), [this, self, next,
                                                               &plan] {
            const auto& candidates = vms_by_domain_[plan.domain];
            vm& entry = *candidates[plan.entry_choice % candidates.size()];
            offer(plan, entry, nullptr);
            self(self, next + 1);
        });
    };
    schedule(schedule, 0);
}

std::vector<scenario_run::vm*> scenario_run::affected(const fleet_event& event)
{
    std::vector<vm*> chosen;
    for (vm* candidate : vms_by_domain_[event.domain]) {
        if (event.service.empty() ||
            event.service == candidate->upstream->spec().service)
            chosen.push_back(candidate);
    }
    auto random = make_random(
        seed_, random_purpose::fleet,
        static_cast<std::uint64_t>(&event - played_.events.data()) + 1);
    std::shuffle(chosen.begin(), chosen.end(), random);
    const double count =
        std::round(event.share * static_cast<double>(chosen.size()));
    chosen.resize(static_cast<std::size_t>(count));
    return chosen;
}

void scenario_run::schedule_events()
{
    for (const fleet_event& event : played_.events) {
        const support::time_point begin =
            started_at_ + support::from_ms(event.when.at_s * ms_per_s);
        const support::time_point end =
            begin + support::from_ms(event.when.for_s * ms_per_s);
        for (vm* target : affected(event)) {
            const support::member_id& id = target->id;
            const upstream_event starts{id, upstream_change::start,
                                        event.cold_ms};
            const auto at = [&](support::time_point time,
                                const upstream_event& change_event) {
                clock_.at(time, [this, target, change_event] {
                    change(*target, change_event);
                });
            };
            switch (event.change) {
            case fleet_change::stop:
                at(begin, {id, upstream_change::stop, 0});
                if (event.when.for_s > 0)
                    at(end, starts);
                break;
            case fleet_change::slow:
                at(begin, {id, upstream_change::slow, event.factor});
                if (event.when.for_s > 0)
                    at(end, {id, upstream_change::slow, 1});
                break;
            case fleet_change::restart:
                at(begin, starts);
                break;
            }
        }
    }
}

void scenario_run::tick_gates()
{
    if (done())
        return;
    for (const auto& ticked : vms_)
        ticked->upstream->tick();
    clock_.after(gate_tick_ms, [this] { tick_gates(); });
}

void scenario_run::tick_limiters()
{
    if (done())
        return;
    for (const auto& ticked : vms_) {
        if (ticked->limiter)
            execute(*ticked, ticked->limiter->on_tick(clock_.now()));
    }
    clock_.after(limiter_tick_ms, [this] { tick_limiters(); });
}

void scenario_run::offer(const planned_call& plan,
                         vm& entry,
                         std::function<void(bool)> on_end)
{
    auto call = std::make_shared<open_call>();
    call->plan = &plan;
    call->type = &played_.calls[plan.type];
    call->entry = &entry;
    call->nested = static_cast<bool>(on_end);
    call->sent_at = clock_.now();
    call->rank = call->type->rank;
    call->on_end = std::move(on_end);
    if (plan.organisation) {
        call->organisation = played_.organisations[*plan.organisation].name;
        // A policy's rank takes precedence over that of the call.
        const std::string& rank = organisation_ranks_[*plan.organisation];
        if (!rank.empty())
            call->rank = rank;
    }
    call->number = ++last_call_;
    open_calls_.emplace(call->number, call);
    count(*call, figure::offered);
    const double caller_ms = call->nested ? 0 : played_.links.to_callers_ms;
    clock_.after(caller_ms, [this, call] {
        call->received_at = clock_.now();
        limit(call);
    });
}

void scenario_run::limit(const call_ptr& call)
{
    vm& entry = *call->entry;
    const auto hash = organisations::hash_of(call->organisation);
    if (call->organisation.empty() || !entry.limiter ||
        !entry.limiter->has_limit(hash))
        return begin(call);
    const auto decision = entry.limiter->admit(hash, clock_.now());
    const bool enforced =
        played_.in_force.mode(config::automation::organisation_limit) !=
        config::automation_mode::observe;
    if (enforced && decision.result == verdict::waiting) {
        const organisations::call_number number = decision.call;
        entry.waiting[number] = call;
        clock_.at(clock_.now() + organisations::resend_time,
                  [this, &entry, hash, number] {
                      if (!entry.waiting.contains(number))
                          return;
                      entry.limiter->on_reply_late(hash, number);
                      flush(entry);
                  });
        clock_.at(clock_.now() + organisations::reply_time, [this, &entry, hash,
                                                             number] {
            const auto found = entry.waiting.find(number);
            if (found == entry.waiting.end())
                return;
            const auto late =
                entry.limiter->on_wait_over(hash, number, clock_.now());
            if (late.result == verdict::waiting)
                return;
            const call_ptr decided = found->second;
            entry.waiting.erase(found);
            on_admission(decided, late);
        });
    }
    if (entry.limiter->wants_to_send())
        flush(entry);
    if (!enforced)
        return begin(call);
    if (decision.result != verdict::waiting)
        on_admission(call, decision);
}

void scenario_run::on_admission(const call_ptr& call,
                                const organisations::admission& decision)
{
    if (decision.result == verdict::refused) {
        return execute(
            call, proxy::refuse_call{{support::refusal_kind::organisation_limit,
                                      run_outcome::not_run, true,
                                      decision.retry_after, ""}});
    }
    call->token = decision.used;
    begin(call);
}

void scenario_run::flush(vm& sender)
{
    execute(sender, sender.limiter->flush(clock_.now()));
}

void scenario_run::execute(vm& sender,
                           const std::vector<organisations::action>& actions)
{
    for (const organisations::action& action : actions) {
        if (const auto* sent =
                std::get_if<organisations::send_message>(&action)) {
            vm& receiver = *vms_by_id_.at(sent->to);
            const double delay_ms = transfer_ms(sender.domain, receiver.domain,
                                                limiter_message_bytes);
            clock_.after(delay_ms, [this, &sender, &receiver,
                                    payload = sent->payload] {
                if (receiver.limiter)
                    execute(receiver, receiver.limiter->on_message(
                                          sender.id, payload, clock_.now()));
            });
            continue;
        }
        const auto& decided = std::get<organisations::call_decided>(action);
        const auto found = sender.waiting.find(decided.decision.call);
        if (found == sender.waiting.end())
            continue;
        const call_ptr call = found->second;
        sender.waiting.erase(found);
        on_admission(call, decided.decision);
    }
}

void scenario_run::begin(const call_ptr& call)
{
    proxy::call_properties properties;
    properties.service = call->type->service;
    properties.rank = *played_.in_force.rank_index(call->rank);
    properties.deadline =
        call->received_at + support::from_ms(call->type->deadline_ms);
    properties.in_time_until =
        call->received_at + support::from_ms(call->type->goal_ms);
    properties.repeatable = call->type->repeatable;
    call->flow.emplace(call->entry->router, properties);
    perform(call, call->flow->start(clock_.now(), call->entry->random));
}

/// Makes the calls of \p parent from the one at \p next on.
void scenario_run::run_nested(const planned_call& parent,
                              std::size_t next,
                              vm& entry,
                              const std::function<void(bool)>& on_end)
{
    if (next == parent.nested.size())
        return on_end(true);
    offer(parent.nested[next], entry,
          [this, &parent, next, &entry, on_end](bool answered) {
              if (!answered)
                  return on_end(false);
              run_nested(parent, next + 1, entry, on_end);
          });
}

void scenario_run::perform(const call_ptr& call,
                           const std::vector<proxy::call_action>& actions)
{
    for (const proxy::call_action& action : actions)
        std::visit([&](const auto& details) { execute(call, details); },
                   action);
}

void scenario_run::execute(const call_ptr& call,
                           const proxy::send_attempt& action)
{
    vm& target = *vms_by_id_.at(action.target.member);
    const auto length = distance_between(call->entry->domain, target.domain);
    call->left_domain |= length != routing::distance::same_domain;
    call->left_region |= length == routing::distance::other_region;
    sent_attempt sent;
    sent.gate_attempt.key = {1, support::attempt_id{++last_attempt_id_}};
    sent.gate_attempt.rank = call->rank;
    sent.gate_attempt.deadline =
        call->received_at + support::from_ms(call->type->deadline_ms);
    sent.gate_attempt.in_time_until =
        call->received_at + support::from_ms(call->type->goal_ms);
    sent.gate_attempt.repeatable = call->type->repeatable;
    sent.gate_attempt.may_hand_back = action.may_hand_back;
    sent.gate_attempt.organisation = call->organisation;
    sent.gate_attempt.nested =
        call->nested && !played_.in_force.organisations.empty();
    sent.work_ms = call->plan->work_ms;
    sent.repeatable = call->type->repeatable;
    sent.sent_at = clock_.now();
    if (!call->plan->nested.empty()) {
        sent.run_nested_calls = [this, plan = call->plan,
                                 &target](const auto& on_end) {
            run_nested(*plan, 0, target, on_end);
        };
    }
    sent.reply = [this, call, &target,
                  attempt = action.attempt](attempt_reply reply) {
        const double bytes = reply.status == 0 ? 0 : call->type->response_bytes;
        clock_.after(transfer_ms(target.domain, call->entry->domain, bytes),
                     [this, call, attempt, reply = std::move(reply)] {
                         on_reply(call, attempt, reply);
                     });
    };
    const support::time_point arrival =
        clock_.now() +
        support::from_ms(transfer_ms(call->entry->domain, target.domain,
                                     call->type->request_bytes));
    call->attempts.push_back({sent.gate_attempt.key, &target, arrival});
    clock_.at(arrival, [&target, sent = std::move(sent)]() mutable {
        target.upstream->receive(std::move(sent));
    });
}

void scenario_run::execute(const call_ptr& call,
                           const proxy::cancel_attempt& action)
{
    const open_attempt& canceled = call->attempts.at(action.attempt);
    vm& target = *canceled.target;
    const support::time_point expected =
        clock_.now() +
        support::from_ms(transfer_ms(call->entry->domain, target.domain, 0));
    // A link delivers in order: the cancellation must not overtake the attempt.
    clock_.at(std::max(expected, canceled.arrival),
              [&target, key = canceled.key] { target.upstream->cancel(key); });
}

void scenario_run::execute(const call_ptr&, const proxy::forward_response&)
{
    // on_reply counts the response, whose status it knows.
}

void scenario_run::execute(const call_ptr& call,
                           const proxy::refuse_call& action)
{
    const bool not_run = action.refusal.outcome == run_outcome::not_run;
    if (not_run && call->token)
        call->entry->limiter->give_back(*call->token, clock_.now());
    finish(call, not_run ? figure::refused_at_once : figure::failed);
}

void scenario_run::execute(const call_ptr& call, const proxy::arm_timer& action)
{
    // Does not keep the call: most timers expire long after its end.
    clock_.at(action.expiry, [this, number = call->number] {
        const auto found = open_calls_.find(number);
        if (found == open_calls_.end())
            return;
        const call_ptr timed = found->second;
        perform(timed,
                timed->flow->on_timer(clock_.now(), timed->entry->random));
    });
}

void scenario_run::on_reply(const call_ptr& call,
                            std::size_t attempt,
                            const attempt_reply& reply)
{
    support::random_engine& random = call->entry->random;
    if (reply.status == 0) {
        return perform(call, call->flow->on_refusal(attempt, reply.refusal,
                                                    reply.load, clock_.now(),
                                                    random));
    }
    const auto actions = call->flow->on_response(
        attempt, reply.load, reply.status, clock_.now(), random);
    const bool forwards = std::any_of(
        actions.begin(), actions.end(), [](const proxy::call_action& action) {
            return std::holds_alternative<proxy::forward_response>(action);
        });
    perform(call, actions);
    if (!forwards)
        return;
    call->flow->on_bytes(static_cast<std::uint64_t>(
        call->type->request_bytes + call->type->response_bytes));
    call->flow->on_response_end(true, clock_.now());
    finish(call, reply.status < first_error_status ? figure::in_time
                                                   : figure::failed);
}

/// Counts a call with \p outcome, or with the figure that it becomes if the
/// caller has the answer only after its goal.
void scenario_run::finish(const call_ptr& call, figure outcome)
{
    const double caller_ms = call->nested ? 0 : played_.links.to_callers_ms;
    const double took_ms =
        support::to_ms(clock_.now() - call->sent_at) + caller_ms;
    if (took_ms > call->type->goal_ms) {
        if (outcome == figure::in_time)
            outcome = figure::late;
        if (outcome == figure::refused_at_once)
            outcome = figure::failed;
    }
    open_calls_.erase(call->number);
    count(*call, outcome);
    if (call->left_domain)
        count(*call, figure::left_domain);
    if (call->left_region)
        count(*call, figure::left_region);
    if (call->on_end)
        call->on_end(outcome == figure::in_time || outcome == figure::late);
}

void scenario_run::count(const open_call& call, figure which)
{
    ++at(result_.per_call.at(call.plan->type), which);
    if (call.nested)
        return;
    ++at(result_.total, which);
    const auto second = static_cast<std::size_t>(call.plan->at_ms / ms_per_s);
    ++at(result_.per_second.at(second), which);
    if (call.plan->organisation)
        ++at(result_.per_organisation.at(*call.plan->organisation), which);
}

void scenario_run::change(vm& changed, const upstream_event& event)
{
    changed.upstream->apply(event);
    if (event.change == upstream_change::stop)
        return announce(changed, member_state::dead, death_detection_ms);
    if (event.change != upstream_change::start)
        return;
    ++changed.incarnation;
    announce(changed, member_state::alive, announced_change_delay_ms);
}

membership::member_record scenario_run::make_record(const vm& described,
                                                    member_state state) const
{
    const upstream_spec& spec = described.upstream->spec();
    membership::member_record record;
    record.id = spec.id;
    record.incarnation = described.incarnation;
    record.state = state;
    record.domain = spec.domain;
    record.service = spec.service;
    record.slots = spec.slots;
    return record;
}

void scenario_run::announce(vm& changed, member_state state, double after_ms)
{
    clock_.after(after_ms,
                 [this, &changed, record = make_record(changed, state)] {
                     // Ignores the state of an earlier instance.
                     if (record.incarnation != changed.incarnation)
                         return;
                     for (const auto& informed : vms_)
                         informed->router.on_record(record, clock_.now());
                 });
}

routing::distance scenario_run::distance_between(std::size_t from,
                                                 std::size_t to) const
{
    if (from == to)
        return routing::distance::same_domain;
    return played_.domains[from].region == played_.domains[to].region
               ? routing::distance::same_region
               : routing::distance::other_region;
}

/// Returns the time until a message that is sent now arrives. One between
/// regions waits until the link has sent the earlier ones.
double scenario_run::transfer_ms(std::size_t from_domain,
                                 std::size_t to_domain,
                                 double bytes)
{
    const auto length = distance_between(from_domain, to_domain);
    const double delay_ms =
        played_.links.one_way_ms.at(static_cast<std::size_t>(length)) *
        (1 + max_delay_variation * support::uniform_unit(link_random_));
    const double mbit_per_s = played_.links.between_regions_mbit_per_s;
    if (length != routing::distance::other_region || mbit_per_s <= 0)
        return delay_ms;
    support::time_point& busy_until =
        link_busy_until_[{played_.domains[from_domain].region,
                          played_.domains[to_domain].region}];
    busy_until = std::max(busy_until, clock_.now()) +
                 support::from_ms(occupancy_ms(bytes, mbit_per_s));
    return support::to_ms(busy_until - clock_.now()) + delay_ms;
}

} // namespace galenarudder::replay
