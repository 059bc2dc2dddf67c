/// \file
/// Chooses an upstream for each attempt of a call. Changes of membership and
/// configuration come from the control thread; picks and results come from
/// any thread and take no lock to read.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/membership/record.hpp"
#include "galenarudder/routing/fleet_view.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::telemetry {
class decision_log;
} // namespace galenarudder::telemetry

namespace galenarudder::routing {

/// The upstream chosen for one attempt.
struct choice
{
    support::member_id member;
    config::endpoint link;
    std::shared_ptr<upstream_state> state;
    /// Further upstreams that the pick could have taken.
    std::size_t others = 0;
};

struct pick_request
{
    std::string_view service;
    std::size_t rank = 0;
    /// Members that this call has tried already.
    std::span<const support::member_id> tried;
};

/// How an attempt ended, as far as routing cares.
enum class attempt_result
{
    answered,
    refused,
    failed,
    /// The answer is no longer wanted.
    canceled,
    /// The gate said that it takes no more work.
    leaving
};

/// What the router knows of one upstream's load, for diagnosis.
struct upstream_load
{
    support::member_id member;
    /// Calls that this entry sent and that have not ended.
    std::uint32_t outstanding = 0;
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    double service_ms = 0;
    /// Recent share of failed attempts, 0 to 1.
    double error_rate = 0;
    bool ejected = false;
};

class router
{
public:
    /// \p own_member makes this entry's subsets of large services its own.
    explicit router(std::string own_domain, std::string own_member = {});
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Control thread: a member's record changed.
    void on_record(const membership::member_record& record,
                   support::time_point now);
    /// Control thread: another configuration is in force.
    void on_configuration(const config::configuration& in_force);

    /// Records ejections and reroutes; call it before any other thread.
    void set_decision_log(telemetry::decision_log& log);

    /// Bounds the retries and hedges that all entries together save up for one
    /// service; 0 for no bound but each entry's own. Call it before any other
    /// thread.
    void set_saved_extra(double of_fleet);

    /// Chooses an upstream, or nothing when the service has none left.
    std::optional<choice> pick(const pick_request& request,
                               support::time_point now,
                               support::random_engine& random) const;

    /// An attempt was sent to \p chosen.
    void on_sent(const choice& chosen, support::time_point now) const;
    void on_ended(const choice& chosen,
                  attempt_result how,
                  support::time_point now) const;
    /// A gate told that it takes no more work; any thread.
    void on_leaving(const support::member_id& member,
                    support::time_point now) const;
    /// A gate's load report arrived, \p latency after its attempt was sent.
    void on_report(const choice& chosen,
                   const support::load_report& report,
                   support::duration latency,
                   support::time_point now) const;

    /// Control thread: the load of every upstream known, by member.
    std::vector<upstream_load> loads(support::time_point now) const;
    /// The limits in force for attempts and picks.
    routing_limits limits() const;
    /// Where decisions are recorded; may be null.
    telemetry::decision_log* decisions() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::routing
