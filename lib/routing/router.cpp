// Keeps the view of the fleet's upstreams and picks from it.
#include "galenarudder/routing/router.hpp"

#include "galenarudder/routing/ejection.hpp"
#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace galenarudder::routing {

using config::automation_mode;
using membership::member_record;
using membership::member_state;

namespace {

/// An upstream that said it leaves is kept out this long, by when membership
/// tells whether it did.
constexpr support::milliseconds leaving_time{5000};

bool is_gone(const member_record& record)
{
    return record.state == member_state::left ||
           record.state == member_state::dead;
}

/// Whether two records of a member mean the same for routing.
bool same_for_routing(const member_record& left, const member_record& right)
{
    return membership::serves_calls(left) == membership::serves_calls(right) &&
           left.service == right.service && left.domain == right.domain &&
           left.slots == right.slots && left.link == right.link &&
           left.incarnation == right.incarnation;
}

bool is_leaving(const upstream_state& upstream, support::time_point now)
{
    return upstream.leaving_until_ns.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
}

bool is_tried(const candidate& upstream, const pick_request& request)
{
    return std::find(request.tried.begin(), request.tried.end(),
                     upstream.member) != request.tried.end();
}

/// How much a pick may overlook when nothing better is left.
enum class tolerance
{
    healthy_only,
    ejected_too,
    leaving_too
};

bool is_usable(const candidate& upstream,
               tolerance allowed,
               support::time_point now)
{
    if (allowed == tolerance::leaving_too)
        return true;
    if (is_leaving(*upstream.state, now))
        return false;
    return allowed == tolerance::ejected_too ||
           !is_ejected(*upstream.state, now);
}

/// Candidates of one pick, without allocation.
class selection
{
public:
    void add(const candidate& upstream) { places_[size_++] = &upstream; }
    void add_all(std::span<const candidate> upstreams)
    {
        for (const candidate& upstream : upstreams)
            add(upstream);
    }
    bool empty() const { return size_ == 0; }
    std::span<const candidate*> all() { return {places_.data(), size_}; }

private:
    std::array<const candidate*, max_candidates> places_;
    std::size_t size_ = 0;
};

/// The candidates of one pick: all, or those of the own failure domain.
using candidate_span = std::span<const candidate>;

/// Fills \p into with what is left at the least tolerance that leaves any.
void select(candidate_span among,
            const pick_request& request,
            support::time_point now,
            selection& into)
{
    for (const tolerance allowed :
         {tolerance::healthy_only, tolerance::ejected_too,
          tolerance::leaving_too}) {
        for (const candidate& upstream : among) {
            if (is_usable(upstream, allowed, now) &&
                !is_tried(upstream, request))
                into.add(upstream);
        }
        if (!into.empty())
            return;
    }
}

bool any_out(const service_view& service, support::time_point now)
{
    return service.shared->any_out_until_ns.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
}

bool any_healthy(candidate_span among, support::time_point now)
{
    for (const candidate& upstream : among) {
        if (is_usable(upstream, tolerance::healthy_only, now))
            return true;
    }
    return false;
}

void set_leaving(upstream_state& upstream, support::time_point now)
{
    const std::int64_t until_ns =
        (now + leaving_time).time_since_epoch().count();
    upstream.leaving_until_ns = until_ns;
    upstream.service->note_out_until(until_ns);
}

} // namespace

struct router::state
{
    std::string own_domain;
    std::string own_member;
    telemetry::decision_log* decisions = nullptr;
    // Control thread only.
    std::map<support::member_id, member_record> records;
    std::map<support::member_id, std::shared_ptr<upstream_state>> states;
    std::map<std::string, std::set<support::member_id>> members_of;
    std::map<std::string, std::shared_ptr<service_state>> services;
    std::map<std::string, std::shared_ptr<link_delay>> links;
    double saved_extra_of_fleet = 0;
    config::configuration in_force = config::default_configuration();
    fleet_view current;
    // Read on the path of a call.
    support::rcu_cell<fleet_view> view{std::make_unique<fleet_view>()};

    void publish();
    void forget(const member_record& record);
    void rebuild(const std::string& service);
    std::shared_ptr<const service_view> view_of(const std::string& name);
    std::shared_ptr<upstream_state> state_of(const member_record& record);
    candidate_span reachable(const service_view& service,
                             const routing_limits& limits,
                             support::time_point now) const;
    void record_reroute(const service_view& service,
                        bool out,
                        automation_mode mode,
                        support::time_point now) const;
};

/// Each upstream has an entry beside it, so that their number divides what the
/// fleet may save; retries and hedges take one half each.
void router::state::publish()
{
    if (saved_extra_of_fleet > 0) {
        const double entries =
            static_cast<double>(std::max<std::size_t>(records.size(), 1));
        current.limits.saved_extra = std::clamp<double>(
            saved_extra_of_fleet / (2 * entries), 1, budget::max_burst);
    }
    view.replace(std::make_unique<fleet_view>(current));
}

void router::state::forget(const member_record& record)
{
    members_of[record.service].erase(record.id);
    states.erase(record.id);
}

