// Keeps the view of the fleet's upstreams and picks from it.
#include "galenarudder/routing/router.hpp"

#include "galenarudder/support/rcu_cell.hpp"

#include <algorithm>
#include <map>

namespace galenarudder::routing {

namespace {

struct service_view
{
    std::string service;
    const pick_strategy* strategy = nullptr;
    std::vector<candidate> candidates;
    std::vector<config::endpoint> links;
};

struct fleet_view
{
    std::vector<service_view> services;
    std::size_t samples = 2;

    const service_view* find(std::string_view name) const
    {
        for (const service_view& service : services) {
            if (service.service == name)
                return &service;
        }
        return nullptr;
    }
};

} // namespace

struct router::state
{
    std::string own_domain;
    telemetry::decision_log* decisions = nullptr;
    // Control thread only.
    std::map<support::member_id, membership::member_record> records;
    std::map<support::member_id, std::shared_ptr<upstream_state>> states;
    config::configuration in_force = config::default_configuration();
    // Read on the path of a call.
    support::rcu_cell<fleet_view> view{std::make_unique<fleet_view>()};

    void rebuild();
    service_view& service_of(fleet_view& next, const std::string& name) const;
};

service_view& router::state::service_of(fleet_view& next,
                                        const std::string& name) const
{
    for (service_view& service : next.services) {
        if (service.service == name)
            return service;
    }
    const config::service_policy* policy = in_force.find_service(name);
    service_view& added = next.services.emplace_back();
    added.service = name;
    added.strategy = find_strategy(policy ? policy->strategy : "");
    if (added.strategy == nullptr)
        added.strategy = find_strategy("");
    return added;
}

void router::state::rebuild()
{
    auto next = std::make_unique<fleet_view>();
    next->samples =
        static_cast<std::size_t>(in_force.value(config::limit::pick_samples));
    for (const auto& [id, record] : records) {
        if (!membership::serves_calls(record))
            continue;
        service_view& service = service_of(*next, record.service);
        std::shared_ptr<upstream_state>& kept = states[id];
        if (!kept)
            kept = std::make_shared<upstream_state>();
        service.candidates.push_back({id, record.domain, record.slots, kept});
        service.links.push_back(record.link);
    }
    view.replace(std::move(next));
}

router::router(std::string own_domain) : state_(std::make_unique<state>())
{
    state_->own_domain = std::move(own_domain);
}

router::~router() = default;

void router::on_record(const membership::member_record& record,
                       support::time_point)
{
    state_->records[record.id] = record;
    state_->rebuild();
}

void router::on_configuration(const config::configuration& in_force)
{
    state_->in_force = in_force;
    state_->rebuild();
}

void router::set_decision_log(telemetry::decision_log& log)
{
    state_->decisions = &log;
}

std::optional<choice> router::pick(const pick_request& request,
                                   support::time_point now,
                                   support::random_engine& random) const
{
    const auto view = state_->view.read();
    const service_view* service = view->find(request.service);
    if (service == nullptr)
        return std::nullopt;
    std::vector<const candidate*> usable;
    for (const candidate& upstream : service->candidates) {
        const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                     upstream.member) != request.tried.end();
        if (!tried)
            usable.push_back(&upstream);
    }
    if (usable.empty())
        return std::nullopt;
    const pick_context context{now, state_->own_domain, request.rank,
                               view->samples};
    const candidate* picked =
        usable[service->strategy->pick(usable, context, random)];
    const auto position =
        static_cast<std::size_t>(picked - service->candidates.data());
    return choice{picked->member, service->links[position], picked->state};
}

void router::on_sent(const choice& chosen) const
{
    chosen.state->outstanding.fetch_add(1, std::memory_order_relaxed);
    chosen.state->sent_since_report.fetch_add(1, std::memory_order_relaxed);
}

void router::on_ended(const choice& chosen,
                      attempt_result,
                      support::duration,
                      support::time_point) const
{
    chosen.state->outstanding.fetch_sub(1, std::memory_order_relaxed);
}

void router::on_report(const choice& chosen,
                       const support::load_report& report,
                       support::time_point now) const
{
    upstream_state& state = *chosen.state;
    state.reported_running = report.running;
    state.reported_waiting = report.waiting;
    state.reported_service_ms = report.service_ms;
    state.reported_at_ns = now.time_since_epoch().count();
    state.sent_since_report = 0;
}

} // namespace galenarudder::routing
