/// \file
/// What ties a daemon to the deployment that it runs in: how callers and
/// upstreams speak, how upstreams announce themselves, which store there is.
#pragma once

#include "galenarudder/admission/upstream_presence.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/store/platform_store.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace galenarudder::daemon {

/// What an upstream states of itself, beyond its life.
struct announcement
{
    admission::check_in life;
    /// Connections that it accepts; 0 when it does not tell.
    std::uint32_t connections = 0;
    /// Where the gate may probe the upstream; empty for no probes.
    std::string probe_path;
};

/// Called on any thread.
struct announcement_handlers
{
    std::function<void(const announcement&)> announced;
    /// The life \c instance of the upstream ends; \c born_ms tells lives of one
    /// name apart where it is stated.
    std::function<void(const std::string& instance,
                       std::optional<std::uint64_t> born_ms)>
        leaving;
    /// The upstream left or its heartbeat lapsed.
    std::function<void()> gone;
    /// The upstream asks the daemon to drain.
    std::function<void()> drain;
};

/// The port by which the upstream on this VM announces itself.
class upstream_port
{
public:
    virtual ~upstream_port() = default;
    virtual support::result<void> listen(const config::endpoint& where) = 0;
};

struct integration
{
    const proxy::http_dialect* dialect = nullptr;
    std::function<std::unique_ptr<store::platform_store>(
        boost::asio::any_io_executor executor,
        const config::daemon_settings& settings)>
        open_store;
    std::function<std::unique_ptr<upstream_port>(
        boost::asio::io_context& io,
        const config::daemon_settings& settings,
        announcement_handlers handlers)>
        open_upstream_port;
    /// Reads the settings again, when SIGHUP says that they changed.
    std::function<support::result<config::daemon_settings>()> reload;
    /// Path on the readiness port.
    std::string readiness_path;
    /// Whether connections to the upstream are opened ahead of calls.
    bool warm_connections = true;
};

/// The product's own interface: Consul's key-value API, the product's fields.
integration product_integration();

} // namespace galenarudder::daemon
