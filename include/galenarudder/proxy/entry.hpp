/// \file
/// The entry: classifies requests and holds the state that all calls of this
/// daemon's callers share.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/proxy/keyed_calls.hpp"
#include "galenarudder/proxy/organisation_limits.hpp"
#include "galenarudder/routing/router.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace galenarudder::proxy {

/// A request that was matched to a route.
struct classified_call
{
    call_properties properties;
    /// The head to send to an upstream.
    support::call_head head;
    /// Largest body that the route accepts.
    std::uint64_t body_limit_bytes = 0;
    /// Time within which the route wants calls to be answered; 0 for none.
    support::milliseconds goal{0};
    /// Whether the route needs no key.
    bool open = false;
    /// Whether the configuration has organisations and the call carries no key,
    /// as calls do that upstreams make.
    bool lacks_key = false;
    /// Digest of the caller's key if the call has an idempotency key; empty if
    /// the call is of no organisation.
    std::string key_digest;
};

using classification = std::variant<classified_call, support::refusal>;

/// All members may be called from any thread, unless stated otherwise.
class entry
{
public:
    using gate_lookup = std::function<std::shared_ptr<link::gate_interface>(
        const routing::choice& target)>;

    entry(const routing::router& router,
          const support::rcu_cell<config::configuration>& in_force,
          telemetry::metrics& metrics,
          gate_lookup find_gate,
          const http_dialect& dialect = product_dialect());

    /// Determines service, route, rank and deadline of a request, or refuses
    /// it. \p head holds method, target and fields as received, \p host the
    /// value of the Host field, \p peer the address that the request came from.
    /// If the configuration has organisations, the request needs the key of one
    /// unless its route is open or the upstream on this VM sent it.
    /// Any caller may request a less urgent rank than the route's. Only the
    /// announced upstream may request a more urgent one, since it passes on the
    /// rank of the call that it serves.
    classification classify(support::call_head head,
                            std::string_view host,
                            support::time_point now,
                            std::string_view peer = {}) const;

    /// Sets the service that runs on this VM, from which the calls come. Calls
    /// that are classified from now on carry it. Waits until no call reads the
    /// previous name.
    void set_own_service(const std::string& service);

    /// Returns the limits on requests under the configuration in force.
    config::caller_limits current_caller_limits() const;
    const http_dialect& dialect() const { return dialect_; }

    /// Sets the address from which the upstream on this VM announced itself.
    void set_upstream_address(const std::string& address);

    /// Sets the address on which callers reach this daemon. Until an upstream
    /// has announced itself, for example after a restart of the daemon,
    /// requests from this address need no key, since they may be the
    /// upstream's. To be called before the first request.
    void set_own_address(std::string address)
    {
        own_address_ = std::move(address);
    }

    /// To be called before the first request. Without it, calls that have an
    /// idempotency key and are not repeatable are refused.
    void set_keyed_calls(std::shared_ptr<keyed_calls> calls);
    /// Claims the idempotency key of a call that is not repeatable, before it
    /// is dispatched.
    boost::asio::awaitable<claim_result>
    claim(const support::call_head& head,
          std::string_view key_digest,
          support::time_point deadline) const;

    /// To be called before the first request. Without it, organisations have no
    /// limits.
    void set_organisation_limits(std::shared_ptr<organisation_limits> limits);
    /// Waits until the limit of the caller's organisation leaves room for the
    /// call, before it is claimed and dispatched, or refuses it. Returns at
    /// once for a call without organisation.
    boost::asio::awaitable<limit_result>
    admit(const support::call_head& head) const;
    /// Takes back the token of a call that certainly did not run.
    void give_back(const organisations::token& unused) const;

    /// Makes every call that is classified from now on end by \p deadline.
    void set_latest_deadline(support::time_point deadline)
    {
        latest_deadline_ = deadline;
    }
    support::time_point latest_deadline() const { return latest_deadline_; }

    support::attempt_id next_attempt_id();
    std::shared_ptr<link::gate_interface>
    gate(const routing::choice& target) const
    {
        return find_gate_(target);
    }
    const routing::router& router() const { return router_; }
    telemetry::metrics& metrics() const { return metrics_; }

private:
    std::optional<support::refusal>
    apply_host_route(const config::configuration& in_force,
                     std::string_view host,
                     support::call_head& head,
                     classified_call& classified) const;
    std::optional<support::refusal>
    apply_service_route(const config::configuration& in_force,
                        std::string_view host,
                        support::call_head& head,
                        classified_call& classified) const;
    /// Sets the organisation of the call, or refuses it.
    std::optional<support::refusal>
    identify_caller(const config::configuration& in_force,
                    std::string_view peer,
                    support::call_head& head,
                    classified_call& classified) const;
    /// Returns whether requests from \p peer may be the upstream's.
    bool may_lack_key(std::string_view peer) const;
    const std::string& choose_service(const config::host_route& route) const;

    const routing::router& router_;
    const support::rcu_cell<config::configuration>& in_force_;
    telemetry::metrics& metrics_;
    gate_lookup find_gate_;
    const http_dialect& dialect_;
    support::rcu_cell<std::string> own_service_;
    std::string own_address_;
    /// Number of calls on routes that split calls among several services.
    mutable std::atomic<std::uint64_t> split_route_calls_{0};
    std::shared_ptr<keyed_calls> keyed_calls_;
    std::shared_ptr<organisation_limits> organisation_limits_;
    support::rcu_cell<std::string> upstream_address_;
    std::atomic<std::uint64_t> last_attempt_id_{0};
    std::atomic<support::time_point> latest_deadline_{
        support::time_point::max()};
};

} // namespace galenarudder::proxy
