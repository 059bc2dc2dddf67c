// Lists the introducer slots while this member is alone, and holds one slot
// while it is a candidate.
#include "galenarudder/membership/introducer_directory.hpp"

#include "galenarudder/store/backoff.hpp"
#include "galenarudder/support/json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenarudder::membership {

using nlohmann::json;

namespace {

constexpr support::milliseconds lease_ttl{60000};
/// Interval of reads while no other member is live and the store answers.
constexpr support::milliseconds alone_list_interval{1000};
/// Interval at which candidates and holders read the slots.
constexpr support::milliseconds list_check_interval{30000};
constexpr support::milliseconds slot_claim_retry_interval{2000};
constexpr support::milliseconds max_list_retry{15000};
/// Reads of a candidate at slot_claim_retry_interval before it changes to
/// list_check_interval. Members of a starting fleet find each other in groups,
/// which learn of each other through these reads.
constexpr unsigned max_short_interval_reads = 8;
/// While this member is alone, one of so many listings is the newest.
constexpr unsigned alone_reads_for_newest = 3;

support::error malformed()
{
    return {support::error_kind::invalid_document,
            "the value of an introducer slot is malformed",
            "delete the key; a member will claim the slot again"};
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
    BOOST_OUTCOME_TRY(
        const json fields,
        support::parse_json(value, "the value of an introducer slot",
                            support::error_kind::invalid_document));
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
      lease_(lease_ttl, random_()),
      short_interval_reads_left_(max_short_interval_reads)
{
}

void introducer_directory::list_soon(support::time_point now)
{
    next_list_ = std::min(next_list_,
                          now + jittered(slot_claim_retry_interval, random_));
}

std::vector<directory_action> introducer_directory::apply_lease_actions(
    std::vector<store::lease_action> lease_actions, support::time_point now)
{
    std::vector<directory_action> actions;
    for (store::lease_action& action : lease_actions) {
        if (auto* grant = std::get_if<store::grant_request>(&action))
            actions.emplace_back(*grant);
        if (auto* renew = std::get_if<store::renewal_request>(&action))
            actions.emplace_back(std::move(*renew));
        if (std::holds_alternative<store::lease_lost>(action)) {
            held_key_.clear();
            list_soon(now);
        }
    }
    return actions;
}

/// A listing that may be some seconds old is enough to find introducers; an
/// older entry names a member that may have gone, which a join shows. While
/// none answers, the newest is read from time to time.
store::read_freshness introducer_directory::take_freshness(bool alone)
{
    alone_reads_ = alone ? alone_reads_ + 1 : 0;
    const bool found_none =
        alone_reads_ != 0 && alone_reads_ % alone_reads_for_newest == 0;
    newest_asked_ = newest_needed_ || slot_claim_unresolved_ || found_none;
    newest_needed_ = false;
    return newest_asked_ ? store::read_freshness::newest
                         : store::read_freshness::may_be_stale;
}

support::duration introducer_directory::take_list_interval(bool alone)
{
    if (alone)
        return alone_list_interval;
    if (!is_candidate_ || short_interval_reads_left_ == 0)
        return list_check_interval;
    --short_interval_reads_left_;
    return slot_claim_retry_interval;
}

std::vector<directory_action> introducer_directory::on_tick(
    bool alone,
    const std::function<std::size_t()>& position_in_domain,
    support::time_point now)
{
    std::vector<directory_action> actions;
    if (!held_key_.empty() || pending_slot_claim_)
        actions = apply_lease_actions(lease_.on_tick(now), now);
    if (now < next_list_)
        return actions;
    if (settled_at_ == support::time_point{})
        settled_at_ = now + jittered(settling_, random_);
    // Until settled_at_, every member of a starting fleet would consider itself
    // the first of its domain.
    const bool settled = now >= settled_at_;
    is_candidate_ = settled && position_in_domain() < slots_per_domain;
    next_list_ = now + jittered(take_list_interval(alone), random_);
    if (!settled)
        next_list_ = std::min(next_list_, settled_at_);
    if (alone || is_candidate_ || !held_key_.empty() || slot_claim_unresolved_)
        actions.emplace_back(list_slots{take_freshness(alone)});
    return actions;
}

/// Looks for the slot under the own lease, which also resolves a claim of a
/// slot whose answer was lost.
void introducer_directory::find_held_slot(
    std::span<const store::listed_value> slots, support::time_point now)
{
    const std::string lease = lease_.lease_id(now);
    const auto own_slot = std::find_if(
        slots.begin(), slots.end(), [&](const store::listed_value& slot) {
            return !lease.empty() && slot.item.lease == lease;
        });
    if (own_slot != slots.end()) {
        held_key_ = own_slot->key;
        has_held_slot_ = true;
        return;
    }
    if (!held_key_.empty())
        short_interval_reads_left_ = max_short_interval_reads;
    held_key_.clear();
}

/// Claims a random free slot, so that candidates seldom collide. A slot that
/// names this member under a lease that it does not hold is claimed first: it
/// is of an earlier lifetime of the process or of the store.
void introducer_directory::claim_free_slot(
    std::span<const store::listed_value> slots,
    support::time_point now,
    std::vector<directory_action>& actions)
{
    std::vector<claim_slot> free_slots;
    for (unsigned number = 0; number < slots_per_domain; ++number) {
        const std::string key = introducer_key(self_.domain, number);
        const auto slot_entry = std::find_if(
            slots.begin(), slots.end(),
            [&](const store::listed_value& slot) { return slot.key == key; });
        const bool absent = slot_entry == slots.end();
        claim_slot claim{
            key, introducer_value(self_),
            absent ? store::change_index() : slot_entry->item.index, ""};
        const bool own = !absent && slot_entry->item.value == claim.value;
        // What an earlier process of this member claimed holds for this one.
        if (own && !slot_entry->item.lease.empty() && !has_held_slot_)
            return;
        if (own) {
            free_slots.clear();
            free_slots.push_back(std::move(claim));
            break;
        }
        if (absent || slot_entry->item.lease.empty())
            free_slots.push_back(std::move(claim));
    }
    if (free_slots.empty())
        return;
    if (!newest_asked_) {
        newest_needed_ = true;
        next_list_ = now;
        return;
    }
    claim_slot& chosen =
        free_slots[support::uniform_below(random_, free_slots.size())];
    chosen.lease = lease_.lease_id(now);
    if (chosen.lease.empty())
        pending_slot_claim_ = std::move(chosen);
    else
        actions.emplace_back(std::move(chosen));
}

std::vector<directory_action> introducer_directory::on_listed(
    const support::result<std::vector<store::listed_value>>& listed,
    support::time_point now)
{
    std::vector<directory_action> actions;
    if (!listed) {
        const store::backoff_limits limits{alone_list_interval, max_list_retry};
        next_list_ =
            std::max(next_list_,
                     now + store::backoff(limits, list_failures_++, random_));
        return actions;
    }
    list_failures_ = 0;
    slot_claim_unresolved_ = false;
    for (const store::listed_value& slot : listed.value()) {
        const auto holder = parse_introducer(slot.item.value);
        if (holder && holder.value().member != self_.id)
            actions.emplace_back(introducer_found{holder.value().gossip});
    }
    find_held_slot(listed.value(), now);
    if (is_candidate_ && held_key_.empty())
        claim_free_slot(listed.value(), now, actions);
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
        // Another member claimed the slot, or the answer was lost: the next
        // listing shows which.
        slot_claim_unresolved_ = !outcome;
        newest_needed_ = true;
        list_soon(now);
        const bool lapsed =
            !outcome && outcome.error().kind == support::error_kind::not_found;
        if (lapsed)
            return apply_lease_actions(lease_.on_lapsed(now), now);
        return {};
    }
    if (lease_.holds(now)) {
        held_key_ = key;
        has_held_slot_ = true;
    }
    return {};
}

std::vector<directory_action>
introducer_directory::on_granted(std::uint64_t request_number,
                                 support::result<std::string> lease,
                                 support::time_point now)
{
    std::vector<directory_action> actions = apply_lease_actions(
        lease_.on_granted(request_number, std::move(lease), now), now);
    if (!pending_slot_claim_ || !lease_.holds(now))
        return actions;
    pending_slot_claim_->lease = lease_.lease_id(now);
    actions.emplace_back(std::move(*pending_slot_claim_));
    pending_slot_claim_.reset();
    return actions;
}

std::vector<directory_action>
introducer_directory::on_renewed(std::uint64_t request_number,
                                 const support::result<void>& renewed,
                                 support::time_point now)
{
    return apply_lease_actions(lease_.on_renewed(request_number, renewed, now),
                               now);
}

} // namespace galenarudder::membership
