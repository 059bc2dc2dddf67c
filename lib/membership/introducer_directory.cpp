// Reads slots while alone, keeps one slot when this member is to hold one.
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
/// Of so many reads of a lone member, one reads the list of domains.
constexpr unsigned reads_per_list = 4;
/// Reads of a candidate without a slot before it turns to the longer interval.
constexpr unsigned max_eager_reads = 8;
constexpr std::size_t max_domains_listed = 64;

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
    return "galenarudder/introducers/" + domain + "/" + std::to_string(slot);
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
      lease_(lease_ttl, random_()), domains_({self_.domain}),
      eager_reads_(max_eager_reads)
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
    if (!held_.empty())
        eager_reads_ = max_eager_reads;
    const bool eager = candidate_ && held_.empty() && eager_reads_ > 0;
    if (!eager)
        return check_interval;
    --eager_reads_;
    return claim_retry;
}

std::string introducer_directory::next_key(bool alone)
{
    // A claim whose answer was lost is resolved before anything else.
    if (!unresolved_.empty())
        return unresolved_;
    ++reads_;
    const bool reads_list =
        alone ? reads_ % reads_per_list == 0 : candidate_ && !listed_;
    if (reads_list)
        return domains_key;
    if (!held_.empty() && !alone)
        return held_;
    const std::string& domain =
        alone ? domains_[support::uniform_below(random_, domains_.size())]
              : self_.domain;
    return introducer_key(domain, static_cast<unsigned>(support::uniform_below(
                                      random_, slots_per_domain)));
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
    if (alone || candidate_ || !held_.empty() || !unresolved_.empty())
        actions.emplace_back(read_slot{next_key(alone)});
    return actions;
}

void introducer_directory::on_domains(const store::versioned_value& found,
                                      std::vector<directory_action>& actions)
{
    const json list = json::parse(found.value, nullptr, false);
    std::vector<std::string> domains;
    for (const json& one : list.is_array() ? list : json::array()) {
        if (one.is_string() && domains.size() < max_domains_listed)
            domains.push_back(one.get<std::string>());
    }
    listed_ = std::find(domains.begin(), domains.end(), self_.domain) !=
              domains.end();
    if (!listed_)
        domains.push_back(self_.domain);
    domains_ = std::move(domains);
    if (listed_ || !candidate_)
        return;
    actions.emplace_back(
        claim_slot{domains_key, json(domains_).dump(), found.index, ""});
}

void introducer_directory::on_own_slot(const std::string& key,
                                       const store::versioned_value& found,
                                       support::time_point now,
                                       std::vector<directory_action>& actions)
{
    const std::string lease = lease_.held(now);
    // Also resolves a claim whose answer was lost.
    const bool mine = !lease.empty() && found.lease == lease;
    if (mine)
        held_ = key;
    else if (held_ == key)
        held_.clear();
    if (!unresolved_.empty())
        return;
    const bool free = found.index == 0 || found.lease.empty();
    if (!candidate_ || !held_.empty() || !free)
        return;
    claim_slot claim{key, introducer_value(self_), found.index, lease};
    if (lease.empty())
        wanted_ = std::move(claim);
    else
        actions.emplace_back(std::move(claim));
}

std::vector<directory_action> introducer_directory::on_slot(
    const std::string& key,
    const support::result<store::versioned_value>& found,
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
    if (key == unresolved_)
        unresolved_.clear();
    if (key == domains_key) {
        on_domains(found.value(), actions);
        return actions;
    }
    if (found.value().index != 0) {
        const auto holder = parse_introducer(found.value().value);
        if (holder && holder.value().member != self_.id)
            actions.emplace_back(introducer_found{holder.value().gossip});
    }
    const std::string own = introducer_key(self_.domain, 0);
    const std::string prefix = own.substr(0, own.size() - 1);
    if (key.starts_with(prefix))
        on_own_slot(key, found.value(), now, actions);
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
        // Taken by another, or the answer was lost: the next read tells.
        if (!outcome)
            unresolved_ = key;
        next_read_ = std::min(next_read_, now + jittered(claim_retry, random_));
        return {};
    }
    if (key == domains_key)
        listed_ = true;
    else if (lease_.holds(now))
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
