/// \file
/// Picks an upstream for each attempt of a call. Membership and configuration
/// are changed on the control thread; picks and results may come from any
/// thread and read without a lock.
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

/// The upstream picked for one attempt.
struct choice
{
    support::member_id member;
    /// Where the upstream's gate accepts links.
    config::endpoint link_endpoint;
    std::shared_ptr<upstream_state> state;
    /// Number of other upstreams that could have been picked.
    std::size_t alternatives = 0;
    distance length = distance::same_domain;
    /// Whether the upstream counts as cold, so that its gate decides by when
    /// the call is late.
    bool cold = false;
};

struct pick_request
{
    std::string_view service;
    /// Position of the call's rank, 0 for the most urgent.
    std::size_t rank = 0;
    /// Members that the call has already tried.
    std::span<const support::member_id> tried;
    /// Regions whose upstreams may be picked; empty for all.
    std::span<const std::string> regions;
    /// When the call is late, and when it is of no use any more.
    support::time_point in_time_until = support::time_point::max();
    support::time_point deadline = support::time_point::max();
};

/// How an attempt ended, as far as it matters for routing.
enum class attempt_result
{
    answered,
    refused,
    failed,
    /// The answer is no longer wanted.
    canceled,
    /// The gate refused, since it accepts no more calls.
    gate_draining
};

/// The router's view of one upstream's load, for diagnostics.
struct upstream_load
{
    support::member_id member;
    /// Calls from this entry that have not ended.
    std::uint32_t outstanding = 0;
    std::uint32_t reported_running = 0;
    std::uint32_t reported_waiting = 0;
    double service_ms = 0;
    /// Recent share of failed attempts, 0 to 1.
    double error_rate = 0;
    bool ejected = false;
};

/// Keeps the state of all upstreams and picks among them.
class router
{
public:
    /// \p own_domain is this entry's failure domain. \p own_member determines
    /// which subset of a large service this entry uses.
    explicit router(std::string own_domain, std::string own_member = {});
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// A member's record changed. Control thread only.
    void on_record(const membership::member_record& record,
                   support::time_point now);
    /// The same for several members; each of their services is rebuilt once.
    void on_records(std::span<const membership::member_record> records);
    /// A new configuration is in force. Control thread only.
    void
    on_configuration(std::shared_ptr<const config::configuration> in_force);
    /// The same for a configuration that is not shared.
    void on_configuration(const config::configuration& in_force)
    {
        on_configuration(
            std::make_shared<const config::configuration>(in_force));
    }

    /// Sets where ejections and reroutes are recorded. Must be called before
    /// other threads use the router.
    void set_decision_log(telemetry::decision_log& log);

    /// Excludes the upstreams of \p domains, which operators have emptied.
    /// Control thread only.
    void set_emptied_domains(std::vector<std::string> domains);

    /// Limits the unspent tokens for retries and hedges that all entries
    /// together accumulate per service; with 0 only the limit of each entry
    /// applies. Must be called before other threads use the router.
    void set_fleet_saved_extra_attempts(double fleet_attempts);

    /// Sets what traffic between failure domains and regions is worth. Without
    /// this call distances have no price. Must be called before other threads
    /// use the router and before the first record.
    void set_crossings(crossing_settings settings);
    /// Records the bytes of a call that \p chosen answered.
    void on_bytes(const choice& chosen, std::uint64_t bytes) const;
    const crossing_counters& crossings() const;

    /// Returns the picked upstream, or \c nullopt when the service has no
    /// upstream that the call has not tried.
    std::optional<choice> pick(const pick_request& request,
                               support::time_point now,
                               support::random_engine& random) const;

    /// Returns the time after which a call may return that is refused because
    /// no upstream that it has not tried can start it in time; nullopt if one
    /// may, or if that is not decided here: the service has no cold limit, the
    /// call no goal, or the mode does not permit it.
    std::optional<support::milliseconds>
    turn_away_cold(const pick_request& request, support::time_point now) const;
    /// Returns the number of calls for which turn_away_cold returned a time.
    std::uint64_t turned_away_cold() const;

    /// Records that an attempt was sent to \p chosen.
    void on_sent(const choice& chosen, support::time_point now) const;
    /// Records how an attempt sent to \p chosen ended.
    void on_ended(const choice& chosen,
                  attempt_result result,
                  support::time_point now) const;
    /// Records that a member's gate accepts no more calls. Any thread.
    void on_gate_draining(const support::member_id& member,
                          support::time_point now) const;
    /// Records a gate's load report, received \p latency after the attempt was
    /// sent.
    void on_report(const choice& chosen,
                   const support::load_report& report,
                   support::duration latency,
                   support::time_point now) const;

    /// Returns the load of every known upstream, ordered by member. Control
    /// thread only.
    std::vector<upstream_load> loads(support::time_point now) const;
    /// Returns the limits in force.
    routing_limits limits() const;
    /// Returns the log of decisions; may be null.
    telemetry::decision_log* decisions() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::routing
