/// \file
/// Plays a scenario with one seed through the real router, call_flow, gate and
/// limiter, with simulated upstreams, links and membership.
#pragma once

#include "demand.hpp"
#include "fake_upstream.hpp"
#include "scenario.hpp"
#include "scenario_figures.hpp"
#include "timeline.hpp"

#include "galenarudder/organisations/limiter.hpp"
#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/routing/router.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenarudder::replay {

/// One run; can be run once. Runs of different seeds share nothing that they
/// change, so they may take place on several threads.
class scenario_run
{
public:
    /// \p played must outlive the run.
    scenario_run(const scenario& played, std::uint64_t seed);
    ~scenario_run();
    scenario_run(const scenario_run&) = delete;
    scenario_run& operator=(const scenario_run&) = delete;

    seed_figures run();

private:
    /// A VM: a daemon that takes calls, and the upstream at its gate.
    struct vm;
    struct open_attempt;
    struct open_call;
    using call_ptr = std::shared_ptr<open_call>;

    void create_fleet();
    void schedule_demand();
    void schedule_events();
    void tick_gates();
    void tick_limiters();
    bool done() const { return !demand_left_ && open_calls_.empty(); }

    void offer(const planned_call& plan,
               vm& entry,
               std::function<void(bool)> on_end);
    void limit(const call_ptr& call);
    void on_admission(const call_ptr& call,
                      const organisations::admission& decision);
    void begin(const call_ptr& call);
    void run_nested(const planned_call& parent,
                    std::size_t next,
                    vm& entry,
                    const std::function<void(bool)>& on_end);
    void perform(const call_ptr& call,
                 const std::vector<proxy::call_action>& actions);
    void execute(const call_ptr& call, const proxy::send_attempt& action);
    void execute(const call_ptr& call, const proxy::cancel_attempt& action);
    void execute(const call_ptr& call, const proxy::forward_response& action);
    void execute(const call_ptr& call, const proxy::refuse_call& action);
    void execute(const call_ptr& call, const proxy::arm_timer& action);
    void on_reply(const call_ptr& call,
                  std::size_t attempt,
                  const attempt_reply& reply);
    void finish(const call_ptr& call, figure outcome);
    void count(const open_call& call, figure which);

    void execute(vm& sender, const std::vector<organisations::action>& actions);
    void flush(vm& sender);

    void change(vm& changed, const upstream_event& event);
    void announce(vm& changed, membership::member_state state, double after_ms);
    membership::member_record make_record(const vm& described,
                                          membership::member_state state) const;
    std::vector<vm*> affected(const fleet_event& event);

    routing::distance distance_between(std::size_t from, std::size_t to) const;
    double
    transfer_ms(std::size_t from_domain, std::size_t to_domain, double bytes);

    const scenario& played_;
    std::uint64_t seed_;
    timeline clock_;
    support::time_point started_at_;
    std::vector<planned_call> demand_;
    std::vector<std::unique_ptr<vm>> vms_;
    std::vector<std::vector<vm*>> vms_by_domain_;
    std::unordered_map<support::member_id, vm*> vms_by_id_;
    support::random_engine link_random_;
    /// Until when the link from one region to another is busy.
    std::map<std::pair<std::string, std::string>, support::time_point>
        link_busy_until_;
    std::uint64_t last_attempt_id_ = 0;
    std::uint64_t last_call_ = 0;
    /// Calls that have not ended, by number.
    std::unordered_map<std::uint64_t, call_ptr> open_calls_;
    /// Rank that each organisation's policy states, or empty texts.
    std::vector<std::string> organisation_ranks_;
    bool demand_left_ = true;
    seed_figures result_;
};

} // namespace galenarudder::replay
