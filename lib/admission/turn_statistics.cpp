// Counts decisions of fair_queue by organisation and by mode.
#include "galenarudder/admission/turn_statistics.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace galenarudder::admission {

using config::automation;
using telemetry::decision_effect;

void turn_statistics::configure(const config::configuration& in_force)
{
    std::vector<const config::organisation_policy*> largest;
    for (const auto& policy : in_force.organisations)
        largest.push_back(policy.get());
    const std::size_t named = std::min(named_organisations, largest.size());
    std::partial_sort(largest.begin(),
                      largest.begin() + static_cast<std::ptrdiff_t>(named),
                      largest.end(), [](const auto* left, const auto* right) {
                          return std::tie(right->calls_per_s, left->name) <
                                 std::tie(left->calls_per_s, right->name);
                      });
    std::map<std::string, organisation_counts, std::less<>> next;
    next[std::string()] = counts_[std::string()];
    for (std::size_t index = 0; index < named; ++index) {
        const std::string& name = largest[index]->name;
        const auto before = counts_.find(name);
        next[name] =
            before == counts_.end() ? organisation_counts() : before->second;
    }
    counts_ = std::move(next);
}

turn_statistics::organisation_counts&
turn_statistics::counts_of(std::string_view organisation)
{
    const auto found = counts_.find(organisation);
    return found == counts_.end() ? counts_[std::string()] : found->second;
}

void turn_statistics::on_slot_time(std::string_view organisation,
                                   double slot_ms)
{
    counts_of(organisation).slot_ms += slot_ms;
}

void turn_statistics::add(const turn_tally& decided,
                          config::automation_mode mode)
{
    const decision_effect effect = telemetry::effect_of(mode, true);
    recorded_tally& tally =
        effect == decision_effect::observed ? observed_ : acted_;
    tally.total.starts += decided.starts;
    tally.total.removals += decided.removals;
    tally.unrecorded.starts += decided.starts;
    tally.unrecorded.removals += decided.removals;
    for (const auto& [organisation, count] : decided.passed_over) {
        counts_of(organisation).passed_over += count;
        tally.unrecorded.passed_over[organisation] += count;
    }
}

void turn_statistics::record(recorded_tally& tally,
                             decision_effect effect,
                             support::time_point now,
                             telemetry::decision_log* decisions)
{
    const turn_tally decided = std::exchange(tally.unrecorded, {});
    if (decisions == nullptr || decided.empty())
        return;
    const auto most =
        std::max_element(decided.passed_over.begin(), decided.passed_over.end(),
                         [](const auto& left, const auto& right) {
                             return left.second < right.second;
                         });
    const bool is_named =
        most != decided.passed_over.end() && !most->first.empty();
    decisions->record({now, automation::organisation_turns, effect,
                       is_named ? "calls of " + most->first : "waiting calls",
                       std::to_string(decided.starts) + " starts and " +
                           std::to_string(decided.removals) +
                           " removals by turns of organisations instead of by "
                           "arrival"});
}

/// The mode may have changed since the last record, but one record in an
/// interval is enough: what the other mode counted follows with the next one.
void turn_statistics::record_due(support::time_point now,
                                 telemetry::decision_log* decisions)
{
    const bool any =
        !acted_.unrecorded.empty() || !observed_.unrecorded.empty();
    if (!any || now - last_record_ < record_interval)
        return;
    last_record_ = now;
    if (!acted_.unrecorded.empty())
        return record(acted_, decision_effect::acted, now, decisions);
    record(observed_, decision_effect::observed, now, decisions);
}

} // namespace galenarudder::admission
