// The command check: reads the files, the configuration in force and the
// fleet's upstreams, and prints the findings.
#include "command_support.hpp"

#include "galenarudder/operators/check_files.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <iterator>
#include <optional>
#include <ostream>

namespace galenarudder::operators {

using config::finding;
using config::severity;
using nlohmann::json;

namespace {

constexpr double ms_per_s = 1000;

/// The configuration with which the checked one is compared.
struct comparison
{
    config::document in_force;
    /// Whether overlays were named among its files. A daemon has those of all
    /// sites in force, whichever files are checked.
    bool has_overlays = false;
};

/// Returns the mean service time by service, as the daemon measured it.
std::map<std::string, double> mean_service_ms(const json& members,
                                              const json& loads)
{
    std::map<std::string, std::string> services;
    for (const json& member : members)
        services[member.value("id", "")] = member.value("service", "");
    std::map<std::string, std::pair<double, unsigned>> sums;
    for (const json& load : loads) {
        const double service_ms = load.value("service_ms", 0.0);
        if (service_ms <= 0)
            continue;
        auto& [sum, count] = sums[services[load.value("member", "")]];
        sum += service_ms;
        ++count;
    }
    std::map<std::string, double> means;
    for (const auto& [service, sum] : sums)
        means[service] = sum.first / sum.second;
    return means;
}

config::fleet_capacity read_capacity(const snapshot_parts& taken)
{
    constexpr std::array<std::string_view, 3> not_serving = {"left", "dead",
                                                             "draining"};
    const auto service_ms = mean_service_ms(taken.members, taken.loads);
    config::fleet_capacity fleet;
    for (const json& member : taken.members) {
        const std::string service = member.value("service", "");
        const std::string member_state = member.value("state", "");
        if (service.empty() || std::find(not_serving.begin(), not_serving.end(),
                                         member_state) != not_serving.end())
            continue;
        config::service_capacity& capacity = fleet[service];
        ++capacity.upstreams;
        const auto measured = service_ms.find(service);
        if (measured == service_ms.end())
            continue;
        capacity.calls_per_s +=
            member.value("slots", 0U) * ms_per_s / measured->second;
    }
    return fleet;
}

support::result<config::fleet_capacity> fetch_fleet(const options& flags)
{
    BOOST_OUTCOME_TRY(const snapshot_parts taken, request_snapshot(flags));
    return read_capacity(taken);
}

/// Runs the check for one set of flags.
class check_run
{
public:
    explicit check_run(const options& flags)
        : flags_(flags), files_(source_files::read(flags.files, flags.form))
    {
    }

    std::vector<located_finding> run() &&
    {
        const auto compared = read_comparison();
        const auto fleet = read_fleet();
        append(files_.errors());
        append(files_.remarks());
        if (!files_.errors().empty()) {
            check_schemas_only();
            return std::move(findings_);
        }
        const bool overlays_given =
            files_.has_overlays() || (compared && compared->has_overlays);
        if (compared && !overlays_given)
            report_overlays_not_compared();
        append(files_.locate(config::check_configuration(
            {files_.full_document(), compared ? &compared->in_force : nullptr,
             overlays_given, fleet ? &*fleet : nullptr})));
        return std::move(findings_);
    }

private:
    void append(std::vector<located_finding> more)
    {
        std::move(more.begin(), more.end(), std::back_inserter(findings_));
    }

    /// Reports once for each source what could not be compared. The rest is
    /// checked all the same.
    void report_unavailable(const std::string& source,
                            const support::error& failure)
    {
        const bool reported = std::any_of(
            findings_.begin(), findings_.end(),
            [&](const auto& located) { return located.file == source; });
        if (reported)
            return;
        findings_.push_back(
            {source,
             0,
             {"comparison-unavailable", severity::error, "", "",
              failure.message, failure.remedy, nullptr, nullptr}});
    }

    void report_overlays_not_compared()
    {
        // A document in another form holds the whole configuration.
        if (flags_.form != nullptr)
            return;
        findings_.push_back(
            {"",
             0,
             {"overlays-not-compared", severity::note, "", "",
              "overlays were not compared, since none was given",
              "name the overlays, too, to compare them", nullptr, nullptr}});
    }

