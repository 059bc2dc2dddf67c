/// \file
/// What depends on the deployment in which a daemon runs: the HTTP conventions
/// of callers and upstreams, how upstreams announce themselves, and the store.
#pragma once

#include "galenarudder/admission/upstream_presence.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/proxy/http_dialect.hpp"
#include "galenarudder/rollout/build.hpp"
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

/// An announcement of the upstream with the properties that only the gate
/// needs.
struct upstream_announcement
{
    /// What the upstream states about itself.
    admission::announcement content;
    /// Number of connections that the upstream accepts; 0 if not stated.
    std::uint32_t connections = 0;
    /// Path of the gate's health probes; empty for no probes.
    std::string probe_path;
};

/// What the settings in force say about the upstream on this VM.
struct expected_upstream
{
    /// Empty if any service may run here.
    std::string service;
    std::optional<config::endpoint> address;
};

/// Handlers of the upstream's messages. They may be called on any thread.
struct announcement_handlers
{
    /// The upstream announced itself, for the first time or again.
    std::function<void(const upstream_announcement&)> announced;
    /// The instance of the upstream called \c instance is stopping. Its start
    /// time \c started_ms, if stated, tells apart instances of the same name.
    std::function<void(const std::string& instance,
                       std::optional<std::uint64_t> started_ms)>
        leaving;
    /// The upstream has left, or its heartbeat timed out. Not tied to an
    /// instance, unlike leaving.
    std::function<void()> gone;
    /// The upstream asks the daemon to drain its gate.
    std::function<void()> drain;
    /// Returns what announcements must agree with. A reload of the settings
    /// changes it.
    std::function<expected_upstream()> expected;
};

/// The port where the upstream on this VM announces itself.
class announcement_listener
{
public:
    virtual ~announcement_listener() = default;
    virtual support::result<void> listen(const config::endpoint& address) = 0;
};

/// The parts of a daemon that depend on its deployment.
struct integration
{
    /// HTTP conventions of callers and upstreams.
    const proxy::http_dialect* dialect = nullptr;
    /// Large answers of the store are parsed on \c background.
    std::function<std::unique_ptr<store::platform_store>(
        boost::asio::any_io_executor executor,
        boost::asio::any_io_executor background,
        const config::daemon_settings& settings)>
        open_store;
    /// Reads the operators' configuration as the store holds it.
    rollout::document_reader read_configuration;
    std::function<std::unique_ptr<announcement_listener>(
        boost::asio::io_context& io,
        const config::daemon_settings& settings,
        announcement_handlers handlers)>
        open_announcement_listener;
    /// File of the settings, which are read again on SIGHUP and whenever it
    /// changes; empty if they never are.
    std::string settings_path;
    /// Path that the readiness port serves.
    std::string readiness_path;
    /// Whether the gate opens connections to the upstream before calls need
    /// them.
    bool warm_connections = true;
};

/// Returns the product's own integration: Consul's key-value API as the store,
/// and the product's own HTTP fields and announcements.
integration product_integration();

} // namespace galenarudder::daemon
