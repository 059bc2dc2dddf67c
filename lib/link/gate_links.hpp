/// \file
/// The links that entries of other daemons opened to the gate of this daemon.
#pragma once

#include "link_common.hpp"

#include "galenarudder/link/closed_link_registry.hpp"
#include "galenarudder/link/transit_estimate.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace galenarudder::link {

/// Accepts links, passes their calls to the gate and sends the responses. All
/// functions must be called on the links' strand.
class gate_links : public std::enable_shared_from_this<gate_links>
{
public:
    explicit gate_links(std::shared_ptr<const link_context> context);

    void on_opened(connection_id connection, support::time_point now);
    /// \p received is null if the message could not be decoded.
    void on_message(connection_id connection,
                    message* received,
                    support::time_point now);
    void on_closed(connection_id connection);
    void on_tick(support::time_point now);
    /// Extends the timeouts after this process was suspended for \p length,
    /// since it could not receive messages in that time.
    void on_pause(support::duration length);

    /// Tells all entries that have a link, or open one later, to send no new
    /// calls.
    void announce_drain();
    /// Ends the drain: entries that open a link from now on may send calls.
    void announce_ready() { draining_ = false; }
    /// Calls \p handler once no response waits to be sent on a link. A response
    /// that the gate has ended may still wait for credit from its entry.
    void when_responses_sent(std::function<void()> handler);

private:
    /// A call that was received and has not ended.
    struct open_call
    {
        exchange_ptr attempt;
        std::shared_ptr<body_sender> sender;
        std::shared_ptr<body_receive_window> window;
        std::uint64_t sequence_number = 0;
        bool request_complete = false;
    };

    struct inbound_link
    {
        /// Member id from the hello message; to be trusted once the link is
        /// authenticated.
        support::member_id entry;
        std::uint64_t epoch = 0;
        std::string entry_challenge;
        std::string gate_challenge;
        /// Whether the entry proved that it holds a shared key.
        bool authenticated = false;
        std::uint64_t last_sequence_number = 0;
        std::shared_ptr<link_send_window> window;
        link_receive_window receive_window;
        transit_estimate transit;
        std::map<support::attempt_id, open_call> calls;
        support::time_point opened_at;
        support::time_point last_received_at;
    };

    // The functions that return bool return false if the message violates the
    // protocol; the link is then closed.
    bool handle_handshake(connection_id connection,
                          inbound_link& link,
                          message& received);
    bool on_hello(connection_id connection,
                  inbound_link& link,
                  const hello& hello_message);
    bool close_older_links(connection_id connection, const inbound_link& link);
    bool handle_message(connection_id connection,
                        inbound_link& link,
                        message& received);
    bool on_call_begin(connection_id connection,
                       inbound_link& link,
                       call_begin& begin);
    bool
    on_body_part(connection_id connection, inbound_link& link, body_part& part);
    void on_cancel(connection_id connection,
                   inbound_link& link,
                   support::attempt_id id);
    void on_outcome_query(connection_id connection,
                          const inbound_link& link,
                          outcome_query& query);
    void send_outcome_reply(connection_id connection,
                            const support::member_id& entry,
                            const outcome_query& query);
    void deliver(connection_id connection,
                 support::attempt_id id,
                 exchange_event event);
    void deliver_response(connection_id connection,
                          inbound_link& link,
                          support::attempt_id id,
                          answered& response);
    void start_response_body(connection_id connection,
                             inbound_link& link,
                             open_call& call,
                             std::string initial_data);
    void on_response_body_end(connection_id connection,
                              support::attempt_id id,
                              bool complete);
    void end_call(connection_id connection, support::attempt_id id);
    bool has_unsent_responses() const;
    void notify_if_responses_sent();
    void remove_link(connection_id connection);
    void close_link(connection_id connection);

    std::shared_ptr<const link_context> context_;
    std::map<connection_id, inbound_link> links_;
    closed_link_registry closed_links_;
    bool draining_ = false;
    /// Handler of when_responses_sent; empty if none waits.
    std::function<void()> on_responses_sent_;
};

} // namespace galenarudder::link
