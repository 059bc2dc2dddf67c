/// \file
/// The links that this daemon, as an entry, opened to gates of other daemons.
#pragma once

#include "link_common.hpp"

#include "galenarudder/support/random.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace galenarudder::link {

/// Opens one link per gate, sends calls over it and handles the responses. All
/// functions must be called on the links' strand.
class entry_links : public std::enable_shared_from_this<entry_links>
{
public:
    entry_links(std::shared_ptr<const link_context> context,
                std::uint64_t first_epoch,
                std::uint64_t seed);

    /// Sends \p attempt to the gate of \p member. Opens a link to \p remote
    /// first if there is none; refuses the attempt as not run while a new link
    /// may not be opened yet after a failure.
    void submit(const support::member_id& member,
                const config::endpoint& remote,
                exchange_ptr attempt,
                support::time_point now);
    /// Cancels \p attempt, whose response is no longer needed.
    void cancel(const support::member_id& member, const exchange_ptr& attempt);

    void on_opened(connection_id connection);
    /// \p received is null if the message could not be decoded.
    void on_message(connection_id connection,
                    message* received,
                    support::time_point now);
    void on_closed(connection_id connection, support::time_point now);
    void on_tick(support::time_point now);
    /// Extends the timeouts after this process was suspended for \p length,
    /// since it could not receive messages in that time.
    void on_pause(support::duration length);

private:
    enum class link_state
    {
        idle,
        connecting,
        /// hello was sent, gate_proof has not arrived.
        awaiting_proof,
        /// entry_proof was sent, welcome has not arrived.
        awaiting_welcome,
        open
    };

    /// A call that was sent and has not ended.
    struct open_call
    {
        exchange_ptr attempt;
        std::shared_ptr<body_sender> sender;
        std::shared_ptr<body_receive_window> window;
        std::uint64_t sequence_number = 0;
        bool response_begun = false;
        /// Whether only the outcome is awaited, not the response.
        bool canceled = false;
    };

    /// A call that may not run twice and whose link broke before the response
    /// began. After reconnecting, the gate is asked whether it ran.
    struct unresolved_call
    {
        exchange_ptr attempt;
        std::uint64_t epoch = 0;
        std::uint64_t sequence_number = 0;
        /// Time at which the caller is told that the outcome is unknown.
        support::time_point deadline;
    };

    /// The link to the gate of one member. The record stays while the link is
    /// closed.
    struct outbound_link
    {
        support::member_id member;
        config::endpoint remote;
        link_state state = link_state::idle;
        connection_id connection = 0;
        std::uint64_t epoch = 0;
        std::string challenge;
        std::uint64_t last_sequence_number = 0;
        std::shared_ptr<link_send_window> window;
        link_receive_window receive_window;
        std::map<support::attempt_id, open_call> calls;
        /// Attempts submitted before the link was open; not yet sent.
        std::vector<exchange_ptr> pending;
        std::vector<unresolved_call> unresolved_calls;
        /// Attempts to open the link that failed in a row.
        unsigned failures = 0;
        support::time_point connect_started_at;
        support::time_point last_received_at;
        support::time_point last_ping_at;
        /// Earliest time at which the link may be opened again.
        support::time_point next_connect_at;
    };

    void connect(outbound_link& link, support::time_point now);
    void handle_loss(outbound_link& link, support::time_point now);
    void close_after_violation(outbound_link& link, support::time_point now);
    bool handle_handshake(outbound_link& link,
                          message& received,
                          support::time_point now);
    bool handle_message(outbound_link& link, message& received);
    void on_welcome(outbound_link& link, const welcome& welcome_message);
    void send_call(outbound_link& link, exchange_ptr attempt);
    void start_request_body(outbound_link& link,
                            open_call& call,
                            std::string initial_data);
    bool on_response(outbound_link& link, response_begin& begin);
    void on_refusal(outbound_link& link, call_refused& refusal_message);
    bool on_body_part(outbound_link& link, body_part& part);
    void on_outcome_reply(outbound_link& link, const outcome_reply& reply);
    void give_up_unresolved_calls(outbound_link& link);
    void query_outcomes(outbound_link& link);
    void expire_unresolved_calls(outbound_link& link, support::time_point now);
    void check_timeouts(outbound_link& link, support::time_point now);
    static void stop_request_body(open_call& call);

    std::shared_ptr<const link_context> context_;
    std::uint64_t next_epoch_;
    support::random_engine random_;
    std::map<support::member_id, outbound_link> links_;
    /// The members of links_ by their current connection.
    std::map<connection_id, support::member_id> members_;
};

} // namespace galenarudder::link
