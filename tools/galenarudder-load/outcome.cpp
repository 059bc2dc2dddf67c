// Counts results and formats the report.
#include "outcome.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <string_view>

namespace galenarudder::load {

namespace {

struct outcome_name
{
    call_outcome outcome;
    std::string_view name;
};

constexpr std::array outcome_names = {
    outcome_name{call_outcome::answered, "answered"},
    outcome_name{call_outcome::crossed, "crossed"},
    outcome_name{call_outcome::error_status, "error_status"},
    outcome_name{call_outcome::refused, "refused"},
    outcome_name{call_outcome::cut, "cut"},
    outcome_name{call_outcome::unreachable, "unreachable"}};

struct percentile
{
    std::string_view name;
    double fraction;
};

constexpr std::array percentiles = {
    percentile{"p50_ms", 0.5}, percentile{"p90_ms", 0.9},
    percentile{"p99_ms", 0.99}, percentile{"p999_ms", 0.999},
    percentile{"max_ms", 1.0}};

double seconds(support::duration run_time)
{
    return std::chrono::duration<double>(run_time).count();
}

} // namespace

void summary::add(const call_result& result)
{
    ++total_count_;
    ++counts_by_outcome_[result.outcome];
    if (!result.refusal.empty())
        ++counts_by_refusal_[result.refusal];
    if (result.outcome == call_outcome::answered)
        answered_latencies_.push_back(result.latency);
}

std::uint64_t summary::count(call_outcome outcome) const
{
    const auto found = counts_by_outcome_.find(outcome);
    return found == counts_by_outcome_.end() ? 0 : found->second;
}

double summary::percentile_ms(double fraction) const
{
    if (answered_latencies_.empty())
        return 0;
    std::vector<support::duration> sorted = answered_latencies_;
    const double position =
        std::ceil(fraction * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, position)) - 1;
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return std::chrono::duration<double, std::milli>(sorted[index]).count();
}

std::string summary::json(support::duration run_time) const
{
    nlohmann::ordered_json report;
    report["calls"] = total_count_;
    report["seconds"] = seconds(run_time);
    for (const outcome_name& row : outcome_names)
        report[std::string(row.name)] = count(row.outcome);
    report["refusals"] = counts_by_refusal_;
    for (const percentile& row : percentiles)
        report[std::string(row.name)] = percentile_ms(row.fraction);
    return report.dump();
}

std::string summary::table(support::duration run_time) const
{
    std::ostringstream text;
    text << total_count_ << " calls in " << seconds(run_time) << " s\n";
    for (const outcome_name& row : outcome_names)
        text << "  " << row.name << " " << count(row.outcome) << "\n";
    for (const auto& [refusal, count_of_refusal] : counts_by_refusal_)
        text << "  refused " << refusal << " " << count_of_refusal << "\n";
    for (const percentile& row : percentiles)
        text << "  " << row.name << " " << percentile_ms(row.fraction) << "\n";
    return text.str();
}

} // namespace galenarudder::load
