/// \file
/// Moves bytes for the gate: drives admission::gate on one strand and sends
/// what it starts to the upstream.
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

/// What the gate needs to know of its upstream.
struct upstream_facts
{
    config::endpoint where;
    std::string service;
    std::uint32_t slots = 0;
    /// Connections that it accepts, unless the configuration says.
    std::uint32_t connections = 0;
    /// Where it is probed when no call tells of it, unless the configuration
    /// says; empty for no probes.
    std::string probe_path;
    /// Names this life of the upstream; empty when lives have no names.
    std::string instance;
    std::uint64_t born_ms = 0;
    /// Whether connections are opened ahead of calls.
    bool warm_connections = true;
};

/// Called with the upstream once calls may be sent to it, and with null once
/// none may, although it announced itself.
using serving_handler = std::function<void(const upstream_facts* upstream)>;

/// All members may be called from any thread; work runs on the strand.
class gate_runtime final : public link::gate_port
{
public:
    gate_runtime(boost::asio::io_context& io,
                 const config::configuration& in_force,
                 const http_dialect& dialect = product_dialect());
    ~gate_runtime() override;

    /// An attempt of the daemon's own entry.
    void submit(link::exchange_ptr attempt) override;
    void cancel(link::exchange_ptr attempt) override;

    /// An attempt that came by a link.
    void submit_from(std::uint64_t link, link::exchange_ptr attempt);
    void cancel_from(std::uint64_t link, support::call_id id);
    void link_closed(std::uint64_t link);

    void configure(const config::configuration& in_force);
    /// The upstream announced itself.
    void set_upstream(upstream_facts upstream);
    /// \p changed is called on the gate's strand.
    void on_serving_changed(serving_handler changed);
    /// The upstream takes no more work; what runs there ends.
    void upstream_leaving();
    /// Both must outlive the gate's work.
    void report_to(telemetry::metrics& metrics,
                   telemetry::decision_log& decisions);
    void upstream_gone();
    /// Refuses new work; \p drained is called once nothing runs.
    void drain(std::function<void()> drained);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::proxy
