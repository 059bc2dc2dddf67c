// Counts outcomes and writes the report.
#include "outcome.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <string_view>

namespace galenarudder::load {

namespace {

struct end_name
{
    call_end end;
    std::string_view name;
};

constexpr std::array end_names = {
    end_name{call_end::answered, "answered"},
    end_name{call_end::crossed, "crossed"},
    end_name{call_end::error_status, "error_status"},
    end_name{call_end::refused, "refused"},
    end_name{call_end::cut, "cut"},
    end_name{call_end::unreachable, "unreachable"}};

struct percentile
{
    std::string_view name;
    double share;
};

constexpr std::array percentiles = {
    percentile{"p50_ms", 0.5}, percentile{"p90_ms", 0.9},
    percentile{"p99_ms", 0.99}, percentile{"p999_ms", 0.999},
    percentile{"max_ms", 1.0}};

double seconds(support::duration took)
{
    return std::chrono::duration<double>(took).count();
}

} // namespace

void summary::add(const call_result& result)
{
    ++total_;
    ++ends_[result.end];
    if (!result.refusal.empty())
        ++refusals_[result.refusal];
    if (result.end == call_end::answered)
        latencies_.push_back(result.latency);
}

std::uint64_t summary::count(call_end end) const
{
    const auto found = ends_.find(end);
    return found == ends_.end() ? 0 : found->second;
}

double summary::percentile_ms(double share) const
{
    if (latencies_.empty())
        return 0;
    std::vector<support::duration> sorted = latencies_;
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto at = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(at),
                     sorted.end());
    return std::chrono::duration<double, std::milli>(sorted[at]).count();
}

std::string summary::json(support::duration took) const
{
    nlohmann::ordered_json report;
    report["calls"] = total_;
    report["seconds"] = seconds(took);
    for (const end_name& known : end_names)
        report[std::string(known.name)] = count(known.end);
    report["refusals"] = refusals_;
    for (const percentile& wanted : percentiles)
        report[std::string(wanted.name)] = percentile_ms(wanted.share);
    return report.dump();
}

std::string summary::table(support::duration took) const
{
    std::ostringstream text;
    text << total_ << " calls in " << seconds(took) << " s\n";
    for (const end_name& known : end_names)
        text << "  " << known.name << " " << count(known.end) << "\n";
    for (const auto& [refusal, times] : refusals_)
        text << "  refused " << refusal << " " << times << "\n";
    for (const percentile& wanted : percentiles)
        text << "  " << wanted.name << " " << percentile_ms(wanted.share)
             << "\n";
    return text.str();
}

} // namespace galenarudder::load