std::shared_ptr<upstream_state>
router::state::state_of(const member_record& record)
{
    std::shared_ptr<upstream_state>& kept = states[record.id];
    if (kept)
        return kept;
    std::shared_ptr<service_state>& service = services[record.service];
    if (!service)
        service = std::make_shared<service_state>(record.service);
    std::shared_ptr<link_delay>& link =
        links[record.service + '/' + record.domain];
    if (!link)
        link = std::make_shared<link_delay>();
    kept = std::make_shared<upstream_state>(service, link);
    return kept;
}

std::shared_ptr<const service_view>
router::state::view_of(const std::string& name)
{
    std::vector<candidate> all;
    for (const support::member_id& id : members_of[name]) {
        const member_record& record = records.at(id);
        if (!membership::serves_calls(record))
            continue;
        all.push_back({id, record.domain, record.slots, state_of(record),
                       record.link, record.domain == own_domain});
    }
    if (all.empty())
        return nullptr;
    const config::service_policy* policy = in_force.find_service(name);
    auto made = std::make_shared<service_view>();
    made->shared = all.front().state->service;
    made->strategy = find_strategy(policy ? policy->strategy : "");
    if (made->strategy == nullptr)
        made->strategy = find_strategy("");
    made->candidates = subset_of(
        std::move(all), own_member,
        static_cast<std::size_t>(in_force.value(config::limit::subset_size)));
    const auto first_remote = std::stable_partition(
        made->candidates.begin(), made->candidates.end(),
        [](const candidate& upstream) { return upstream.local; });
    made->local_count =
        static_cast<std::size_t>(first_remote - made->candidates.begin());
    return made;
}

void router::state::rebuild(const std::string& service)
{
    auto& kept = current.services;
    const auto place = std::lower_bound(
        kept.begin(), kept.end(), service,
        [](const std::shared_ptr<const service_view>& view,
           const std::string& name) { return view->shared->name < name; });
    const bool known = place != kept.end() && (*place)->shared->name == service;
    std::shared_ptr<const service_view> next = view_of(service);
    if (known && next)
        *place = std::move(next);
    else if (known)
        kept.erase(place);
    else if (next)
        kept.insert(place, std::move(next));
}

router::router(std::string own_domain, std::string own_member)
    : state_(std::make_unique<state>())
{
    state_->own_domain = std::move(own_domain);
    state_->own_member = std::move(own_member);
    state_->current.limits = limits_of(state_->in_force);
    state_->publish();
}

router::~router() = default;

void router::on_record(const member_record& record, support::time_point)
{
    const auto known = state_->records.find(record.id);
    if (known == state_->records.end() && !membership::serves_calls(record))
        return;
    if (known != state_->records.end()) {
        const member_record before = known->second;
        known->second = record;
        if (same_for_routing(before, record) && !is_gone(record))
            return;
        const bool other_life = before.incarnation != record.incarnation ||
                                before.service != record.service ||
                                before.domain != record.domain;
        if (other_life || is_gone(record))
            state_->forget(before);
        if (before.service != record.service)
            state_->rebuild(before.service);
    }
    if (is_gone(record)) {
        state_->records.erase(record.id);
    } else {
        state_->records[record.id] = record;
        state_->members_of[record.service].insert(record.id);
    }
    state_->rebuild(record.service);
    state_->publish();
}

void router::on_configuration(const config::configuration& in_force)
{
    state_->in_force = in_force;
    state_->current.limits = limits_of(in_force);
    for (const auto& [service, members] : state_->members_of)
        state_->rebuild(service);
    state_->publish();
}

std::vector<upstream_load> router::loads(support::time_point now) const
{
    const auto now_ns = now.time_since_epoch().count();
    std::vector<upstream_load> all;
    for (const auto& [member, known] : state_->states) {
        all.push_back(
            {member, known->outstanding.load(), known->reported_running.load(),
             known->reported_waiting.load(), known->reported_service_ms.load(),
             known->error_rate.load(),
             known->ejected_until_ns.load() > now_ns});
    }
    return all;
}

void router::set_decision_log(telemetry::decision_log& log)
{
    state_->decisions = &log;
}

void router::set_saved_extra(double of_fleet)
{
    state_->saved_extra_of_fleet = of_fleet;
    state_->publish();
}

void router::state::record_reroute(const service_view& service,
                                   bool out,
                                   automation_mode mode,
                                   support::time_point now) const
{
    std::atomic<bool>& rerouting = service.shared->rerouting;
    if (rerouting.load(std::memory_order_relaxed) == out ||
        rerouting.exchange(out) == out)
        return;
    if (!out || decisions == nullptr)
        return;
    decisions->record({now, config::automation::reroute,
                       telemetry::effect_of(mode, true), service.shared->name,
                       "no healthy upstream in the own failure domain"});
}

