/// \file
/// What all calls that enter at this daemon share.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/proxy/call_flow.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/proxy/keyed_calls.hpp"
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

/// The route's terms and the head to send, or why the call is refused.
struct classified_call
{
    call_terms terms;
    support::call_head head;
    std::uint64_t body_limit_bytes = 0;
};

using classification = std::variant<classified_call, support::refusal>;

/// Safe from any thread.
class entry
{
public:
    using gate_lookup = std::function<std::shared_ptr<link::gate_port>(
        const routing::choice& target)>;

    entry(const routing::router& router,
          const support::rcu_cell<config::configuration>& in_force,
          telemetry::metrics& metrics,
          gate_lookup find_gate,
          const http_dialect& dialect = product_dialect());

    /// Finds service, route, rank and deadline of a request. \p head holds
    /// method, target and fields as received; \p host the Host field; \p peer
    /// the address that the request came from. Any caller may lower the rank
    /// of the route; the announced upstream passes its own call's rank on and
    /// may raise it.
    classification classify(support::call_head head,
                            std::string_view host,
                            support::time_point now,
                            std::string_view peer = {}) const;

    /// Calls that enter here come from a VM that runs \p service.
    void set_own_service(std::string service)
    {
        own_service_ = std::move(service);
    }

    /// What callers may send under the configuration in force.
    config::caller_limits limits_of_callers() const;
    const http_dialect& dialect() const { return dialect_; }

    /// The upstream on this VM announced itself from \p address.
    void set_upstream_address(const std::string& address);

    /// Set it before the first call. Without it keyed calls that must not
    /// repeat are refused.
    void set_keyed_calls(std::shared_ptr<keyed_calls> keyed);
    /// Claims the key of a call that must not repeat, before it is dispatched.
    boost::asio::awaitable<claim_answer>
    claim(const support::call_head& head, support::time_point deadline) const;

    support::call_id next_call_id();
    std::shared_ptr<link::gate_port> gate(const routing::choice& target) const
    {
        return find_gate_(target);
    }
    const routing::router& router() const { return router_; }
    telemetry::metrics& metrics() const { return metrics_; }

private:
    std::optional<support::refusal>
    find_host(const config::configuration& in_force,
              std::string_view host,
              support::call_head& head,
              classified_call& into) const;
    std::optional<support::refusal>
    find_service_route(const config::configuration& in_force,
                       std::string_view host,
                       support::call_head& head,
                       classified_call& into) const;
    const std::string& choose(const config::host_route& route) const;

    const routing::router& router_;
    const support::rcu_cell<config::configuration>& in_force_;
    telemetry::metrics& metrics_;
    gate_lookup find_gate_;
    const http_dialect& dialect_;
    std::string own_service_;
    /// Counts calls of divided routes.
    mutable std::atomic<std::uint64_t> divided_{0};
    std::shared_ptr<keyed_calls> keyed_;
    support::rcu_cell<std::string> upstream_address_;
    std::atomic<std::uint64_t> last_call_id_{0};
};

} // namespace galenarudder::proxy
