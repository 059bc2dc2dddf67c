/// \file
/// Manages all links of a daemon: those that it opened as an entry and those
/// that it accepted as a gate.
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

/// Functions that the daemon provides; called on the manager's strand.
struct link_handlers
{
    /// A call was received on \p link; the gate passes the result to
    /// exchange::deliver.
    std::function<void(connection_id link, exchange_ptr attempt)> call_received;
    /// The entry canceled a call.
    std::function<void(connection_id link, support::attempt_id id)>
        call_canceled;
    /// An accepted link closed; its calls can no longer be answered.
    std::function<void(connection_id link)> link_closed;
    /// The gate of \p member announced that it drains.
    std::function<void(const support::member_id& member)> gate_draining;
};

/// Counters of all links, for metrics.
struct link_counters
{
    /// Messages that could not be decoded or that violated the protocol.
    std::atomic<std::uint64_t> malformed_messages{0};
    /// Handshakes that failed. A gate counts every message that it rejects
    /// before the handshake is complete. An entry counts an invalid gate_proof
    /// only, which it also counts in malformed_messages, like any other message
    /// that it rejects.
    std::atomic<std::uint64_t> unauthenticated{0};
    /// Links closed because the peer sent nothing for too long or did not
    /// complete the handshake in time.
    std::atomic<std::uint64_t> links_timed_out{0};
    /// Responses and refusals of calls that had already ended.
    std::atomic<std::uint64_t> late_answers{0};
    /// Links to other gates that were opened.
    std::atomic<std::uint64_t> links_opened{0};
    /// Open links to other gates that broke.
    std::atomic<std::uint64_t> links_lost{0};
};

/// Opens and accepts links.
class link_manager
{
public:
    link_manager(boost::asio::io_context& io,
                 support::member_id member,
                 std::vector<config::shared_key> keys,
                 link_handlers handlers);
    ~link_manager();
    link_manager(const link_manager&) = delete;
    link_manager& operator=(const link_manager&) = delete;

    /// Starts to accept links on \p local.
    support::result<void> listen(const config::endpoint& local);

    /// Returns the gate of another daemon, which is reached at \p remote. The
    /// link is opened when the gate is first used.
    std::shared_ptr<gate_interface> gate_of(const support::member_id& member,
                                            const config::endpoint& remote);

    /// Tells all entries that have a link to this gate, or open one later, to
    /// send no new calls.
    void announce_drain();
    /// Ends the drain: entries that open a link from now on may send calls.
    void announce_ready();
    /// Calls \p handler, on the manager's strand, once no response of this gate
    /// waits to be sent on a link. Responses that were delivered before this
    /// call are included.
    void when_responses_sent(std::function<void()> handler);
    /// Closes all links.
    void stop();

    const link_counters& counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::link
