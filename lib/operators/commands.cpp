// status, members, show, decisions, drain, snapshot, and the table of all.
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

/// What is in force at one site, as its members state it.
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

std::uint64_t version_at(const json& member)
{
    return member.value("configuration_version", 0ULL);
}

std::uint64_t newest_of(const json& members)
{
    std::uint64_t newest = 0;
    for (const json& member : members) {
        if (is_present(member))
            newest = std::max(newest, version_at(member));
    }
    return newest;
}

std::map<std::string, site_status> sites_of(const json& members)
{
    const std::uint64_t newest = newest_of(members);
    std::map<std::string, site_status> sites;
    for (const json& member : members) {
        if (!is_present(member))
            continue;
        site_status& site = sites[member.value("domain", "")];
        const std::uint64_t version = version_at(member);
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
                const console& to)
{
    to.out << "site " << name << ": version " << site.lowest;
    if (site.highest != site.lowest)
        to.out << " to " << site.highest;
    to.out << ", " << site.members << " members, " << site.behind.size()
           << " behind";
    const char* separator = ": ";
    for (const std::string& member : site.behind) {
        to.out << separator << member;
        separator = ", ";
    }
    to.out << "\n";
}

json encode(const std::map<std::string, site_status>& sites)
{
    json list = json::array();
    for (const auto& [name, site] : sites) {
        list.push_back({{"site", name},
                        {"lowest_version", site.lowest},
                        {"highest_version", site.highest},
                        {"members", site.members},
                        {"behind", site.behind}});
    }
    return list;
}

exit_code status(const options& chosen, const console& to)
{
    const auto members = ask(chosen, "GET", "/v1/members");
    if (!members)
        return fail(members.error(), to);
    const auto sites = sites_of(members.value());
    const std::uint64_t newest = newest_of(members.value());
    if (chosen.json) {
        to.out << json{{"version", newest}, {"sites", encode(sites)}}.dump(2)
               << "\n";
        return exit_code::done;
    }
    to.out << "configuration version " << newest << "\n";
    for (const auto& [name, site] : sites)
        print_site(name, site, to);
    return exit_code::done;
}

exit_code members(const options& chosen, const console& to)
{
    const auto list = ask(chosen, "GET", "/v1/members");
    if (!list)
        return fail(list.error(), to);
    if (chosen.json) {
        to.out << list.value().dump(2) << "\n";
        return exit_code::done;
    }
    for (const json& member : list.value()) {
        to.out << member.value("id", "") << "  " << member.value("state", "")
               << "  site=" << member.value("domain", "")
               << "  service=" << member.value("service", "")
               << "  configuration=" << version_at(member) << "\n";
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
                 const console& to)
{
    to.out << value.path << " = " << value.value.dump();
    if (origin) {
        to.out << "  from " << value.origin.document;
        if (!value.origin.pointer.empty())
            to.out << " " << value.origin.pointer;
        to.out << "  bounds " << value.min.dump() << " to " << value.max.dump()
               << "  moved by " << value.mover;
    }
    to.out << "\n";
}

exit_code show(const options& chosen, const console& to)
{
    if (chosen.site.empty()) {
        to.err << "galenarudderctl: --site is missing; remedy: name a site as "
                  "galenarudderctl status lists them\n";
        return exit_code::usage;
    }
    const auto in_force = document_in_force(chosen);
    if (!in_force)
        return fail(in_force.error(), to);
    const auto values = config::effective_values(in_force.value(), chosen.site);
    const auto change = change_of(in_force.value());
    if (chosen.json) {
        json list = json::array();
        for (const config::effective_value& value : values)
            list.push_back(encode(value));
        to.out << json{{"site", chosen.site},
                       {"change", operators::encode(change)},
                       {"values", list}}
                      .dump(2)
               << "\n";
        return exit_code::done;
    }
    const bool overlaid =
        config::find_overlay(in_force.value(), chosen.site) != nullptr;
    to.out << "site " << chosen.site << ", "
           << (overlaid ? "base and overlay" : "base, no overlay") << ", "
           << describe(change) << "\n";
    for (const config::effective_value& value : values)
        print_value(value, chosen.origin, to);
    return exit_code::done;
}

exit_code decisions(const options& chosen, const console& to)
{
    const auto answer = ask(chosen, "GET", "/v1/decisions");
    if (!answer)
        return fail(answer.error(), to);
    if (chosen.json) {
        to.out << answer.value().dump(2) << "\n";
        return exit_code::done;
    }
    for (const json& count : answer.value().value("counts", json::array())) {
        to.out << count.value("automation", "") << " "
               << count.value("effect", "") << ": " << count.value("count", 0)
               << "\n";
    }
    for (const json& made : answer.value().value("latest", json::array())) {
        to.out << made.value("age_ms", 0.0) << " ms ago  "
               << made.value("automation", "") << " "
               << made.value("effect", "") << "  " << made.value("subject", "")
               << ": " << made.value("reason", "") << "\n";
    }
    return exit_code::done;
}

exit_code drain(const options& chosen, const console& to)
{
    const auto asked = ask(chosen, "POST", "/v1/drain");
    if (!asked)
        return fail(asked.error(), to);
    to.out << "draining " << chosen.daemon << "\n";
    return exit_code::done;
}

exit_code snapshot(const options& chosen, const console& to)
{
    const auto text =
        ask_text(chosen.daemon, "GET", "/v1/snapshot", chosen.timeout);
    if (!text)
        return fail(text.error(), to);
    to.out << text.value();
    return exit_code::done;
}

constexpr std::array<command, 10> known_commands = {{
    {"validate", "checks base and overlays as one set", validate_files},
    {"diff", "compares the files with what is in force", diff_files},
    {"apply", "checks the files and puts them in force", apply_files},
    {"show", "settings in force at a site, with --origin", show},
    {"status", "version in force at every site, members behind", status},
    {"history", "last accepted changes; --change finds one", show_history},
    {"decisions", "automated decisions of one daemon", decisions},
    {"members", "every member with its state", members},
    {"drain", "asks a daemon to take no new work", drain},
    {"snapshot", "one daemon's shared state, for replay", snapshot},
}};

} // namespace

std::span<const command> commands()
{
    return known_commands;
}

exit_code
run_command(std::string_view name, const options& chosen, const console& to)
{
    for (const command& known : known_commands) {
        if (known.name == name)
            return known.run(chosen, to);
    }
    to.err << "galenarudderctl: command \"" << name
           << "\" does not exist; remedy: run galenarudderctl --help\n";
    return exit_code::usage;
}

} // namespace galenarudder::operators
