// Carries out the actions of the state machine organisations::limiter. Calls
// run on several threads, so a mutex protects it; messages are sent on the
// control executor.
#include "galenarudder/proxy/organisation_limits.hpp"

#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <unordered_map>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using organisations::admission;
using organisations::verdict;
using support::refusal;

namespace {

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
/// An organisation counts as limited until no call of it was refused for this
/// long.
constexpr support::duration limited_time = std::chrono::seconds(5);
constexpr std::size_t named_organisations = 10;

using decision_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, admission)>;

admission unlimited()
{
    return {};
}

struct cause_row
{
    const char* name;
    /// For the decision log.
    const char* reason;
    /// Follows the name of the organisation.
    const char* text;
};

/// By refusal_cause.
constexpr std::array<cause_row, organisations::refusal_cause_count> causes = {{
    {"over-limit", "its calls exceed its limit",
     " sends more calls than its limit allows"},
    {"shares-missing", "daemons that started do not yet share its limit",
     " has to wait until the daemons that started share its limit"},
    {"owner-silent",
     "the daemon that keeps its limit does not answer, and the own share of "
     "the limit is used up",
     " has used up this daemon's share of its limit, and the daemon that keeps "
     "the limit does not answer"},
}};

const cause_row& row_of(organisations::refusal_cause cause)
{
    return causes.at(static_cast<std::size_t>(cause));
}

refusal limit_refusal(const std::string& organisation,
                      support::milliseconds retry_after,
                      organisations::refusal_cause cause)
{
    return {support::refusal_kind::organisation_limit,
            support::run_outcome::not_run, true, retry_after,
            "the organisation " + organisation + row_of(cause).text};
}

organisations::presence presence_of(membership::member_state state)
{
    switch (state) {
    case membership::member_state::left:
        return organisations::presence::left;
    case membership::member_state::dead:
        return organisations::presence::absent;
    default:
        return organisations::presence::live;
    }
}

} // namespace

class organisation_limits::impl
{
public:
    impl(limits_context environment,
         support::member_id self,
         organisations::peer_expectation expects_peers,
         const organisations::tolerance& allowed,
         std::uint64_t seed)
        : context(std::move(environment)),
          machine(std::move(self), expects_peers, allowed, seed)
    {
    }

    struct waiting_call
    {
        std::shared_ptr<decision_channel> channel;
        std::shared_ptr<asio::steady_timer> timer;
        std::string organisation;
    };
    /// The refusals of an organisation that has a limit.
    struct refusals
    {
        std::uint64_t count = 0;
        support::time_point last{};
        bool limited = false;
        /// The cause that was recorded last, and when.
        organisations::refusal_cause cause{};
        support::time_point recorded_at{};
        double calls_per_s = 0;
        /// Whether its metric bears its name.
        bool named = false;
    };

    void execute(const std::vector<organisations::action>& actions);
    void send_requests();
    void wait_over(organisations::call_number call);
    void decide(const waiting_call& waiting, const admission& decision);
    void count_refusal(const std::string& organisation,
                       organisations::refusal_cause cause);
    void record(const std::string& organisation,
                bool limited,
                const refusals& counted) const;
    config::automation_mode mode() const
    {
        return context.in_force->read()->mode(
            config::automation::organisation_limit);
    }

    limits_context context;
    mutable std::mutex mutex;
    /// The mutex protects all that follows.
    organisations::limiter machine;
    std::unordered_map<organisations::call_number, waiting_call> waiting;
    std::map<std::string, refusals, std::less<>> refused;
    std::uint64_t refused_unnamed = 0;
    std::array<std::uint64_t, organisations::refusal_cause_count>
        refused_by_cause{};
    bool send_posted = false;
};

/// Records that an organisation is limited, and why, or not any more.
void organisation_limits::impl::record(const std::string& organisation,
                                       bool limited,
                                       const refusals& counted) const
{
    const auto effect = telemetry::effect_of(mode(), true);
    const std::string reason =
        limited ? row_of(counted.cause).reason : "its calls fit its limit";
    context.decisions->record({support::monotonic_clock::now(),
                               config::automation::organisation_limit, effect,
                               organisation, reason});
    telemetry::log_event(telemetry::log_kind::state_change,
                         limited ? "organisation.limited"
                                 : "organisation.not_limited",
                         {{"organisation", organisation},
                          {"calls_per_s", counted.calls_per_s},
                          {"reason", reason},
                          {"effect", telemetry::to_string(effect)}});
}

/// Requires the mutex to be held.
void organisation_limits::impl::count_refusal(
    const std::string& organisation, organisations::refusal_cause cause)
{
    const auto position = refused.find(organisation);
    if (position == refused.end())
        return;
    refusals& counted = position->second;
    ++counted.count;
    ++refused_by_cause.at(static_cast<std::size_t>(cause));
    if (!counted.named)
        ++refused_unnamed;
    counted.last = support::boot_time();
    // Causes may alternate from call to call.
    const bool recorded =
        counted.limited && (counted.cause == cause ||
                            counted.last - counted.recorded_at < limited_time);
    if (recorded)
        return;
    counted.limited = true;
    counted.cause = cause;
    counted.recorded_at = counted.last;
    record(organisation, true, counted);
}