/// In automatic mode the estimate decides alone; in bounded mode calls leave
/// the domain only when none of its upstreams is healthy; in observe mode
/// they stay as long as it has any.
candidate_span router::state::reachable(const service_view& service,
                                        const routing_limits& limits,
                                        support::time_point now) const
{
    const candidate_span all(service.candidates);
    const candidate_span local = all.first(service.local_count);
    if (local.empty())
        return all;
    const bool healthy = !any_out(service, now) || any_healthy(local, now);
    record_reroute(service, !healthy, limits.reroute, now);
    if (limits.reroute == automation_mode::automatic)
        return all;
    const bool must_stay = limits.reroute == automation_mode::observe;
    return must_stay || healthy ? local : all;
}

std::optional<choice> router::pick(const pick_request& request,
                                   support::time_point now,
                                   support::random_engine& random) const
{
    const auto view = state_->view.read();
    const service_view* service = view->find(request.service);
    if (service == nullptr)
        return std::nullopt;
    const routing_limits& limits = view->limits;
    const candidate_span among = state_->reachable(*service, limits, now);
    selection usable;
    if (request.tried.empty() && !any_out(*service, now))
        usable.add_all(among);
    else
        select(among, request, now, usable);
    if (usable.empty())
        return std::nullopt;
    const pick_context context{now,
                               state_->own_domain,
                               request.rank,
                               limits.samples,
                               limits.slow_start_ms,
                               &service->shared->turn};
    const std::span<const candidate*> all = usable.all();
    const candidate& picked =
        *all[service->strategy->pick(all, context, random)];
    return choice{picked.member, picked.link, picked.state, all.size() - 1};
}

void router::on_sent(const choice& chosen, support::time_point now) const
{
    upstream_state& state = *chosen.state;
    if (state.outstanding.fetch_add(1, std::memory_order_relaxed) == 0)
        state.progress_at_ns = now.time_since_epoch().count();
    state.sent_since_report.fetch_add(1, std::memory_order_relaxed);
}

void router::on_ended(const choice& chosen,
                      attempt_result how,
                      support::time_point now) const
{
    upstream_state& state = *chosen.state;
    state.outstanding.fetch_sub(1, std::memory_order_relaxed);
    if (how == attempt_result::canceled)
        return;
    state.progress_at_ns.store(now.time_since_epoch().count(),
                               std::memory_order_relaxed);
    if (how == attempt_result::leaving) {
        set_leaving(state, now);
        return;
    }
    if (how == attempt_result::answered)
        note_success(state);
    if (how != attempt_result::failed)
        return;
    const auto view = state_->view.read();
    if (!note_failure(state, view->limits, now))
        return;
    const service_view* service = view->find(state.service->name);
    if (service == nullptr)
        return;
    for (const candidate& upstream : service->candidates) {
        if (upstream.state == chosen.state)
            eject(*service, upstream, view->limits, state_->decisions, now);
    }
}

void router::on_leaving(const support::member_id& member,
                        support::time_point now) const
{
    const auto view = state_->view.read();
    for (const std::shared_ptr<const service_view>& service : view->services) {
        for (const candidate& upstream : service->candidates) {
            if (upstream.member == member)
                set_leaving(*upstream.state, now);
        }
    }
}

void router::on_report(const choice& chosen,
                       const support::load_report& report,
                       support::duration latency,
                       support::time_point now) const
{
    constexpr double mean_share = 0.05;
    constexpr auto relaxed = std::memory_order_relaxed;
    upstream_state& state = *chosen.state;
    const std::int64_t now_ns = now.time_since_epoch().count();
    std::uint32_t ahead = 0;
    for (std::size_t rank = 0; rank < max_ranks; ++rank) {
        if (rank < report.waiting_by_rank.size())
            ahead += report.waiting_by_rank[rank];
        else if (report.waiting_by_rank.empty())
            ahead = report.waiting;
        state.reported_ahead.at(rank).store(ahead, relaxed);
    }
    state.reported_running.store(report.running, relaxed);
    state.reported_waiting.store(report.waiting, relaxed);
    state.reported_limit.store(report.limit, relaxed);
    state.reported_service_ms.store(report.service_ms, relaxed);
    // The reporting call itself has ended.
    const std::uint32_t own = state.outstanding.load(relaxed);
    state.own_in_report.store(own > 0 ? own - 1 : 0, relaxed);
    state.sent_since_report.store(0, relaxed);
    const std::int64_t spell_ns =
        support::from_ms(report.spell_left_ms).count();
    state.spell_until_ns.store(spell_ns > 0 ? now_ns + spell_ns : 0, relaxed);
    if (report.age_ms > 0) {
        const std::int64_t age_ns = support::from_ms(report.age_ms).count();
        state.serving_since_ns.store(now_ns - age_ns, relaxed);
    }
    state.reported_at_ns.store(now_ns, relaxed);
    state.link->on_trip(latency - support::from_ms(report.held_ms));
    if (report.limit == 0)
        return;
    service_state& service = *state.service;
    const double load = report.running + report.waiting;
    blend(service.mean_load, load / report.limit, mean_share);
    blend(service.mean_service_ms, report.service_ms, mean_share);
}

routing_limits router::limits() const
{
    const auto view = state_->view.read();
    return view->limits;
}

telemetry::decision_log* router::decisions() const
{
    return state_->decisions;
}

} // namespace galenarudder::routing
