/// \file
/// Moves bytes for the gate: drives admission::gate on one strand and sends
/// what it starts to the upstream.
#pragma once

#include "galenarudder/admission/gate.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/telemetry/decision_log.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace galenarudder::proxy {

/// All members may be called from any thread; work runs on the strand.
class gate_runtime final : public link::gate_port
{
public:
    gate_runtime(boost::asio::io_context& io,
                 const config::configuration& in_force);
    ~gate_runtime() override;

    /// An attempt of the daemon's own entry.
    void submit(link::exchange_ptr attempt) override;
    void cancel(link::exchange_ptr attempt) override;

    /// An attempt that came by a link.
    void submit_from(std::uint64_t link, link::exchange_ptr attempt);
    void cancel_from(std::uint64_t link, support::call_id id);
    void link_closed(std::uint64_t link);

    void configure(const config::configuration& in_force);
    /// The upstream announced itself at \p where. With a \p probe_path the
    /// gate probes it there when no call tells of it.
    void set_upstream(const config::endpoint& where,
                      std::uint32_t slots,
                      std::uint32_t connections,
                      const std::string& probe_path = {});
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
