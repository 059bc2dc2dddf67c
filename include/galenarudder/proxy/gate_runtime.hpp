/// \file
/// Carries out the I/O of the gate: runs admission::gate on one strand and
/// sends the attempts that it starts to the upstream.
#pragma once

#include "galenarudder/admission/gate.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/telemetry/decision_log.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace galenarudder::proxy {

/// What an upstream stated when it announced itself.
struct upstream_properties
{
    config::endpoint endpoint;
    std::string service;
    std::uint32_t slots = 0;
    /// Connections that it accepts; the configuration may override this.
    std::uint32_t max_connections = 0;
    /// Path of probes, load queries and checks that the upstream serves; the
    /// configuration may override this. Empty: none of them are sent.
    std::string probe_path;
    /// Id of this instance of the upstream; empty if instances have no ids.
    std::string instance;
    /// When this instance was started, as the upstream stated it.
    std::uint64_t started_ms = 0;
    /// Whether connections are opened before calls need them.
    bool warm_connections = true;
    /// How long the instance is still cold, counted from the announcement.
    support::milliseconds cold{0};
};

/// Called with the upstream once calls may be sent to it, and with null when an
/// announced upstream turns out not to serve.
using serving_handler =
    std::function<void(const upstream_properties* upstream)>;

/// All members may be called from any thread; the work runs on the strand.
class gate_runtime final : public link::gate_interface
{
public:
    gate_runtime(boost::asio::io_context& io,
                 std::shared_ptr<const config::configuration> in_force,
                 const http_dialect& dialect = product_dialect());
    ~gate_runtime() override;

    /// Submits an attempt of this daemon's own entry.
    void submit(link::exchange_ptr attempt) override;
    void cancel(link::exchange_ptr attempt) override;

    /// Submits an attempt that was received from a link.
    void submit_from(std::uint64_t link, link::exchange_ptr attempt);
    void cancel_from(std::uint64_t link, support::attempt_id id);
    void link_closed(std::uint64_t link);

    void configure(std::shared_ptr<const config::configuration> in_force);
    /// The upstream announced itself; called for each announcement.
    void set_upstream(upstream_properties upstream);
    /// Sets the handler of changes; it is called on the gate's strand.
    void on_serving_changed(serving_handler on_changed);
    /// Sets the handler that is called on the gate's strand when an instance of
    /// the upstream states in a response that it leaves. The gate sends it no
    /// more calls by then.
    void on_leaving_stated(
        std::function<void(const upstream_properties& upstream)> on_leaving);
    /// The upstream accepts no new calls; its running calls may end.
    void upstream_leaving();
    /// Sets where metrics and decisions are reported; both objects must outlive
    /// the work of the gate.
    void report_to(telemetry::metrics& metrics,
                   telemetry::decision_log& decisions);
    /// The upstream left, or its heartbeat lapsed.
    void upstream_gone();
    /// Operators emptied the failure domain or took it back.
    void set_emptied(bool emptied);
    /// Returns the number of calls that run at the upstream.
    std::size_t running() const;
    /// Refuses new attempts; \p on_drained is called once no attempt runs.
    void drain(std::function<void()> on_drained);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::proxy
