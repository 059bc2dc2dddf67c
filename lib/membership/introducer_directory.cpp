// Lists the slots while alone, keeps one slot when this member is to hold one.
#include "galenarudder/membership/introducer_directory.hpp"

#include "galenarudder/store/backoff.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenarudder::membership {

using nlohmann::json;

namespace {

constexpr support::milliseconds lease_ttl{60000};
/// A member that knows nobody reads this often while the store answers.
constexpr support::milliseconds alone_interval{1000};
/// Candidates and holders look at a slot this often.
constexpr support::milliseconds check_interval{30000};
constexpr support::milliseconds claim_retry{2000};
constexpr support::milliseconds longest_retry{15000};
/// Reads of a candidate before it turns to the longer interval. Members of a
/// starting fleet find each other in groups, which have to learn of each other.
constexpr unsigned max_eager_reads = 8;

support::error malformed()
{
    return {support::error_kind::invalid_document,
            "the introducer's value is malformed",
            "delete the key; a member claims it again"};
}

support::duration jittered(support::duration span,
                           support::random_engine& random)
{
    return support::from_ms(support::to_ms(span) *
                            (0.5 + support::uniform_unit(random)));
}

} // namespace

std::string introducer_key(const std::string& domain, unsigned slot)
{
    return introducer_prefix + domain + "/" + std::to_string(slot);
}

std::string introducer_value(const member_record& self)
{
    return json{{"member", self.id}, {"gossip", to_string(self.gossip)}}.dump();
}

support::result<introducer> parse_introducer(const std::string& value)
{
    const json fields = json::parse(value, nullptr, false);
    const bool complete = fields.is_object() && fields.contains("member") &&
                          fields["member"].is_string() &&
                          fields.contains("gossip") &&
                          fields["gossip"].is_string();
    if (!complete)
        return malformed();
    auto gossip = config::parse_endpoint(fields["gossip"].get<std::string>());
    if (!gossip)
        return std::move(gossip).error();
    return introducer{fields["member"], std::move(gossip).value()};
}

introducer_directory::introducer_directory(member_record self,
                                           support::duration settling,
                                           std::uint64_t seed)
    : self_(std::move(self)), settling_(settling), random_(seed),
      lease_(lease_ttl, random_()), eager_reads_(max_eager_reads)
{
}

std::vector<directory_action>
introducer_directory::take(std::vector<store::lease_action> more)
{
    std::vector<directory_action> actions;
    for (store::lease_action& one : more) {
        if (auto* grant = std::get_if<store::grant_wanted>(&one))
            actions.emplace_back(*grant);
        if (auto* renew = std::get_if<store::renew_wanted>(&one))
            actions.emplace_back(std::move(*renew));
        if (std::holds_alternative<store::lease_lost>(one))
            held_.clear();
    }
    return actions;
}

support::duration introducer_directory::interval(bool alone)
{
    if (alone)
        return alone_interval;
    if (!candidate_ || eager_reads_ == 0)
        return check_interval;
    --eager_reads_;
    return claim_retry;
}

std::vector<directory_action> introducer_directory::on_tick(
    bool alone,
    const std::function<std::size_t()>& rank_in_domain,
    support::time_point now)
{
    std::vector<directory_action> actions;
    if (!held_.empty() || wanted_)
        actions = take(lease_.on_tick(now));
    if (now < next_read_)
        return actions;
    if (ready_at_ == support::time_point{})
        ready_at_ = now + jittered(settling_, random_);
    // Before, a starting fleet would take each member for the first.
    const bool ready = now >= ready_at_;
    candidate_ = ready && rank_in_domain() < slots_per_domain;
    next_read_ = now + jittered(interval(alone), random_);
    if (!ready)
        next_read_ = std::min(next_read_, ready_at_);
    if (alone || candidate_ || !held_.empty() || unresolved_)
        actions.emplace_back(list_slots{});
    return actions;
}

/// Finds the slot under the own lease. This also resolves a claim whose answer
/// was lost.
void introducer_directory::find_held(std::span<const store::listed_value> slots,
                                     support::time_point now)
{
    const std::string lease = lease_.held(now);
    const auto mine = std::find_if(
        slots.begin(), slots.end(), [&](const store::listed_value& slot) {
            return !lease.empty() && slot.item.lease == lease;
        });
    if (mine != slots.end()) {
        held_ = mine->key;
        return;
    }
    if (!held_.empty())
        eager_reads_ = max_eager_reads;
    held_.clear();
}

/// Claims one of the free slots by chance, so that candidates seldom meet.
void introducer_directory::claim_free(
    std::span<const store::listed_value> slots,
    support::time_point now,
    std::vector<directory_action>& actions)
{
    std::vector<claim_slot> free;
    for (unsigned number = 0; number < slots_per_domain; ++number) {
        const std::string key = introducer_key(self_.domain, number);
        const auto found = std::find_if(
            slots.begin(), slots.end(),
            [&](const store::listed_value& slot) { return slot.key == key; });
        const bool absent = found == slots.end();
        if (absent || found->item.lease.empty())
            free.push_back({key, introducer_value(self_),
                            absent ? 0 : found->item.index, ""});
    }
    if (free.empty())
        return;
    claim_slot& chosen = free[support::uniform_below(random_, free.size())];
    chosen.lease = lease_.held(now);
    if (chosen.lease.empty())
        wanted_ = std::move(chosen);
    else
        actions.emplace_back(std::move(chosen));
}

std::vector<directory_action> introducer_directory::on_listed(
    const support::result<std::vector<store::listed_value>>& found,
    support::time_point now)
{
    std::vector<directory_action> actions;
    if (!found) {
        const store::backoff_limits limits{alone_interval, longest_retry};
        next_read_ = std::max(
            next_read_, now + store::backoff(limits, failures_++, random_));
        return actions;
    }
    failures_ = 0;
    unresolved_ = false;
    for (const store::listed_value& slot : found.value()) {
        const auto holder = parse_introducer(slot.item.value);
        if (holder && holder.value().member != self_.id)
            actions.emplace_back(introducer_found{holder.value().gossip});
    }
    find_held(found.value(), now);
    if (candidate_ && held_.empty())
        claim_free(found.value(), now, actions);
    return actions;
}

std::vector<directory_action> introducer_directory::on_claimed(
    const std::string& key,
    const support::result<store::swap_outcome>& outcome,
    support::time_point now)
{
    const bool swapped =
        outcome && outcome.value() == store::swap_outcome::swapped;
    if (!swapped) {
        // Taken by another, or the answer was lost: the next listing tells.
        unresolved_ = !outcome;
        next_read_ = std::min(next_read_, now + jittered(claim_retry, random_));
        return {};
    }
    if (lease_.holds(now))
        held_ = key;
    return {};
}

std::vector<directory_action>
introducer_directory::on_granted(std::uint64_t request,
                                 support::result<std::string> lease,
                                 support::time_point now)
{
    std::vector<directory_action> actions =
        take(lease_.on_granted(request, std::move(lease), now));
    if (!wanted_ || !lease_.holds(now))
        return actions;
    wanted_->lease = lease_.held(now);
    actions.emplace_back(std::move(*wanted_));
    wanted_.reset();
    return actions;
}

std::vector<directory_action>
introducer_directory::on_renewed(std::uint64_t request,
                                 const support::result<void>& renewed,
                                 support::time_point now)
{
    return take(lease_.on_renewed(request, renewed, now));
}

} // namespace galenarudder::membership
