// Tables and JSON of the figures of scenarios.
#include "scenario_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <span>
#include <sstream>

namespace galenarudder::replay {

using json = nlohmann::ordered_json;

namespace {

constexpr int label_width = 20;
constexpr int column_width = 18;

std::string format_number(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

void add_row(std::ostream& text,
             const std::string& label,
             const figures_summary& row)
{
    text << std::left << std::setw(label_width) << label << std::right;
    for (const figure_summary& cell : row) {
        text << std::setw(column_width)
             << format_number(cell.mean) + " +- " + format_number(cell.spread);
    }
    text << '\n';
}

void add_head(std::ostream& text, const std::string& title)
{
    text << title << '\n' << std::setw(label_width) << "";
    for (const std::string_view name : figure_names)
        text << std::setw(column_width) << name;
    text << '\n';
}

void add_summary(std::ostream& text,
                 const std::string& title,
                 const scenario_summary& summary)
{
    add_head(text, title);
    for (std::size_t second = 0; second < summary.per_second.size(); ++second)
        add_row(text, "second " + std::to_string(second),
                summary.per_second[second]);
    add_row(text, "total", summary.total);
}

void add_calls(std::ostream& text,
               const std::vector<call_type>& calls,
               const scenario_summary& summary)
{
    for (std::size_t index = 0; index < calls.size(); ++index)
        add_row(text, calls[index].name, summary.per_call[index]);
}

void add_scenario(std::ostream& text, const played_scenario& shown)
{
    add_summary(text, shown.played->name, shown.summary);
    add_calls(text, shown.played->calls, shown.summary);
}

/// Returns whether rows of the two lists can be subtracted.
template <typename Named>
bool same_names(const std::vector<Named>& left, const std::vector<Named>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const Named& one, const Named& other) {
                          return one.name == other.name;
                      });
}

double rounded(double value)
{
    constexpr double steps_per_unit = 1000;
    return std::round(value * steps_per_unit) / steps_per_unit;
}

json row_json(const figures_summary& row)
{
    json object = json::object();
    for (std::size_t index = 0; index < figure_count; ++index) {
        object[std::string(figure_names.at(index))] = {
            {"mean", rounded(row.at(index).mean)},
            {"spread", rounded(row.at(index).spread)}};
    }
    return object;
}

json seconds_json(const scenario_summary& summary)
{
    json rows = json::array();
    for (const figures_summary& row : summary.per_second)
        rows.push_back(row_json(row));
    return rows;
}

/// Returns the rows by the names of what they describe.
template <typename Named>
json named_json(const std::vector<Named>& named,
                std::span<const figures_summary> rows)
{
    json object = json::object();
    for (std::size_t index = 0; index < named.size(); ++index)
        object[named[index].name] = row_json(rows[index]);
    return object;
}

json scenario_json(const played_scenario& shown)
{
    return {{"name", shown.played->name},
            {"total", row_json(shown.summary.total)},
            {"calls", named_json(shown.played->calls, shown.summary.per_call)},
            {"organisations", named_json(shown.played->organisations,
                                         shown.summary.per_organisation)},
            {"per_second", seconds_json(shown.summary)}};
}

json difference_json(const scenario_results& results)
{
    const scenario_summary& difference = *results.difference;
    const scenario& base = *results.base.played;
    const scenario& changed = *results.changed->played;
    json object = {{"total", row_json(difference.total)}};
    if (same_names(base.calls, changed.calls))
        object["calls"] = named_json(base.calls, difference.per_call);
    if (same_names(base.organisations, changed.organisations))
        object["organisations"] =
            named_json(base.organisations, difference.per_organisation);
    object["per_second"] = seconds_json(difference);
    return object;
}

} // namespace

std::string to_text(const scenario_results& results)
{
    std::ostringstream text;
    text << results.base.seeds.size() << " seeds from " << results.first_seed
         << "; calls as mean +- standard deviation over the seeds\n";
    add_scenario(text, results.base);
    if (results.changed)
        add_scenario(text, *results.changed);
    if (results.difference) {
        add_summary(text, "difference", *results.difference);
        const auto& calls = results.base.played->calls;
        if (same_names(calls, results.changed->played->calls))
            add_calls(text, calls, *results.difference);
    }
    return text.str();
}

std::string to_json(const scenario_results& results)
{
    json report = {{"format", "galenarudder-scenario-result-1"},
                   {"seeds", results.base.seeds.size()},
                   {"first_seed", results.first_seed},
                   {"scenario", scenario_json(results.base)}};
    if (results.changed)
        report["compared"] = scenario_json(*results.changed);
    if (results.difference)
        report["difference"] = difference_json(results);
    return report.dump();
}

} // namespace galenarudder::replay
