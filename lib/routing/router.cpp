// The control thread edits a view of the fleet and publishes copies of it, from
// which other threads pick.
#include "galenarudder/routing/router.hpp"

#include "galenarudder/routing/ejection.hpp"
#include "galenarudder/routing/estimate.hpp"
#include "galenarudder/routing/timely_start.hpp"
#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/telemetry/decision_log.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <map>
#include <set>

namespace galenarudder::routing {

using config::automation_mode;
using membership::member_record;
using membership::member_state;

namespace {

/// Time for which an upstream is excluded after its gate said that it accepts
/// no more calls. Within this time membership shows whether it left.
constexpr support::milliseconds draining_exclusion{5000};
/// Size of a call's request and response until some were seen.
constexpr double assumed_call_bytes = 4096;
/// Refusals within this time are recorded as one decision.
constexpr support::milliseconds refusal_record_interval{1000};
/// Refused calls return within this time after the end of the cold time, when
/// there is room for many times as many calls.
constexpr support::milliseconds return_spread{1000};
/// Entries refuse calls only if a cold time ends this soon. Before, the gates
/// know free places within the cold time for the calls to return to.
constexpr support::milliseconds max_time_to_warm{1000};
constexpr support::milliseconds min_return_time{100};

bool is_gone(const member_record& record)
{
    return record.state == member_state::left ||
           record.state == member_state::dead;
}

/// Returns whether two records of a member are equal in all that routing uses.
bool same_for_routing(const member_record& left, const member_record& right)
{
    return membership::serves_calls(left) == membership::serves_calls(right) &&
           left.service == right.service && left.domain == right.domain &&
           left.slots == right.slots && left.link == right.link &&
           left.incarnation == right.incarnation;
}

bool is_draining(const upstream_state& upstream, support::time_point now)
{
    return upstream.draining_until_ns.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
}

/// Returns whether the call has not tried the upstream and may be served in its
/// region.
bool is_permitted(const candidate& upstream, const pick_request& request)
{
    const bool in_region =
        request.regions.empty() ||
        std::find(request.regions.begin(), request.regions.end(),
                  upstream.region) != request.regions.end();
    return in_region && std::find(request.tried.begin(), request.tried.end(),
                                  upstream.member) == request.tried.end();
}

/// Which upstreams a pick considers. The later values apply when no upstream
/// meets the earlier ones.
enum class eligibility
{
    healthy_only,
    include_ejected,
    include_draining
};

bool is_usable(const candidate& upstream,
               eligibility allowed,
               support::time_point now)
{
    if (allowed == eligibility::include_draining)
        return true;
    if (is_draining(*upstream.state, now))
        return false;
    return allowed == eligibility::include_ejected ||
           !is_ejected(*upstream.state, now);
}

/// The candidates of one pick in a fixed array, so that no memory is allocated.
class selection
{
public:
    void add(const candidate& upstream) { candidates_[size_++] = &upstream; }
    void add_all(std::span<const candidate> upstreams)
    {
        for (const candidate& upstream : upstreams)
            add(upstream);
    }
    bool empty() const { return size_ == 0; }
    /// Removes the candidates for which \p keeps does not hold, unless it holds
    /// for none. Keeps their order.
    template <typename Predicate>
    void prefer(Predicate keeps)
    {
        const auto end =
            std::remove_if(candidates_.begin(), candidates_.begin() + size_,
                           std::not_fn(keeps));
        // Nothing was moved if none is kept.
        if (end != candidates_.begin())
            size_ = static_cast<std::size_t>(end - candidates_.begin());
    }
    std::span<const candidate*> all() { return {candidates_.data(), size_}; }

private:
    std::array<const candidate*, max_candidates> candidates_;
    std::size_t size_ = 0;
};

/// The candidates of a service that a pick may use: all, or those in this
/// entry's failure domain.
using candidate_span = std::span<const candidate>;

/// Adds the untried candidates to \p selected at the strictest eligibility that
/// any of them meets.
void select(candidate_span candidates,
            const pick_request& request,
            support::time_point now,
            selection& selected)
{
    for (const eligibility allowed :
         {eligibility::healthy_only, eligibility::include_ejected,
          eligibility::include_draining}) {
        for (const candidate& upstream : candidates) {
            if (is_usable(upstream, allowed, now) &&
                is_permitted(upstream, request))
                selected.add(upstream);
        }
        if (!selected.empty())
            return;
    }
}

bool any_excluded(const service_view& service, support::time_point now)
{
    return service.state->any_excluded_until_ns.load(
               std::memory_order_relaxed) > now.time_since_epoch().count();
}

bool any_healthy(candidate_span candidates, support::time_point now)
{
    for (const candidate& upstream : candidates) {
        if (is_usable(upstream, eligibility::healthy_only, now))
            return true;
    }
    return false;
}

/// Returns whether it depends on the load of cold upstreams where the call is
/// sent.
bool decides_cold(const service_view& service,
                  const routing_limits& limits,
                  const pick_request& request)
{
    return service.cold_calls_per_s > 0 &&
           limits.cold_mode != automation_mode::observe &&
           request.in_time_until != support::time_point::max();
}

timely_inputs inputs_of(const service_view& service,
                        const pick_request& request,
                        support::time_point now)
{
    constexpr double ms_per_s = 1000;
    return {now, request.rank, request.in_time_until,
            support::from_ms(ms_per_s / service.cold_calls_per_s)};
}

void set_draining(upstream_state& upstream, support::time_point now)
{
    const std::int64_t until_ns =
        (now + draining_exclusion).time_since_epoch().count();
    upstream.draining_until_ns = until_ns;
    upstream.service->extend_exclusion(until_ns);
}

} // namespace

struct router::state
{
    std::string own_domain;
    std::string own_member;
    telemetry::decision_log* decisions = nullptr;
    // Used by the control thread only.
    std::map<support::member_id, member_record> records;
    std::map<support::member_id, std::shared_ptr<upstream_state>>
        upstream_states;
    std::map<std::string, std::set<support::member_id>> members_by_service;
    std::map<std::string, std::shared_ptr<service_state>> services;
    // By "SERVICE/DOMAIN".
    std::map<std::string, std::shared_ptr<link_delay>> link_delays;
    double fleet_saved_extra_attempts = 0;
    /// Domains whose upstreams get no calls.
    std::vector<std::string> emptied_domains;
    std::shared_ptr<const config::configuration> in_force =
        std::make_shared<const config::configuration>(
            config::default_configuration());
    /// The view that publish() makes visible to other threads.
    fleet_view next_view;
    crossing_settings crossings;
    mutable crossing_counters crossing_counts;
    mutable std::atomic<std::uint64_t> turned_away_cold{0};
    // Read by any thread on the path of a call.
    support::rcu_cell<fleet_view> published_view{
        std::make_unique<fleet_view>()};

