/// \file
/// The links that this daemon opened, as an entry, to the gates of others.
#pragma once

#include "link_common.hpp"

#include "galenarudder/support/random.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace galenarudder::link {

/// All calls on the links' strand.
class entry_links : public std::enable_shared_from_this<entry_links>
{
public:
    entry_links(std::shared_ptr<const link_context> context,
                std::uint64_t first_epoch,
                std::uint64_t seed);

    void submit(const support::member_id& member,
                const config::endpoint& where,
                exchange_ptr attempt,
                support::time_point now);
    void cancel(const support::member_id& member, const exchange_ptr& attempt);

    void on_opened(connection_id connection);
    /// An unreadable message is given as null.
    void on_message(connection_id connection,
                    message* received,
                    support::time_point now);
    void on_closed(connection_id connection, support::time_point now);
    void on_tick(support::time_point now);
    /// This process did not run for a while: peers were not silent.
    void on_pause(support::duration length);

private:
    enum class link_state
    {
        idle,
        connecting,
        greeting,
        proving,
        open
    };

    struct open_call
    {
        exchange_ptr attempt;
        std::shared_ptr<body_sender> sender;
        std::shared_ptr<receive_window> window;
        std::uint64_t number = 0;
        bool answer_begun = false;
    };

    /// A call that must not repeat, whose link broke before its answer; the
    /// gate is asked whether it ran.
    struct orphan
    {
        exchange_ptr attempt;
        std::uint64_t epoch = 0;
        std::uint64_t number = 0;
        support::time_point until;
    };

    struct outbound_link
    {
        support::member_id member;
        config::endpoint where;
        link_state state = link_state::idle;
        connection_id connection = 0;
        std::uint64_t epoch = 0;
        std::string challenge;
        std::uint64_t last_number = 0;
        std::shared_ptr<link_window> window;
        link_receiver receiver;
        std::map<support::call_id, open_call> calls;
        /// Submitted before the link was open; never sent.
        std::vector<exchange_ptr> pending;
        std::vector<orphan> orphans;
        unsigned failures = 0;
        support::time_point begun_at;
        support::time_point heard_at;
        support::time_point asked_at;
        support::time_point retry_at;
    };

    void connect(outbound_link& link, support::time_point now);
    void lose(outbound_link& link, support::time_point now);
    void reject(outbound_link& link, support::time_point now);
    bool shake_hands(outbound_link& link,
                     message& received,
                     support::time_point now);
    bool take_message(outbound_link& link, message& received);
    void open(outbound_link& link, const welcome& opened);
    void begin_call(outbound_link& link, exchange_ptr attempt);
    void start_body(outbound_link& link, open_call& call, std::string ahead);
    bool on_answer(outbound_link& link, answer_begin& begun);
    void on_refusal(outbound_link& link, call_refused& ended);
    bool on_part(outbound_link& link, body_part& part);
    void on_fates(outbound_link& link, const fate_answer& fates);
    void ask_fates(outbound_link& link);
    void give_up_orphans(outbound_link& link, support::time_point now);
    void check(outbound_link& link, support::time_point now);
    static void end_request(open_call& call);

    std::shared_ptr<const link_context> context_;
    std::uint64_t next_epoch_;
    support::random_engine random_;
    std::map<support::member_id, outbound_link> links_;
    std::map<connection_id, support::member_id> members_;
};

} // namespace galenarudder::link
