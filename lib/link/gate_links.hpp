/// \file
/// The links that entries of other daemons opened to this daemon's gate.
#pragma once

#include "link_common.hpp"

#include "galenarudder/link/fate_record.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace galenarudder::link {

/// All calls on the links' strand.
class gate_links : public std::enable_shared_from_this<gate_links>
{
public:
    explicit gate_links(std::shared_ptr<const link_context> context);

    void on_opened(connection_id connection, support::time_point now);
    /// An unreadable message is given as null.
    void on_message(connection_id connection,
                    message* received,
                    support::time_point now);
    void on_closed(connection_id connection);
    void on_tick(support::time_point now);
    /// This process did not run for a while: peers were not silent.
    void on_pause(support::duration length);

    /// Tells every entry to send no new calls, and those that come later.
    void announce_drain();
    /// Entries that come later are told that the gate takes calls.
    void announce_ready() { draining_ = false; }

private:
    struct open_call
    {
        exchange_ptr attempt;
        std::shared_ptr<body_sender> sender;
        std::shared_ptr<receive_window> window;
        std::uint64_t number = 0;
        bool request_complete = false;
    };

    struct inbound_link
    {
        /// As stated by hello; it counts once it is proven.
        support::member_id entry;
        std::uint64_t epoch = 0;
        std::string entry_challenge;
        std::string own_challenge;
        bool proven = false;
        std::uint64_t last_number = 0;
        std::shared_ptr<link_window> window;
        link_receiver receiver;
        std::map<support::call_id, open_call> calls;
        support::time_point opened_at;
        support::time_point heard_at;
    };

    bool shake_hands(connection_id connection,
                     inbound_link& link,
                     message& received);
    bool
    greet(connection_id connection, inbound_link& link, const hello& greeting);
    bool take_over(connection_id connection, const inbound_link& link);
    bool take_message(connection_id connection,
                      inbound_link& link,
                      message& received);
    bool
    on_call(connection_id connection, inbound_link& link, call_begin& begun);
    bool on_part(connection_id connection, inbound_link& link, body_part& part);
    void on_cancel(connection_id connection,
                   inbound_link& link,
                   support::call_id id);
    void on_query(connection_id connection,
                  const inbound_link& link,
                  fate_query& asked);
    void answer_query(connection_id connection,
                      const support::member_id& entry,
                      const fate_query& asked);
    void deliver(connection_id connection,
                 support::call_id id,
                 exchange_event event);
    void deliver_answer(connection_id connection,
                        inbound_link& link,
                        support::call_id id,
                        answered& begun);
    void start_body(connection_id connection,
                    inbound_link& link,
                    open_call& call,
                    std::string ahead);
    void end_body(connection_id connection, support::call_id id, bool whole);
    void end_call(connection_id connection, support::call_id id);
    void lose(connection_id connection);
    void close(connection_id connection);

    std::shared_ptr<const link_context> context_;
    std::map<connection_id, inbound_link> links_;
    fate_record fates_;
    bool draining_ = false;
};

} // namespace galenarudder::link