    void publish();
    void apply_record(const member_record& record,
                      std::set<std::string>& changed_services);
    void remove_instance(const member_record& record);
    void rebuild_service(const std::string& service);
    std::shared_ptr<const service_view>
    build_service_view(const std::string& name);
    std::shared_ptr<upstream_state>
    find_or_add_upstream(const member_record& record);
    candidate_span permitted_candidates(const service_view& service,
                                        const routing_limits& limits,
                                        support::time_point now) const;
    /// The candidates of one pick, ordered by distance, and what it depends on.
    struct distance_pick
    {
        const service_view& service;
        const routing_limits& limits;
        const pick_request& request;
        const pick_context& context;
    };
    const candidate& pick_by_distance(std::span<const candidate*> usable,
                                      const distance_pick& parameters,
                                      support::random_engine& random) const;
    void record_leaving(service_state& service,
                        automation_mode mode,
                        support::time_point now) const;
    void record_cold_refusal(service_state& service,
                             support::time_point now) const;
    void record_reroute(const service_view& service,
                        bool own_domain_unhealthy,
                        automation_mode mode,
                        support::time_point now) const;
};

/// The limit for the fleet is divided by the number of entries, one half each
/// for retries and hedges. Every upstream has an entry on its VM. The number of
/// upstreams is therefore the number of entries.
void router::state::publish()
{
    if (fleet_saved_extra_attempts > 0) {
        const double entries =
            static_cast<double>(std::max<std::size_t>(records.size(), 1));
        next_view.limits.saved_extra_attempts =
            std::clamp<double>(fleet_saved_extra_attempts / (2 * entries), 1,
                               extra_attempt_budget::max_burst);
    }
    published_view.replace(std::make_unique<fleet_view>(next_view));
}

void router::state::remove_instance(const member_record& record)
{
    members_by_service[record.service].erase(record.id);
    upstream_states.erase(record.id);
}

std::shared_ptr<upstream_state>
router::state::find_or_add_upstream(const member_record& record)
{
    std::shared_ptr<upstream_state>& known = upstream_states[record.id];
    if (known)
        return known;
    std::shared_ptr<service_state>& service = services[record.service];
    if (!service)
        service = std::make_shared<service_state>(record.service);
    std::shared_ptr<link_delay>& delay =
        link_delays[record.service + '/' + record.domain];
    if (!delay)
        delay = std::make_shared<link_delay>();
    known = std::make_shared<upstream_state>(service, delay);
    return known;
}

std::shared_ptr<const service_view>
router::state::build_service_view(const std::string& name)
{
    std::vector<candidate> all;
    for (const support::member_id& id : members_by_service[name]) {
        const member_record& record = records.at(id);
        const bool emptied =
            std::find(emptied_domains.begin(), emptied_domains.end(),
                      record.domain) != emptied_domains.end();
        if (emptied || !membership::serves_calls(record))
            continue;
        all.push_back({id, record.domain, record.slots,
                       find_or_add_upstream(record), record.link,
                       crossings.distance_to(record.domain),
                       crossings.region_of(record.domain)});
    }
    if (all.empty())
        return nullptr;
    const config::service_policy* policy = in_force->find_service(name);
    auto view = std::make_shared<service_view>();
    view->state = all.front().state->service;
    view->cold_calls_per_s = policy ? policy->cold_calls_per_s : 0;
    if (view->cold_calls_per_s > 0) {
        // Every member has an entry.
        constexpr double ms_per_s = 1000;
        view->cold_interval = support::from_ms(
            ms_per_s * static_cast<double>(records.size()) /
            (static_cast<double>(all.size()) * view->cold_calls_per_s));
    }
    view->strategy = find_strategy(policy ? policy->strategy : "");
    if (view->strategy == nullptr)
        view->strategy = find_strategy("");
    const auto select_some =
        crossings.enabled() ? select_near_subset : select_subset;
    view->candidates = select_some(
        std::move(all), own_member,
        static_cast<std::size_t>(in_force->value(config::limit::subset_size)));
    std::stable_sort(view->candidates.begin(), view->candidates.end(),
                     [](const candidate& left, const candidate& right) {
                         return left.length < right.length;
                     });
    view->local_count = static_cast<std::size_t>(
        std::count_if(view->candidates.begin(), view->candidates.end(),
                      [](const candidate& upstream) {
                          return upstream.length == distance::same_domain;
                      }));
    return view;
}

void router::state::rebuild_service(const std::string& service)
{
    auto& sorted_services = next_view.services;
    const auto position = std::lower_bound(
        sorted_services.begin(), sorted_services.end(), service,
        [](const std::shared_ptr<const service_view>& view,
           const std::string& name) { return view->state->name < name; });
    const bool known = position != sorted_services.end() &&
                       (*position)->state->name == service;
    std::shared_ptr<const service_view> new_view = build_service_view(service);
    if (known && new_view)
        *position = std::move(new_view);
    else if (known)
        sorted_services.erase(position);
    else if (new_view)
        sorted_services.insert(position, std::move(new_view));
}

router::router(std::string own_domain, std::string own_member)
    : state_(std::make_unique<state>())
{
    state_->own_domain = std::move(own_domain);
    state_->crossings.own_domain = state_->own_domain;
    state_->own_member = std::move(own_member);
    state_->next_view.limits = limits_of(*state_->in_force);
    state_->publish();
}

router::~router() = default;

/// Adds the services whose upstreams change to \p changed_services.
void router::state::apply_record(const member_record& record,
                                 std::set<std::string>& changed_services)
{
    const auto known = records.find(record.id);
    if (known == records.end() && !membership::serves_calls(record))
        return;
    if (known != records.end()) {
        const member_record previous = known->second;
        known->second = record;
        if (same_for_routing(previous, record) && !is_gone(record))
            return;
        const bool new_instance = previous.incarnation != record.incarnation ||
                                  previous.service != record.service ||
                                  previous.domain != record.domain;
        if (new_instance || is_gone(record))
            remove_instance(previous);
        changed_services.insert(previous.service);
    }
    if (is_gone(record)) {
        records.erase(record.id);
    } else {
        records[record.id] = record;
        members_by_service[record.service].insert(record.id);
    }
    changed_services.insert(record.service);
}

void router::on_record(const member_record& record, support::time_point)
{
    on_records({&record, 1});
}

void router::on_records(std::span<const member_record> records)
{
    std::set<std::string> changed_services;
    for (const member_record& record : records)
        state_->apply_record(record, changed_services);
    if (changed_services.empty())
        return;
    for (const std::string& service : changed_services)
        state_->rebuild_service(service);
    state_->publish();
}

void router::on_configuration(
    std::shared_ptr<const config::configuration> in_force)
{
    state_->in_force = std::move(in_force);
    state_->next_view.limits = limits_of(*state_->in_force);
    for (const auto& [service, members] : state_->members_by_service)
        state_->rebuild_service(service);
    state_->publish();
}

std::vector<upstream_load> router::loads(support::time_point now) const
{
    const auto now_ns = now.time_since_epoch().count();
    std::vector<upstream_load> loads;
    for (const auto& [member, upstream] : state_->upstream_states) {
        loads.push_back({member, upstream->outstanding.load(),
                         upstream->reported_running.load(),
                         upstream->reported_waiting.load(),
                         upstream->reported_service_ms.load(),
                         upstream->error_rate.load(),
                         upstream->ejected_until_ns.load() > now_ns});
    }
    return loads;
}

void router::set_decision_log(telemetry::decision_log& log)
{
    state_->decisions = &log;
}

void router::set_fleet_saved_extra_attempts(double fleet_attempts)
{
    state_->fleet_saved_extra_attempts = fleet_attempts;
    state_->publish();
}

void router::set_crossings(crossing_settings settings)
{
    state_->crossings = std::move(settings);
}

const crossing_counters& router::crossings() const
{
    return state_->crossing_counts;
}

void router::on_bytes(const choice& chosen, std::uint64_t bytes) const
{
    constexpr double sample_weight = 0.05;
    std::atomic<double>& mean = chosen.state->service->mean_call_bytes;
    const auto sample = static_cast<double>(bytes);
    if (mean.load(std::memory_order_relaxed) == 0)
        mean.store(sample, std::memory_order_relaxed);
    else
        update_average(mean, sample, sample_weight);
    state_->crossing_counts.bytes.at(static_cast<std::size_t>(chosen.length))
        .fetch_add(bytes, std::memory_order_relaxed);
}

/// Records when many calls of a service begin and cease to leave their domain.
void router::state::record_leaving(service_state& service,
                                   automation_mode mode,
                                   support::time_point now) const
{
    constexpr double many = 0.2;
    constexpr double few = 0.05;
    const double wanted = service.crossings.wanted();
    const bool known = service.known_leaving.load(std::memory_order_relaxed);
    const bool leaving = known ? wanted > few : wanted > many;
    if (leaving == known || service.known_leaving.exchange(leaving) == leaving)
        return;
    if (decisions == nullptr)
        return;
    decisions->record({now, config::automation::reroute,
                       telemetry::effect_of(mode, true), service.name,
                       leaving ? "calls leave their failure domain, since its "
                                 "upstreams are expected to answer late"
                               : "calls stay in their failure domain again"});
}

void router::set_emptied_domains(std::vector<std::string> domains)
{
    state_->emptied_domains = std::move(domains);
    for (const auto& [service, members] : state_->members_by_service)
        state_->rebuild_service(service);
    state_->publish();
}

void router::state::record_reroute(const service_view& service,
                                   bool own_domain_unhealthy,
                                   automation_mode mode,
                                   support::time_point now) const
{
    std::atomic<bool>& known_unhealthy = service.state->own_domain_unhealthy;
    if (known_unhealthy.load(std::memory_order_relaxed) ==
            own_domain_unhealthy ||
        known_unhealthy.exchange(own_domain_unhealthy) == own_domain_unhealthy)
        return;
    if (!own_domain_unhealthy || decisions == nullptr)
        return;
    decisions->record(
        {now, config::automation::reroute, telemetry::effect_of(mode, true),
         service.state->name,
         "no healthy upstream in the failure domain of this entry"});
}

/// In automatic mode the pick strategy alone decides, or choose_distance if
/// crossings have a price. In bounded mode calls leave the failure domain only
/// if none of its upstreams is healthy, or, if crossings have a price, up to
/// the configured share. In observe mode they stay as long as the domain has
/// any upstream.
candidate_span
router::state::permitted_candidates(const service_view& service,
                                    const routing_limits& limits,
                                    support::time_point now) const
{
    const candidate_span all(service.candidates);
    const candidate_span local = all.first(service.local_count);
    if (local.empty())
        return all;
    const bool healthy = !any_excluded(service, now) || any_healthy(local, now);
    record_reroute(service, !healthy, limits.reroute_mode, now);
    const bool bounded_by_share =
        crossings.enabled() && limits.reroute_mode == automation_mode::bounded;
    if (limits.reroute_mode == automation_mode::automatic || bounded_by_share)
        return all;
    const bool must_stay = limits.reroute_mode == automation_mode::observe;
    return must_stay || healthy ? local : all;
}

/// Lets the strategy pick at each distance, then decides which distance to use.
/// Farther upstreams are looked at only if the near one may be late.
const candidate&
router::state::pick_by_distance(std::span<const candidate*> usable,
                                const distance_pick& parameters,
                                support::random_engine& random) const
{
    const auto& [service, limits, request, context] = parameters;
    crossing_inputs inputs;
    inputs.goal_ms = support::to_ms(request.in_time_until - context.now);
    inputs.deadline_ms = support::to_ms(request.deadline - context.now);
    inputs.bytes =
        service.state->mean_call_bytes.load(std::memory_order_relaxed);
    if (inputs.bytes == 0)
        inputs.bytes = assumed_call_bytes;
    inputs.tried = request.tried.size();
    std::array<const candidate*, distance_count> best{};
    const candidate* nearest = nullptr;
    for (auto begin = usable.begin(); begin != usable.end();) {
        const distance length = (*begin)->length;
        const auto end =
            std::find_if(begin, usable.end(), [&](const candidate* upstream) {
                return upstream->length != length;
            });
        const std::span<const candidate*> group(begin, end);
        const candidate* picked =
            group[service.strategy->pick(group, context, random)];
        const auto index = static_cast<std::size_t>(length);
        best.at(index) = picked;
        inputs.completion_ms.at(index) = expected_completion_ms(
            *picked->state,
            {context.now, context.rank, picked->slots, context.slow_start_ms});
        if (nearest == nullptr)
            nearest = picked;
        if (lateness_risk(inputs.completion_ms.at(index), inputs.goal_ms) == 0)
            break;
        begin = end;
    }
    crossing_choice chosen = choose_distance(inputs, crossings);
    if (chosen.reason != crossing_reason::gain) {
        service.state->crossings.on_stayed();
    } else if (!service.state->crossings.permit(
                   limits.leave_share, support::uniform_unit(random))) {
        chosen = {nearest->length, crossing_reason::held_back};
    }
    record_leaving(*service.state, limits.reroute_mode, context.now);
    crossing_counts.count(chosen);
    return *best.at(static_cast<std::size_t>(chosen.target));
}

std::optional<choice> router::pick(const pick_request& request,
                                   support::time_point now,
                                   support::random_engine& random) const
{
    const auto view = state_->published_view.read();
    const service_view* service = view->find(request.service);
    if (service == nullptr)
        return std::nullopt;
    const routing_limits& limits = view->limits;
    const candidate_span candidates =
        state_->permitted_candidates(*service, limits, now);
    selection usable;
    if (request.tried.empty() && request.regions.empty() &&
        !any_excluded(*service, now))
        usable.add_all(candidates);
    else
        select(candidates, request, now, usable);
    if (usable.empty())
        return std::nullopt;
    const bool cold_decides = decides_cold(*service, limits, request);
    if (cold_decides) {
        const timely_inputs inputs = inputs_of(*service, request, now);
        usable.prefer([&](const candidate* upstream) {
            return may_start_in_time(*upstream->state, inputs);
        });
    }
    const pick_context context{now,
                               state_->own_domain,
                               request.rank,
                               limits.samples,
                               limits.slow_start_ms,
                               &service->state->rotation_count};
    const std::span<const candidate*> all = usable.all();
    const candidate& picked =
        state_->crossings.enabled()
            ? state_->pick_by_distance(
                  all, {*service, limits, request, context}, random)
            : *all[service->strategy->pick(all, context, random)];
    return choice{
        picked.member, picked.link_endpoint,
        picked.state,  all.size() - 1,
        picked.length, cold_decides && counts_as_cold(*picked.state, now)};
}

/// Records the refusals of a second as one decision.
void router::state::record_cold_refusal(service_state& service,
                                        support::time_point now) const
{
    turned_away_cold.fetch_add(1, std::memory_order_relaxed);
    service.cold_refusals.fetch_add(1, std::memory_order_relaxed);
    const std::int64_t now_ns = now.time_since_epoch().count();
    std::int64_t recorded_ns = service.cold_refusals_recorded_ns.load();
    if (decisions == nullptr ||
        now_ns - recorded_ns <
            support::duration(refusal_record_interval).count() ||
        !service.cold_refusals_recorded_ns.compare_exchange_strong(recorded_ns,
                                                                   now_ns))
        return;
    decisions->record({now, config::automation::cold_admission,
                       telemetry::decision_effect::acted, service.name,
                       std::to_string(service.cold_refusals.exchange(0)) +
                           " calls that no cold upstream can start in time"});
}

std::optional<support::milliseconds>
router::turn_away_cold(const pick_request& request,
                       support::time_point now) const
{
    const auto view = state_->published_view.read();
    const service_view* service = view->find(request.service);
    if (service == nullptr || !decides_cold(*service, view->limits, request) ||
        view->limits.cold_mode != automation_mode::automatic)
        return std::nullopt;
    const timely_inputs inputs = inputs_of(*service, request, now);
    std::int64_t first_ns = std::numeric_limits<std::int64_t>::max();
    for (const candidate& upstream :
         state_->permitted_candidates(*service, view->limits, now)) {
        if (is_permitted(upstream, request) &&
            may_start_in_time(*upstream.state, inputs))
            return std::nullopt;
        if (is_known_cold(*upstream.state, now))
            first_ns = std::min(first_ns, upstream.state->cold_until_ns.load());
    }
    if (first_ns == std::numeric_limits<std::int64_t>::max())
        return std::nullopt;
    const support::time_point warm_at{support::duration(first_ns)};
    if (warm_at - now > max_time_to_warm)
        return std::nullopt;
    state_->record_cold_refusal(*service->state, now);
    const support::time_point first =
        std::max<support::time_point>(warm_at, now + min_return_time);
    return std::chrono::ceil<support::milliseconds>(
        reserve_return(*service->state, first, service->cold_interval,
                       return_spread) -
        now);
}

std::uint64_t router::turned_away_cold() const
{
    return state_->turned_away_cold.load(std::memory_order_relaxed);
}

void router::on_sent(const choice& chosen, support::time_point now) const
{
    upstream_state& upstream = *chosen.state;
    if (upstream.outstanding.fetch_add(1, std::memory_order_relaxed) == 0)
        upstream.progress_at_ns = now.time_since_epoch().count();
    upstream.sent_since_report.fetch_add(1, std::memory_order_relaxed);
}

void router::on_ended(const choice& chosen,
                      attempt_result result,
                      support::time_point now) const
{
    upstream_state& upstream = *chosen.state;
    upstream.outstanding.fetch_sub(1, std::memory_order_relaxed);
    if (result == attempt_result::canceled)
        return;
    upstream.progress_at_ns.store(now.time_since_epoch().count(),
                                  std::memory_order_relaxed);
    if (result == attempt_result::gate_draining) {
        set_draining(upstream, now);
        return;
    }
    if (result == attempt_result::answered)
        record_success(upstream);
    if (result != attempt_result::failed)
        return;
    const auto view = state_->published_view.read();
    if (!record_failure(upstream, view->limits, now))
        return;
    const service_view* service = view->find(upstream.service->name);
    if (service == nullptr)
        return;
    for (const candidate& listed : service->candidates) {
        if (listed.state == chosen.state)
            eject(*service, listed, view->limits, state_->decisions, now);
    }
}

void router::on_gate_draining(const support::member_id& member,
                              support::time_point now) const
{
    const auto view = state_->published_view.read();
    for (const std::shared_ptr<const service_view>& service : view->services) {
        for (const candidate& upstream : service->candidates) {
            if (upstream.member == member)
                set_draining(*upstream.state, now);
        }
    }
}

void router::on_report(const choice& chosen,
                       const support::load_report& report,
                       support::duration latency,
                       support::time_point now) const
{
    constexpr double sample_weight = 0.05;
    constexpr auto relaxed = std::memory_order_relaxed;
    upstream_state& upstream = *chosen.state;
    const std::int64_t now_ns = now.time_since_epoch().count();
    std::uint32_t ahead = 0;
    for (std::size_t rank = 0; rank < max_ranks; ++rank) {
        if (rank < report.waiting_by_rank.size())
            ahead += report.waiting_by_rank[rank];
        else if (report.waiting_by_rank.empty())
            ahead = report.waiting;
        upstream.reported_waiting_ahead.at(rank).store(ahead, relaxed);
    }
    upstream.reported_running.store(report.running, relaxed);
    upstream.reported_waiting.store(report.waiting, relaxed);
    upstream.reported_limit.store(report.limit, relaxed);
    upstream.reported_service_ms.store(report.service_ms, relaxed);
    // The call whose answer carried the report has ended.
    const std::uint32_t own_calls = upstream.outstanding.load(relaxed);
    upstream.own_calls_in_report.store(own_calls > 0 ? own_calls - 1 : 0,
                                       relaxed);
    upstream.sent_since_report.store(0, relaxed);
    const std::int64_t start_delay_ns =
        support::from_ms(report.start_delay_ms).count();
    upstream.starts_calls_at_ns.store(
        start_delay_ns > 0 ? now_ns + start_delay_ns : 0, relaxed);
    const std::int64_t cold_ns = support::from_ms(report.cold_ms).count();
    upstream.cold_until_ns.store(cold_ns > 0 ? now_ns + cold_ns : 0, relaxed);
    if (cold_ns > 0)
        upstream.service->cold_until_ns.store(now_ns + cold_ns, relaxed);
    if (report.age_ms > 0) {
        const std::int64_t age_ns = support::from_ms(report.age_ms).count();
        upstream.serving_since_ns.store(now_ns - age_ns, relaxed);
    }
    upstream.reported_at_ns.store(now_ns, relaxed);
    upstream.link->record_round_trip(latency -
                                     support::from_ms(report.time_at_gate_ms));
    if (report.limit == 0)
        return;
    service_state& service = *upstream.service;
    const double load = report.running + report.waiting;
    update_average(service.mean_load, load / report.limit, sample_weight);
    update_average(service.mean_service_ms, report.service_ms, sample_weight);
}

routing_limits router::limits() const
{
    const auto view = state_->published_view.read();
    return view->limits;
}

telemetry::decision_log* router::decisions() const
{
    return state_->decisions;
}

} // namespace galenarudder::routing
