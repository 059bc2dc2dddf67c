/// \file
/// All links of one daemon: those it opened as an entry and those it
/// accepted as a gate.
#pragma once

#include "galenarudder/config/settings.hpp"
#include "galenarudder/link/exchange.hpp"
#include "galenarudder/link/websocket_endpoint.hpp"
#include "galenarudder/support/error.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace galenarudder::link {

/// What the gate side hears; called on the hub's strand.
struct hub_handlers
{
    /// A call arrived on \p link; the exchange is answered by deliver.
    std::function<void(connection_id link, exchange_ptr attempt)> call_arrived;
    std::function<void(connection_id link, support::call_id id)> call_canceled;
    std::function<void(connection_id link)> link_closed;
    /// A gate sent a drain notice.
    std::function<void(const support::member_id& member)> gate_draining;
};

/// Counters of all links, for metrics.
struct hub_counters
{
    std::atomic<std::uint64_t> malformed_messages{0};
    /// Handshakes that failed, and messages that came before one.
    std::atomic<std::uint64_t> unauthenticated{0};
    /// Links closed because the peer was silent or slow to open one.
    std::atomic<std::uint64_t> links_timed_out{0};
    std::atomic<std::uint64_t> late_answers{0};
    std::atomic<std::uint64_t> links_opened{0};
    std::atomic<std::uint64_t> links_lost{0};
};

class hub
{
public:
    hub(boost::asio::io_context& io,
        support::member_id self,
        std::vector<config::shared_key> keys,
        hub_handlers handlers);
    ~hub();
    hub(const hub&) = delete;
    hub& operator=(const hub&) = delete;

    support::result<void> listen(const config::endpoint& where);

    /// Returns the gate of another daemon; opens a link when first used.
    std::shared_ptr<gate_port> gate_of(const support::member_id& member,
                                       const config::endpoint& where);

    /// Tells every entry with a link to this gate to send no new calls.
    void announce_drain();
    /// Entries that open a link from now on may send calls.
    void announce_ready();
    void stop();

    const hub_counters& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::link