    std::optional<comparison> read_comparison()
    {
        if (!flags_.against.empty())
            return read_compared_files();
        if (!flags_.daemon_given)
            return std::nullopt;
        auto in_force = fetch_document_in_force(flags_);
        if (in_force)
            return comparison{std::move(in_force).value(), false};
        report_unavailable(flags_.daemon, in_force.error());
        return std::nullopt;
    }

    std::optional<comparison> read_compared_files()
    {
        const source_files compared =
            source_files::read(flags_.against, flags_.form);
        auto errors = compared.errors();
        if (errors.empty())
            errors = compared.locate(
                config::find_schema_errors(compared.full_document()));
        if (errors.empty())
            return comparison{compared.full_document(),
                              compared.has_overlays()};
        append(std::move(errors));
        return std::nullopt;
    }

    std::optional<config::fleet_capacity> read_fleet()
    {
        if (!flags_.daemon_given)
            return std::nullopt;
        auto fleet = fetch_fleet(flags_);
        if (fleet)
            return std::move(fleet).value();
        report_unavailable(flags_.daemon, fleet.error());
        return std::nullopt;
    }

    void check_schemas_only()
    {
        // A translation that failed is incomplete, so that its document would
        // only show consequences.
        if (flags_.form == nullptr)
            append(files_.locate(
                config::find_schema_errors(files_.full_document())));
        findings_.push_back(
            {"",
             0,
             {"rules-not-checked", severity::note, "", "",
              "rules across documents and differences were not checked",
              "correct the other errors and check again", nullptr, nullptr}});
    }

    const options& flags_;
    source_files files_;
    std::vector<located_finding> findings_;
};

json encode(const located_finding& located)
{
    const finding& found = located.found;
    json encoded = {
        {"code", found.code},       {"severity", to_string(found.level)},
        {"file", located.file},     {"line", located.line},
        {"pointer", found.pointer}, {"message", found.message},
        {"remedy", found.remedy}};
    if (!found.before.is_null() || !found.after.is_null()) {
        encoded["before"] = found.before;
        encoded["after"] = found.after;
    }
    return encoded;
}

std::string describe(const located_finding& located)
{
    std::string text = located.file;
    if (located.line != 0)
        text += ":" + std::to_string(located.line);
    if (!text.empty())
        text += ": ";
    text.append(to_string(located.found.level))
        .append(" [")
        .append(located.found.code)
        .append("] ");
    if (!located.found.pointer.empty())
        text += located.found.pointer + ": ";
    return text + located.found.message + "; remedy: " + located.found.remedy;
}

void print(const std::vector<located_finding>& findings,
           const options& flags,
           const console& output)
{
    std::array<std::size_t, 3> counts{};
    json encoded = json::array();
    for (const located_finding& located : findings) {
        ++counts.at(static_cast<std::size_t>(located.found.level));
        if (flags.json)
            encoded.push_back(encode(located));
        else
            output.out << describe(located) << "\n";
    }
    const auto [notes, warnings, errors] = counts;
    if (!flags.json) {
        output.out << errors << " errors, " << warnings << " warnings, "
                   << notes << " notes\n";
        return;
    }
    output.out << json{{"findings", encoded},
                       {"errors", errors},
                       {"warnings", warnings},
                       {"notes", notes}}
                      .dump(2)
               << "\n";
}

exit_code check_and_print(const options& flags, const console& output)
{
    std::vector<located_finding> findings = check_run(flags).run();
    std::stable_sort(findings.begin(), findings.end(),
                     [](const auto& left, const auto& right) {
                         return left.found.level > right.found.level;
                     });
    print(findings, flags, output);
    constexpr std::array<exit_code, 3> codes = {
        exit_code::done, exit_code::check_warnings, exit_code::check_errors};
    const severity worst =
        findings.empty() ? severity::note : findings.front().found.level;
    return codes.at(static_cast<std::size_t>(worst));
}

} // namespace

exit_code check_files(const options& flags, const console& output)
{
    if (flags.files.empty()) {
        output.err << "galenarudderctl: no file was given; remedy: run "
                      "galenarudderctl check BASE.json [SITE.json...]\n";
        return exit_code::usage;
    }
    try {
        return check_and_print(flags, output);
    } catch (const std::exception& failure) {
        // Scripts would take an abort for another exit status than that of
        // errors.
        output.err << "galenarudderctl: the check failed: " << failure.what()
                   << "; remedy: report this error with the files\n";
        return exit_code::check_errors;
    }
}

} // namespace galenarudder::operators
