// Stocks of tokens, and requests for more.
#include "galenarudder/organisations/limit_client.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

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
/// Members that may be asked in place of the owner. Several may have stopped at
/// once, as with a failure domain.
constexpr std::size_t max_substitutes = 3;
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
    const bool owner_silent = held.timeouts >= max_timeouts;
    for (const sent_request& request : held.sent) {
        const bool awaited =
            request.open && now - request.sent_at < resend_time;
        if (awaited && !(owner_silent && request.to == held.owner))
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

/// Returns the newest request to a member, or null.
const limit_client::sent_request*
limit_client::last_request_to(const stock& held, member_hash to)
{
    for (std::size_t age = 1; age <= held.sent.size(); ++age) {
        const sent_request& request =
            held.sent[(held.next_sent + held.sent.size() - age) %
                      held.sent.size()];
        if (request.to == to)
            return &request;
    }
    return nullptr;
}

void limit_client::choose_substitute(organisation_hash organisation,
                                     stock& held)
{
    const std::vector<member_hash> candidates =
        members_.substitutes(organisation, max_substitutes);
    held.substitute =
        candidates.empty()
            ? 0
            : candidates[held.substitute_position % candidates.size()];
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
    if (held.timeouts >= max_timeouts) {
        if (now - held.last_sent >= silent_interval)
            ask(organisation, held);
        const admission decided = admit_by_share(organisation, now);
        if (decided.result == verdict::admitted || held.substitute == 0)
            return decided;
    }
    if (now < held.refuse_until)
        return refuse(held.refuse_until - now, held.cause);
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
    if (std::find(held.waiting.begin(), held.waiting.end(), call) ==
        held.waiting.end())
        return;
    ask(organisation, held);
    // Where replies take more than resend_time, as between regions, each call
    // would ask two members, and those would compete for the shares.
    if (held.owner_slow || held.timeouts == 0)
        return;
    if (held.substitute == 0)
        choose_substitute(organisation, held);
    held.asks_substitute = held.substitute != 0;
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
    const sent_request* last = last_request_to(held, held.owner);
    if (last != nullptr && last->open && last->number != held.last_unanswered) {
        held.last_unanswered = last->number;
        ++held.timeouts;
    }
    const sent_request* other = last_request_to(held, held.substitute);
    if (held.substitute != 0 && other != nullptr && other->open &&
        now - other->sent_at >= resend_time) {
        ++held.substitute_position;
        choose_substitute(organisation, held);
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
    const bool from_owner = owner == held.owner;
    const bool owner_silent = !from_owner && held.timeouts >= max_timeouts;
    if (from_owner) {
        held.timeouts = 0;
        held.substitute = 0;
        held.substitute_position = 0;
        held.owner_untried = false;
        held.owner_slow = now - request->sent_at >= resend_time;
    }
    const std::uint32_t issued =
        std::min(reply.second & 0xffff, request->tokens);
    const support::milliseconds retry(reply.second >> 16);
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
    // The owner may still have tokens.
    if (!from_owner && !owner_silent)
        return;
    held.cause = owner_silent             ? refusal_cause::owner_silent
                 : retry.count() % 2 == 0 ? refusal_cause::over_limit
                                          : refusal_cause::shares_missing;
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
        const bool asks_substitute =
            std::exchange(held.asks_substitute, false) || held.owner_untried;
        const bool silent = held.timeouts >= max_timeouts;
        const std::uint32_t silent_probe = silent;
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
        const std::uint32_t tokens = std::min(wanted - expected, 0xffffU);
        if (!silent || held.substitute == 0) {
            send(organisation, held, held.owner, tokens, now, out);
        } else if (now - held.last_sent >= silent_interval) {
            send(organisation, held, held.owner, silent_probe, now, out);
        }
        const bool for_calls = waiting + ahead > 0;
        if (held.substitute != 0 && for_calls && (silent || asks_substitute)) {
            ++counters_.substitute_requests;
            send(organisation, held, held.substitute, tokens, now, out);
        }
    }
    to_ask_.clear();
}

void limit_client::send(organisation_hash organisation,
                        stock& held,
                        member_hash to,
                        std::uint32_t tokens,
                        support::time_point now,
                        outbox& out)
{
    sent_request& sent = held.sent[held.next_sent];
    held.next_sent = (held.next_sent + 1) % held.sent.size();
    sent = {to, ++last_request_, tokens, now, true};
    if (to == held.owner)
        held.last_sent = now;
    ++counters_.requests;
    out.add(to, message_kind::request,
            {organisation, sent.number, sent.tokens});
}

void limit_client::on_fleet_changed()
{
    for (auto& [organisation, held] : stocks_) {
        const member_hash owner = members_.owner(organisation);
        held.owner_current = true;
        const bool asks_another = held.substitute != 0;
        // One that replies is kept: it has shares.
        const bool kept = asks_another && held.substitute != owner &&
                          members_.find_live(held.substitute) != nullptr;
        if (asks_another && !kept)
            choose_substitute(organisation, held);
        if (held.owner == owner)
            continue;
        held.owner = owner;
        held.owner_slow = false;
        held.owner_untried = asks_another;
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
