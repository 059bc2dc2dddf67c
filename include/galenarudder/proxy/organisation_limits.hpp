/// \file
/// The limits of organisations for the calls of this daemon's callers.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/membership/record.hpp"
#include "galenarudder/organisations/limiter.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/rcu_cell.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/telemetry/decision_log.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <variant>

namespace galenarudder::proxy {

/// The organisation has no limit, or its limit is only observed.
struct no_token_needed
{
};

/// Decision on a call: it may run, without a token or with one that is given
/// back if the call does not run; or it is refused.
using limit_result =
    std::variant<no_token_needed, organisations::token, support::refusal>;

/// What a daemon's limits depend on.
struct limits_context
{
    /// Serializes the work of the daemon's control logic.
    boost::asio::any_io_executor control;
    const support::rcu_cell<config::configuration>* in_force = nullptr;
    telemetry::metrics* metrics = nullptr;
    telemetry::decision_log* decisions = nullptr;
    /// Sends a message to the limits of another daemon; called on \c control.
    std::function<void(const support::member_id& to, std::string payload)> send;
};

/// Runs organisations::limiter. A call of an organisation without limit takes
/// one lock and a look-up, and so does a call for which a token is in stock;
/// others wait for at most organisations::reply_time.
class organisation_limits
    : public std::enable_shared_from_this<organisation_limits>
{
public:
    organisation_limits(limits_context context,
                        support::member_id self,
                        organisations::peer_expectation expects_peers,
                        const organisations::tolerance& allowed,
                        std::uint64_t seed);
    ~organisation_limits();

    /// Waits for the decision whether the call may run. Resumes on the executor
    /// of the calling coroutine. May be called from any thread.
    boost::asio::awaitable<limit_result> admit(const support::call_head& head);
    /// Takes back the token of a call that certainly did not run. May be called
    /// from any thread.
    void give_back(const organisations::token& unused);

    /// The rest is called on the control executor.
    void configure(const config::configuration& in_force);
    void on_members(std::span<const membership::member_record> members);
    void on_message(const support::member_id& peer, const std::string& payload);
    /// Must be called about every 100 ms.
    void on_tick();
    void collect_metrics() const;

    /// Topic of the messages between daemons.
    static constexpr const char* topic = "org";

private:
    void reply_late(organisations::call_number call);

    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace galenarudder::proxy
