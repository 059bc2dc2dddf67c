// The commands status, members, show, decisions, drain and snapshot, and the
// table of all commands.
#include "galenarudder/operators/commands.hpp"

#include "command_support.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <ostream>
#include <vector>

namespace galenarudder::operators {

using nlohmann::json;

namespace {

/// The versions in force at one site, as its members report them.
struct site_status
{
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
    std::size_t members = 0;
    std::vector<std::string> behind;
};

bool is_present(const json& member)
{
    const std::string state = member.value("state", "");
    return state != "left" && state != "dead";
}

std::uint64_t version_of(const json& member)
{
    return member.value("configuration_version", 0ULL);
}

std::uint64_t newest_version(const json& members)
{
    std::uint64_t newest = 0;
    for (const json& member : members) {
        if (is_present(member))
            newest = std::max(newest, version_of(member));
    }
    return newest;
}

/// Groups the members by site. A site is a failure domain, as the operators'
/// overlays name it.
std::map<std::string, site_status> collect_sites(const json& members)
{
    const std::uint64_t newest = newest_version(members);
    std::map<std::string, site_status> sites;
    for (const json& member : members) {
        if (!is_present(member))
            continue;
        site_status& site = sites[member.value("domain", "")];
        const std::uint64_t version = version_of(member);
        site.lowest =
            site.members == 0 ? version : std::min(site.lowest, version);
        site.highest = std::max(site.highest, version);
        ++site.members;
        if (version != newest)
            site.behind.push_back(member.value("id", ""));
    }
    return sites;
}

void print_site(const std::string& name,
                const site_status& site,
                const console& output)
{
    output.out << "site " << name << ": version " << site.lowest;
    if (site.highest != site.lowest)
        output.out << " to " << site.highest;
    output.out << ", " << site.members << " members, " << site.behind.size()
               << " behind";
    const char* separator = ": ";
    for (const std::string& member : site.behind) {
        output.out << separator << member;
        separator = ", ";
    }
    output.out << "\n";
}

json encode(const std::map<std::string, site_status>& sites)
{
    json sites_json = json::array();
    for (const auto& [name, site] : sites) {
        sites_json.push_back({{"site", name},
                              {"lowest_version", site.lowest},
                              {"highest_version", site.highest},
                              {"members", site.members},
                              {"behind", site.behind}});
    }
    return sites_json;
}

/// Returns the number of calls that run at the upstreams of \p domain, as each
/// daemon there reports it, and counts the daemons that did not answer.
json collect_running(const json& members,
                     const std::string& domain,
                     const options& flags)
{
    std::uint64_t running = 0;
    std::vector<std::string> silent;
    for (const json& member : members) {
        if (!is_present(member) || member.value("domain", "") != domain)
            continue;
        options of_member = flags;
        of_member.daemon = member.value("operators", "");
        const auto response = request_json(of_member, "GET", "/v1/domains");
        if (response)
            running += response.value().value("running", 0ULL);
        else
            silent.push_back(member.value("id", ""));
    }
    return {{"running", running}, {"silent", silent}};
}

/// Returns the emptied domains that the daemon knows, with what still runs in
/// them. A daemon of an older version knows none. A malformed response is
/// reported and counts as one without emptied domains.
json collect_emptied(const json& members,
                     const options& flags,
                     const console& output)
{
    const auto response = request_json(flags, "GET", "/v1/domains");
    if (!response) {
        if (response.error().kind == support::error_kind::malformed_message)
            report_error(response.error(), output);
        return json::array();
    }
    json emptied = response.value().value("emptied", json::array());
    for (json& domain : emptied)
        domain.update(
            collect_running(members, domain.value("domain", ""), flags));
    return emptied;
}

void print_emptied(const json& domain, const console& output)
{
    constexpr double ms_per_s = 1000;
    output.out << "domain " << domain.value("domain", "") << ": emptied for "
               << static_cast<long long>(domain.value("for_ms", 0.0) / ms_per_s)
               << " s, " << domain.value("running", 0ULL)
               << " calls still run there";
    const json silent = domain.value("silent", json::array());
    if (!silent.empty())
        output.out << " (" << silent.size() << " daemons did not answer)";
    output.out << "\n";
}

exit_code status(const options& flags, const console& output)
{
    const auto response = request_json(flags, "GET", "/v1/members");
    if (!response)
        return report_error(response.error(), output);
    const auto sites = collect_sites(response.value());
    const std::uint64_t newest = newest_version(response.value());
    const json emptied = collect_emptied(response.value(), flags, output);
    if (flags.json) {
        output.out << json{{"version", newest},
                           {"sites", encode(sites)},
                           {"emptied", emptied}}
                          .dump(2)
                   << "\n";
        return exit_code::done;
    }
    output.out << "configuration version " << newest << "\n";
    for (const auto& [name, site] : sites)
        print_site(name, site, output);
    for (const json& domain : emptied)
        print_emptied(domain, output);
    return exit_code::done;
}

exit_code members(const options& flags, const console& output)
{
    const auto response = request_json(flags, "GET", "/v1/members");
    if (!response)
        return report_error(response.error(), output);
    if (flags.json) {
        output.out << response.value().dump(2) << "\n";
        return exit_code::done;
    }
    for (const json& member : response.value()) {
        output.out << member.value("id", "") << "  "
                   << member.value("state", "")
                   << "  site=" << member.value("domain", "")
                   << "  service=" << member.value("service", "")
                   << "  configuration=" << version_of(member) << "\n";
    }
    return exit_code::done;
}

json encode(const config::effective_value& value)
{
    return {{"path", value.path},
            {"value", value.value},
            {"min", value.min},
            {"max", value.max},
            {"mover", value.mover},
            {"origin",
             {{"document", value.origin.document},
              {"pointer", value.origin.pointer}}}};
}

void print_value(const config::effective_value& value,
                 bool origin,
                 const console& output)
{
    output.out << value.path << " = " << value.value.dump();
    if (origin) {
        output.out << "  from " << value.origin.document;
        if (!value.origin.pointer.empty())
            output.out << " " << value.origin.pointer;
        output.out << "  bounds " << value.min.dump() << " to "
                   << value.max.dump() << "  moved by " << value.mover;
    }
    output.out << "\n";
}

exit_code show(const options& flags, const console& output)
{
    if (flags.site.empty()) {
        output.err
            << "galenarudderctl: --site is missing; remedy: name a site that "
               "galenarudderctl status lists\n";
        return exit_code::usage;
    }
    const auto in_force = fetch_document_in_force(flags);
    if (!in_force)
        return report_error(in_force.error(), output);
    const auto values = config::effective_values(in_force.value(), flags.site);
    const auto change = latest_change(in_force.value());
    if (flags.json) {
        json values_json = json::array();
        for (const config::effective_value& value : values)
            values_json.push_back(encode(value));
        output.out << json{{"site", flags.site},
                           {"change", operators::encode(change)},
                           {"values", values_json}}
                          .dump(2)
                   << "\n";
        return exit_code::done;
    }
    const bool has_overlay =
        config::find_overlay(in_force.value(), flags.site) != nullptr;
    output.out << "site " << flags.site << ", "
               << (has_overlay ? "base and overlay" : "base, no overlay")
               << ", " << describe(change) << "\n";
    for (const config::effective_value& value : values)
        print_value(value, flags.origin, output);
    return exit_code::done;
}

exit_code decisions(const options& flags, const console& output)
{
    const auto response = request_json(flags, "GET", "/v1/decisions");
    if (!response)
        return report_error(response.error(), output);
    if (flags.json) {
        output.out << response.value().dump(2) << "\n";
        return exit_code::done;
    }
    for (const json& count : response.value().value("counts", json::array())) {
        output.out << count.value("automation", "") << " "
                   << count.value("effect", "") << ": "
                   << count.value("count", 0) << "\n";
    }
    for (const json& decision_json :
         response.value().value("latest", json::array())) {
        output.out << decision_json.value("age_ms", 0.0) << " ms ago  "
                   << decision_json.value("automation", "") << " "
                   << decision_json.value("effect", "") << "  "
                   << decision_json.value("subject", "") << ": "
                   << decision_json.value("reason", "") << "\n";
    }
    return exit_code::done;
}

exit_code drain(const options& flags, const console& output)
{
    const auto response = request_json(flags, "POST", "/v1/drain");
    if (!response)
        return report_error(response.error(), output);
    output.out << "draining " << flags.daemon << "\n";
    return exit_code::done;
}

exit_code snapshot(const options& flags, const console& output)
{
    const auto text =
        request_text(flags.daemon, "GET", "/v1/snapshot", flags.timeout);
    if (!text)
        return report_error(text.error(), output);
    output.out << text.value();
    return exit_code::done;
}

constexpr std::array<command, 11> command_table = {{
    {"check", "finds errors, parts without effect and changes in FILE...",
     check_files},
    {"validate", "checks the base document and overlays together",
     validate_files},
    {"diff", "compares the files with the configuration in force", diff_files},
    {"apply", "checks the files and puts them in force", apply_files},
    {"show", "settings in force at a site, with --origin", show},
    {"status", "version in force at every site, members behind", status},
    {"history", "latest accepted changes; --change looks one up", show_history},
    {"decisions", "automated decisions of one daemon", decisions},
    {"members", "every member with its state", members},
    {"drain", "tells a daemon to accept no new calls", drain},
    {"snapshot", "one daemon's shared state, for replay", snapshot},
}};

} // namespace

std::span<const command> commands()
{
    return command_table;
}

exit_code
run_command(std::string_view name, const options& flags, const console& output)
{
    for (const command& candidate : command_table) {
        if (candidate.name == name)
            return candidate.run(flags, output);
    }
    output.err << "galenarudderctl: command \"" << name
               << "\" does not exist; remedy: run galenarudderctl --help\n";
    return exit_code::usage;
}

} // namespace galenarudder::operators