/// Requires the mutex to be held.
void organisation_limits::impl::decide(const waiting_call& decided,
                                       const admission& decision)
{
    decided.timer->cancel();
    if (decision.result == verdict::refused)
        count_refusal(decided.organisation, decision.cause);
    decided.channel->try_send(boost::system::error_code(), decision);
}

/// Delivers decisions and sends messages; runs on the control executor, without
/// the mutex.
void organisation_limits::impl::execute(
    const std::vector<organisations::action>& actions)
{
    for (const organisations::action& action : actions) {
        if (const auto* sent =
                std::get_if<organisations::send_message>(&action))
            context.send(sent->to, sent->payload);
    }
    const std::lock_guard lock(mutex);
    for (const organisations::action& action : actions) {
        const auto* decided = std::get_if<organisations::call_decided>(&action);
        if (decided == nullptr)
            continue;
        const auto position = waiting.find(decided->decision.call);
        if (position == waiting.end())
            continue;
        decide(position->second, decided->decision);
        waiting.erase(position);
    }
}

void organisation_limits::impl::send_requests()
{
    std::vector<organisations::action> actions;
    {
        const std::lock_guard lock(mutex);
        send_posted = false;
        actions = machine.flush(support::boot_time());
    }
    execute(actions);
}

void organisation_limits::impl::wait_over(organisations::call_number call)
{
    const std::lock_guard lock(mutex);
    const auto position = waiting.find(call);
    if (position == waiting.end())
        return;
    const admission decision = machine.on_wait_over(
        organisations::hash_of(position->second.organisation), call,
        support::boot_time());
    // A call that the machine has decided gets that decision.
    if (decision.result == verdict::waiting)
        return;
    decide(position->second, decision);
    waiting.erase(position);
}

organisation_limits::organisation_limits(
    limits_context context,
    support::member_id self,
    organisations::peer_expectation expects_peers,
    const organisations::tolerance& allowed,
    std::uint64_t seed)
    : impl_(std::make_unique<impl>(
          std::move(context), std::move(self), expects_peers, allowed, seed))
{
}

organisation_limits::~organisation_limits() = default;

asio::awaitable<limit_result>
organisation_limits::admit(const support::call_head& head)
{
    const auto hash = organisations::hash_of(head.organisation);
    admission decision = unlimited();
    std::shared_ptr<decision_channel> channel;
    const asio::any_io_executor caller_executor =
        co_await asio::this_coro::executor;
    {
        const std::lock_guard lock(impl_->mutex);
        if (!impl_->machine.has_limit(hash))
            co_return limit_result();
        decision = impl_->machine.admit(hash, support::boot_time());
        if (decision.result == verdict::refused)
            impl_->count_refusal(head.organisation, decision.cause);
        if (decision.result == verdict::waiting) {
            channel = std::make_shared<decision_channel>(caller_executor, 1);
            auto timer = std::make_shared<asio::steady_timer>(
                impl_->context.control, organisations::resend_time);
            timer->async_wait([weak = weak_from_this(), call = decision.call](
                                  boost::system::error_code canceled) {
                const auto self = weak.lock();
                if (self && !canceled)
                    self->reply_late(call);
            });
            impl_->waiting[decision.call] = {channel, std::move(timer),
                                             head.organisation};
        }
        if (impl_->machine.wants_to_send() && !impl_->send_posted) {
            impl_->send_posted = true;
            asio::post(impl_->context.control, [self = shared_from_this()] {
                self->impl_->send_requests();
            });
        }
    }
    const bool enforced = impl_->mode() != config::automation_mode::observe;
    if (!enforced)
        co_return limit_result();
    if (channel) {
        auto [failure, received] =
            co_await channel->async_receive(use_nothrow_awaitable);
        if (failure)
            co_return limit_result(
                limit_refusal(head.organisation, support::milliseconds(1000),
                              organisations::refusal_cause::owner_silent));
        decision = received;
    }
    if (decision.result == verdict::refused)
        co_return limit_result(limit_refusal(
            head.organisation, decision.retry_after, decision.cause));
    co_return limit_result(decision.used);
}

/// Asks again for a waiting call, and waits for the rest of its time.
void organisation_limits::reply_late(organisations::call_number call)
{
    {
        const std::lock_guard lock(impl_->mutex);
        const auto position = impl_->waiting.find(call);
        if (position == impl_->waiting.end())
            return;
        const impl::waiting_call& late = position->second;
        impl_->machine.on_reply_late(organisations::hash_of(late.organisation),
                                     call);
        late.timer->expires_after(organisations::reply_time -
                                  organisations::resend_time);
        late.timer->async_wait([weak = weak_from_this(),
                                call](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->impl_->wait_over(call);
        });
    }
    impl_->send_requests();
}

