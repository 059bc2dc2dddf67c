// Stocks of tokens, and requests for more.
#include "galenarudder/organisations/limit_client.hpp"

#include <algorithm>
#include <cmath>

namespace galenarudder::organisations {

namespace {

/// Entries with fewer calls ask for each one: a token that waits for a rarer
/// call mostly expires.
constexpr double min_ahead_calls_per_s = 10;
constexpr double ahead_s = 0.1;
constexpr double max_ahead = 1024;
/// Calls that may wait for one owner; more are refused.
constexpr std::size_t max_waiting = 1024;
/// After this many requests without reply, calls do not wait for the owner.
constexpr unsigned max_timeouts = 2;
/// Interval between requests to an owner that does not answer.
constexpr support::duration silent_interval = std::chrono::milliseconds(100);
/// Callers are told to retry spread over this time, so that those of all
/// entries do not return together.
constexpr double spread_ms = 200;

} // namespace

std::uint32_t limit_client::available(const stock& held,
                                      support::time_point now)
{
    std::uint32_t sum = 0;
    for (const lot& entry : held.lots) {
        if (entry.expires > now)
            sum += entry.tokens;
    }
    return sum;
}

/// Returns the tokens for which a reply may still come.
std::uint32_t limit_client::asked(const stock& held, support::time_point now)
{
    std::uint32_t sum = 0;
    for (const sent_request& request : held.sent) {
        if (request.open && now - request.sent_at < resend_time)
            sum += request.tokens;
    }
    return sum;
}

/// Returns the tokens to hold.
std::uint32_t limit_client::target(const stock& held, support::time_point now)
{
    const double demand = held.demand.per_s(now);
    if (demand < min_ahead_calls_per_s)
        return 0;
    return static_cast<std::uint32_t>(
        std::ceil(std::min(max_ahead, demand * ahead_s)));
}

bool limit_client::take(stock& held, support::time_point now)
{
    while (!held.lots.empty()) {
        lot& oldest = held.lots.front();
        const bool usable = oldest.tokens > 0 && oldest.expires > now;
        if (!usable) {
            held.lots.pop_front();
            continue;
        }
        --oldest.tokens;
        return true;
    }
    return false;
}

void limit_client::ask(organisation_hash organisation, stock& held)
{
    if (held.asks)
        return;
    held.asks = true;
    to_ask_.push_back(organisation);
}

admission limit_client::refuse(support::duration wait, refusal_cause cause)
{
    const double wait_ms = std::max(0.0, support::to_ms(wait));
    const double spread = support::uniform_unit(random_) * spread_ms;
    return {verdict::refused,
            {},
            support::milliseconds(std::llround(std::ceil(wait_ms + spread))),
            0,
            cause};
}

admission limit_client::admit_by_share(organisation_hash organisation,
                                       support::time_point now)
{
    if (!shares_.try_take(organisation, now))
        return refuse(shares_.wait(organisation, now),
                      members_.has_share() ? refusal_cause::owner_silent
                                           : refusal_cause::shares_missing);
    ++counters_.admitted_by_share;
    return {verdict::admitted, {organisation, now + token_lifetime}};
}

admission limit_client::admit(organisation_hash organisation,
                              support::time_point now)
{
    if (!limits_.contains(organisation))
        return {verdict::admitted, {organisation, now}};
    stock& held = stocks_[organisation];
    held.demand.add(1, now);
    held.last_call = now;
    if (take(held, now)) {
        const token used{organisation, held.lots.front().expires};
        const std::uint32_t wanted = target(held, now);
        const bool low =
            wanted > 0 &&
            2 * (available(held, now) + asked(held, now)) <= wanted;
        if (low && now >= held.refuse_until)
            ask(organisation, held);
        return {verdict::admitted, used};
    }
    if (now < held.refuse_until)
        return refuse(held.refuse_until - now, held.cause);
    if (held.timeouts >= max_timeouts) {
        if (now - held.last_sent >= silent_interval)
            ask(organisation, held);
        return admit_by_share(organisation, now);
    }
    if (held.waiting.size() >= max_waiting)
        return refuse(reply_time, refusal_cause::owner_silent);
    ask(organisation, held);
    held.waiting.push_back(++last_call_);
    return {verdict::waiting, {}, {}, last_call_};
}

void limit_client::on_reply_late(organisation_hash organisation,
                                 call_number call)
{
    const auto position = stocks_.find(organisation);
    if (position == stocks_.end())
        return;
    stock& held = position->second;
    if (std::find(held.waiting.begin(), held.waiting.end(), call) !=
        held.waiting.end())
        ask(organisation, held);
}

admission limit_client::on_wait_over(organisation_hash organisation,
                                     call_number call,
                                     support::time_point now)
{
    const auto position = stocks_.find(organisation);
    if (position == stocks_.end())
        return refuse(reply_time, refusal_cause::owner_silent);
    stock& held = position->second;
    if (std::erase(held.waiting, call) == 0)
        return {verdict::waiting};
    ++counters_.timeouts;
    const sent_request& last =
        held.sent[(held.next_sent + held.sent.size() - 1) % held.sent.size()];
    if (last.open && last.number != held.last_unanswered) {
        held.last_unanswered = last.number;
        ++held.timeouts;
    }
    return admit_by_share(organisation, now);
}

void limit_client::give_back(const token& unused, support::time_point now)
{
    const auto position = stocks_.find(unused.organisation);
    if (position == stocks_.end() || unused.expires <= now)
        return;
    // The token keeps its expiry: with a later one, calls of an earlier window
    // would add to those of a later window.
    position->second.lots.push_front({1, unused.expires});
}

void limit_client::decide(admission decided, call_number call)
{
    decided.call = call;
    decided_.push_back(decided);
}

void limit_client::on_reply(member_hash owner,
                            const item& reply,
                            support::time_point now)
{
    const auto position = stocks_.find(reply.organisation);
    if (position == stocks_.end())
        return;
    stock& held = position->second;
    const auto request = std::find_if(
        held.sent.begin(), held.sent.end(), [&](const sent_request& sent) {
            return sent.open && sent.number == reply.first;
        });
    if (request == held.sent.end())
        return;
    ++counters_.replies;
    request->open = false;
    if (owner == held.owner)
        held.timeouts = 0;
    const std::uint32_t issued =
        std::min(reply.second & 0xffff, request->tokens);
    const support::milliseconds retry(reply.second >> 16);
    held.cause = retry.count() % 2 == 0 ? refusal_cause::over_limit
                                        : refusal_cause::shares_missing;
    // Counted from the request, so that late replies bring no late tokens.
    const auto expires = request->sent_at + token_lifetime;
    if (issued > 0 && expires > now)
        held.lots.push_back({issued, expires});
    while (!held.waiting.empty() && take(held, now)) {
        decide({verdict::admitted,
                {reply.organisation, held.lots.front().expires}},
               held.waiting.front());
        held.waiting.pop_front();
    }
    if (retry == support::milliseconds(0)) {
        if (!held.waiting.empty())
            ask(reply.organisation, held);
        return;
    }
    // The entries ask at different times, or some would always be first.
    const double spread = 1 + support::uniform_unit(random_) / 4;
    held.refuse_until = now + support::from_ms(support::to_ms(retry) * spread);
    for (const call_number call : held.waiting)
        decide(refuse(held.refuse_until - now, held.cause), call);
    held.waiting.clear();
}

void limit_client::send_requests(support::time_point now, outbox& out)
{
    for (const organisation_hash organisation : to_ask_) {
        const auto position = stocks_.find(organisation);
        if (position == stocks_.end())
            continue;
        stock& held = position->second;
        held.asks = false;
        const auto waiting = static_cast<std::uint32_t>(held.waiting.size());
        const std::uint32_t silent_probe = held.timeouts >= max_timeouts;
        const std::uint32_t ahead = target(held, now);
        const std::uint32_t wanted = std::max(waiting + ahead, silent_probe);
        const std::uint32_t expected = available(held, now) + asked(held, now);
        const bool enough =
            expected >= std::max(waiting, silent_probe) && 2 * expected > ahead;
        // A request must be remembered until its reply comes; that reply leads
        // to the next request if calls still wait.
        const sent_request& replaced = held.sent[held.next_sent];
        const bool all_open =
            replaced.open && now - replaced.sent_at < reply_time;
        if (wanted <= expected || enough || all_open)
            continue;
        if (!held.owner_current) {
            held.owner = members_.owner(organisation);
            held.owner_current = true;
        }
        sent_request& sent = held.sent[held.next_sent];
        held.next_sent = (held.next_sent + 1) % held.sent.size();
        sent = {++last_request_, std::min(wanted - expected, 0xffffU), now,
                true};
        held.last_sent = now;
        ++counters_.requests;
        out.add(held.owner, message_kind::request,
                {organisation, sent.number, sent.tokens});
    }
    to_ask_.clear();
}

void limit_client::on_fleet_changed()
{
    for (auto& [organisation, held] : stocks_) {
        const member_hash owner = members_.owner(organisation);
        held.owner_current = true;
        if (held.owner == owner)
            continue;
        held.owner = owner;
        held.timeouts = 0;
        held.refuse_until = {};
        for (sent_request& request : held.sent)
            request.open = false;
        if (!held.waiting.empty())
            ask(organisation, held);
    }
}

void limit_client::on_tick(support::time_point now)
{
    std::erase_if(stocks_, [&](const auto& entry) {
        const stock& held = entry.second;
        return held.waiting.empty() && now - held.last_call > idle_time;
    });
}

std::vector<admission> limit_client::take_decided()
{
    std::vector<admission> decided;
    decided.swap(decided_);
    return decided;
}

} // namespace galenarudder::organisations
