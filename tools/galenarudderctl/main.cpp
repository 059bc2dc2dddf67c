// The operators' tool.
#include "galenarudder/config/document.hpp"
#include "galenarudder/config/settings.hpp"
#include "galenarudder/http/client.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <iostream>
#include <map>
#include <random>

DEFINE_string(daemon,
              "127.0.0.1:7105",
              "address of any daemon's operator port");
DEFINE_string(store, "", "address of the platform's store, for apply");
DEFINE_string(base, "base.json", "base document, for apply");
DEFINE_string(overlays, "", "folder of overlays named SITE.json, for apply");
DEFINE_string(author, "", "who makes the change, for apply");
DEFINE_string(note, "", "why the change is made, for apply");
DEFINE_string(output, "text", "text or json");

namespace galenarudder {

namespace {

using nlohmann::json;

enum exit_code
{
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_conflict = 5
};

constexpr support::milliseconds request_timeout{3000};

int fail(const support::error& failure)
{
    std::cerr << "galenarudderctl: " << support::describe(failure) << "\n";
    return failure.kind == support::error_kind::conflict ? exit_conflict
                                                         : exit_failed;
}

support::result<json> ask(const std::string& method, const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto where, config::parse_endpoint(FLAGS_daemon));
    BOOST_OUTCOME_TRY(
        const auto answer,
        http::fetch_blocking(where, {method, path, "", {}}, request_timeout));
    json parsed = json::parse(answer.body, nullptr, false);
    if (!parsed.is_discarded())
        return parsed;
    return support::error{support::error_kind::malformed_message,
                          "the daemon's answer is not JSON",
                          "check that --daemon names an operator port"};
}

void print_members(const json& members)
{
    for (const json& member : members) {
        std::cout << member.at("id").get<std::string>() << "  "
                  << member.at("state").get<std::string>()
                  << "  site=" << member.at("domain").get<std::string>()
                  << "  service=" << member.at("service").get<std::string>()
                  << "  configuration=" << member.at("configuration_version")
                  << "\n";
    }
}

/// Prints the version in force at each site and names members behind.
void print_status(const json& members)
{
    std::uint64_t newest = 0;
    std::map<std::string, std::vector<json>> sites;
    for (const json& member : members) {
        newest =
            std::max<std::uint64_t>(newest, member.at("configuration_version"));
        sites[member.at("domain")].push_back(member);
    }
    std::cout << "configuration version " << newest << "\n";
    for (const auto& [site, inside] : sites) {
        std::size_t behind = 0;
        for (const json& member : inside) {
            if (member.at("configuration_version") != newest)
                ++behind;
        }
        std::cout << "site " << site << ": " << inside.size() << " members, "
                  << behind << " behind\n";
    }
    print_members(members);
}

int show_members(void (*print)(const json&))
{
    auto members = ask("GET", "/v1/members");
    if (!members)
        return fail(members.error());
    if (FLAGS_output == "json")
        std::cout << members.value().dump(2) << "\n";
    else
        print(members.value());
    return exit_ok;
}

int status()
{
    return show_members(print_status);
}

int members()
{
    return show_members(print_members);
}

int drain()
{
    auto done = ask("POST", "/v1/drain");
    return done ? exit_ok : fail(done.error());
}

support::result<json> read_json(const std::string& path)
{
    BOOST_OUTCOME_TRY(const std::string text, config::read_file(path));
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_discarded())
        return parsed;
    return support::error{support::error_kind::invalid_document,
                          path + ": is not JSON", "correct the syntax"};
}

support::result<config::document> read_files()
{
    config::document whole;
    BOOST_OUTCOME_TRY(whole.base, read_json(FLAGS_base));
    if (FLAGS_overlays.empty())
        return whole;
    for (const auto& file :
         std::filesystem::directory_iterator(FLAGS_overlays)) {
        BOOST_OUTCOME_TRY(json body, read_json(file.path().string()));
        whole.overlays.push_back(
            {file.path().stem().string(), std::move(body)});
    }
    return whole;
}

std::string new_change_id()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

support::result<void> swap_configuration(config::document whole)
{
    BOOST_OUTCOME_TRY(const auto where, config::parse_endpoint(FLAGS_store));
    const std::string target = "/v1/kv/galenarudder/configuration";
    BOOST_OUTCOME_TRY(const auto current,
                      http::fetch_blocking(where,
                                           {"GET", target + "?raw", "", {}},
                                           request_timeout));
    std::string index = "0";
    if (current.status == 200) {
        BOOST_OUTCOME_TRY(const auto stored,
                          config::parse_document(current.body));
        whole.version = stored.version;
        for (const http::field& field : current.fields) {
            if (field.name == "X-Consul-Index")
                index = field.value;
        }
    }
    ++whole.version;
    whole.change_id = new_change_id();
    whole.author = FLAGS_author;
    whole.note = FLAGS_note;
    BOOST_OUTCOME_TRY(
        const auto swapped,
        http::fetch_blocking(
            where,
            {"PUT", target + "?cas=" + index, config::serialize(whole), {}},
            request_timeout));
    if (!swapped.body.starts_with("true")) {
        return support::error{support::error_kind::conflict,
                              "another operator's change was accepted first",
                              "look at it with galenarudderctl show and apply "
                              "again"};
    }
    std::cout << "accepted version " << whole.version << "\n";
    return boost::outcome_v2::success();
}

int apply()
{
    auto whole = read_files();
    if (!whole)
        return fail(whole.error());
    auto valid = config::validate(whole.value());
    if (!valid)
        return fail(valid.error());
    auto accepted = swap_configuration(std::move(whole).value());
    return accepted ? exit_ok : fail(accepted.error());
}

struct command
{
    std::string_view name;
    int (*run)();
};

constexpr command commands[] = {
    {"status", status},
    {"members", members},
    {"drain", drain},
    {"apply", apply},
};

} // namespace

int run_command(std::string_view name)
{
    for (const command& known : commands) {
        if (known.name == name)
            return known.run();
    }
    std::cerr << "galenarudderctl: command \"" << name
              << "\" does not exist; remedy: run galenarudderctl --help\n";
    return exit_usage;
}

} // namespace galenarudder

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "galenarudderctl COMMAND [flags]\n\n"
        "  status   version in force at every site, members behind\n"
        "  members  every member with its state\n"
        "  apply    checks base and overlays and puts them in force\n"
        "  drain    asks a daemon to take no new work\n\n"
        "Exit codes: 0 done, 1 failed, 2 usage, 5 another operator's change "
        "won.");
    gflags::SetVersionString(GALENARUDDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return galenarudder::run_command(argc > 1 ? argv[1] : "");
}