void organisation_limits::give_back(const organisations::token& unused)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->machine.give_back(unused, support::boot_time());
}

void organisation_limits::configure(const config::configuration& in_force)
{
    std::vector<organisations::organisation_rate> rates;
    for (const auto& policy : in_force.organisations) {
        if (policy->calls_per_s > 0)
            rates.push_back({policy->name, policy->calls_per_s, policy->burst});
    }
    std::sort(rates.begin(), rates.end(),
              [](const auto& left, const auto& right) {
                  return left.calls_per_s > right.calls_per_s;
              });
    const std::lock_guard lock(impl_->mutex);
    impl_->machine.configure(rates, support::boot_time());
    std::map<std::string, impl::refusals, std::less<>> next;
    for (std::size_t index = 0; index < rates.size(); ++index) {
        const std::string name(rates[index].name);
        const auto before = impl_->refused.find(name);
        if (before != impl_->refused.end())
            next[name] = before->second;
        next[name].calls_per_s = rates[index].calls_per_s;
        next[name].named = index < named_organisations;
    }
    impl_->refused = std::move(next);
}

void organisation_limits::on_members(
    std::span<const membership::member_record> members)
{
    std::vector<organisations::observed_member> observed;
    for (const membership::member_record& record : members)
        observed.push_back({record.id, presence_of(record.state)});
    std::vector<organisations::action> actions;
    {
        const std::lock_guard lock(impl_->mutex);
        actions = impl_->machine.on_members(observed, support::boot_time());
    }
    impl_->execute(actions);
}

void organisation_limits::on_message(const support::member_id& peer,
                                     const std::string& payload)
{
    std::vector<organisations::action> actions;
    {
        const std::lock_guard lock(impl_->mutex);
        actions =
            impl_->machine.on_message(peer, payload, support::boot_time());
    }
    impl_->execute(actions);
}

void organisation_limits::on_tick()
{
    std::vector<organisations::action> actions;
    {
        const std::lock_guard lock(impl_->mutex);
        const support::time_point now = support::boot_time();
        actions = impl_->machine.on_tick(now);
        for (auto& [organisation, counted] : impl_->refused) {
            if (!counted.limited || now - counted.last < limited_time)
                continue;
            counted.limited = false;
            impl_->record(organisation, false, counted);
        }
    }
    impl_->execute(actions);
}

void organisation_limits::collect_metrics() const
{
    const std::lock_guard lock(impl_->mutex);
    telemetry::metrics& registry = *impl_->context.metrics;
    const auto& requests = impl_->machine.requests();
    const auto& counters = impl_->machine.counters();
    const struct
    {
        const char* name;
        const char* help;
        std::uint64_t total;
    } rows[] = {
        {"galenarudder_organisation_requests_total",
         "Requests for tokens to owners of organisations", requests.requests},
        {"galenarudder_organisation_replies_total",
         "Replies of owners of organisations", requests.replies},
        {"galenarudder_organisation_timeouts_total",
         "Calls that waited for an owner's reply in vain", requests.timeouts},
        {"galenarudder_organisation_share_calls_total",
         "Calls that passed on this daemon's own share of a limit",
         requests.admitted_by_share},
        {"galenarudder_organisation_messages_total",
         "Messages about limits sent to other daemons", counters.messages_sent},
        {"galenarudder_organisation_message_bytes_total",
         "Bytes of these messages, without the frame of membership",
         counters.bytes_sent},
        {"galenarudder_organisation_malformed_total",
         "Malformed messages about limits", counters.malformed},
    };
    for (const auto& row : rows)
        registry.set_counter(row.name, row.help, {},
                             static_cast<double>(row.total));
    constexpr const char* refused_name =
        "galenarudder_organisation_refused_total";
    constexpr const char* refused_help =
        "Calls over the limit of their organisation; organisation is empty for "
        "all but the 10 with the highest limits";
    for (const auto& [organisation, counted] : impl_->refused) {
        if (counted.named)
            registry.set_counter(refused_name, refused_help,
                                 {{"organisation", organisation}},
                                 static_cast<double>(counted.count));
    }
    registry.set_counter(refused_name, refused_help, {{"organisation", ""}},
                         static_cast<double>(impl_->refused_unnamed));
    for (std::size_t cause = 0; cause < causes.size(); ++cause)
        registry.set_counter(
            "galenarudder_organisation_refusals_by_cause_total",
            "Calls refused because of a limit, by cause",
            {{"cause", causes.at(cause).name}},
            static_cast<double>(impl_->refused_by_cause.at(cause)));
}

} // namespace galenarudder::proxy
