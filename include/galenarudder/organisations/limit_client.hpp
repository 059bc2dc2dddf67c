/// \file
/// The entry side of the limits: stocks of tokens and calls that wait for them.
#pragma once

#include "galenarudder/organisations/fleet.hpp"
#include "galenarudder/organisations/message.hpp"
#include "galenarudder/organisations/share_book.hpp"
#include "galenarudder/support/random.hpp"

#include <array>
#include <deque>
#include <unordered_map>
#include <vector>

namespace galenarudder::organisations {

using call_number = std::uint64_t;

/// Lets one call pass.
struct token
{
    organisation_hash organisation = 0;
    support::time_point expires{};
};

enum class verdict
{
    admitted,
    refused,
    /// Call on_reply_late after resend_time and on_wait_over after reply_time,
    /// if the call was not decided before.
    waiting
};

/// Why a call was refused.
enum class refusal_cause
{
    over_limit,
    /// Too little of the limit is in use by now, as after a restart of many
    /// daemons.
    shares_missing,
    /// The owner does not answer, and the own share has no token.
    owner_silent
};
inline constexpr std::size_t refusal_cause_count = 3;

/// What happens to a call.
struct admission
{
    verdict result = verdict::admitted;
    /// The token that an admitted call uses.
    token used;
    /// Time after which a refused caller may retry.
    support::milliseconds retry_after{0};
    /// Identifies a waiting call.
    call_number call = 0;
    /// Of a refused call.
    refusal_cause cause = refusal_cause::over_limit;
};

struct client_counters
{
    std::uint64_t requests = 0;
    std::uint64_t replies = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t admitted_by_share = 0;
};

/// Holds about 100 ms of tokens of each organisation for which this entry is
/// busy, and asks for single tokens otherwise. Organisations without calls are
/// dropped after \c idle_time.
class limit_client
{
public:
    limit_client(const fleet& members,
                 const limit_table& limits,
                 share_book& shares,
                 std::uint64_t seed)
        : members_(members), limits_(limits), shares_(shares), random_(seed),
          last_request_(static_cast<std::uint32_t>(random_()))
    {
    }

    /// Decides on a call of an organisation with a limit. Takes constant time
    /// while tokens are in stock.
    admission admit(organisation_hash organisation, support::time_point now);
    /// No reply came for a waiting call within resend_time; asks again.
    void on_reply_late(organisation_hash organisation, call_number call);
    /// No reply came for a waiting call in time. Returns waiting if the call
    /// was decided in the meantime.
    admission on_wait_over(organisation_hash organisation,
                           call_number call,
                           support::time_point now);
    /// Takes back the token of a call that did not run.
    void give_back(const token& unused, support::time_point now);
    void
    on_reply(member_hash owner, const item& reply, support::time_point now);
    /// Asks the owners for the tokens that are needed.
    void send_requests(support::time_point now, outbox& out);
    void on_fleet_changed();
    void on_tick(support::time_point now);
    /// Returns the waiting calls decided since the last call.
    std::vector<admission> take_decided();
    /// Returns whether send_requests has something to send.
    bool wants_to_send() const { return !to_ask_.empty(); }

    std::size_t size() const { return stocks_.size(); }
    const client_counters& counters() const { return counters_; }

    static constexpr support::duration idle_time = std::chrono::seconds(5);

private:
    struct lot
    {
        std::uint32_t tokens = 0;
        support::time_point expires{};
    };
    struct sent_request
    {
        std::uint32_t number = 0;
        std::uint32_t tokens = 0;
        support::time_point sent_at{};
        bool open = false;
    };
    struct stock
    {
        std::deque<lot> lots;
        demand_estimate demand;
        support::time_point last_call{};
        std::deque<call_number> waiting;
        std::array<sent_request, 4> sent{};
        std::size_t next_sent = 0;
        support::time_point last_sent{};
        /// The owner expects no token before this time.
        support::time_point refuse_until{};
        refusal_cause cause = refusal_cause::over_limit;
        /// Requests in a row that were not answered in time.
        unsigned timeouts = 0;
        std::uint32_t last_unanswered = 0;
        bool asks = false;
        member_hash owner = 0;
        bool owner_current = false;
    };

    static bool take(stock& held, support::time_point now);
    static std::uint32_t available(const stock& held, support::time_point now);
    static std::uint32_t asked(const stock& held, support::time_point now);
    static std::uint32_t target(const stock& held, support::time_point now);
    void ask(organisation_hash organisation, stock& held);
    admission refuse(support::duration wait, refusal_cause cause);
    admission admit_by_share(organisation_hash organisation,
                             support::time_point now);
    void decide(admission decided, call_number call);

    const fleet& members_;
    const limit_table& limits_;
    share_book& shares_;
    support::random_engine random_;
    std::unordered_map<organisation_hash, stock> stocks_;
    std::vector<organisation_hash> to_ask_;
    std::vector<admission> decided_;
    std::uint32_t last_request_;
    call_number last_call_ = 0;
    client_counters counters_;
};

} // namespace galenarudder::organisations
