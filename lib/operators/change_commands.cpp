// The commands validate, diff, apply and history.
#include "command_support.hpp"

#include "galenarudder/operators/change.hpp"
#include "galenarudder/operators/configuration_push.hpp"
#include "galenarudder/operators/file_set.hpp"
#include "galenarudder/operators/http_configuration_store.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <ostream>
#include <random>
#include <thread>

namespace galenarudder::operators {

using nlohmann::json;

namespace {

constexpr support::milliseconds initial_pause{100};
constexpr support::milliseconds max_pause{1000};

json encode(const std::vector<difference>& differences)
{
    json differences_json = json::array();
    for (const difference& changed_value : differences) {
        differences_json.push_back({{"document", changed_value.document},
                                    {"pointer", changed_value.pointer},
                                    {"before", changed_value.before},
                                    {"after", changed_value.after}});
    }
    return differences_json;
}

json encode(const std::vector<file_error>& errors)
{
    json errors_json = json::array();
    for (const file_error& failure : errors) {
        errors_json.push_back({{"file", failure.file},
                               {"line", failure.line},
                               {"pointer", failure.pointer},
                               {"message", failure.message},
                               {"remedy", failure.remedy}});
    }
    return errors_json;
}

/// Prints every error in the files; returns whether there are none.
bool report_file_errors(const file_set& files,
                        const options& flags,
                        const console& output)
{
    if (flags.json) {
        const json report = {{"valid", files.errors.empty()},
                             {"faults", encode(files.errors)}};
        if (!files.errors.empty())
            output.out << report.dump(2) << "\n";
        return files.errors.empty();
    }
    for (const file_error& failure : files.errors)
        output.err << describe(failure) << "\n";
    return files.errors.empty();
}

std::string new_change_id()
{
    std::random_device device;
    const std::uint64_t high = device();
    return std::to_string((high << 32) | device());
}

std::string utc_now()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    char text[sizeof "2026-12-04T11:20:00Z"];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

/// Returns a function that sleeps with exponential backoff and jitter, and
/// returns false once \p total has passed.
retry_wait wait_with_backoff(support::milliseconds total)
{
    const auto deadline = support::monotonic_clock::now() + total;
    return [deadline, pause = initial_pause,
            random = std::minstd_rand(std::random_device{}())]() mutable {
        const auto now = support::monotonic_clock::now();
        if (now >= deadline)
            return false;
        const auto jitter = static_cast<long>(random() % pause.count());
        std::this_thread::sleep_for(pause / 2 +
                                    support::milliseconds(jitter / 2));
        pause = std::min(pause * 2, max_pause);
        return true;
    };
}

support::result<std::vector<receiver>> fetch_receivers(const options& flags)
{
    BOOST_OUTCOME_TRY(const json members_json,
                      request_json(flags, "GET", "/v1/members"));
    std::vector<receiver> receivers;
    for (const json& member : members_json) {
        auto operator_address =
            config::parse_endpoint(member.value("operators", ""));
        const std::string state = member.value("state", "");
        if (!operator_address || state == "dead" || state == "left")
            continue;
        receivers.push_back(
            {member.value("domain", ""), std::move(operator_address).value()});
    }
    return receivers;
}

/// Returns the newest version in force at any member that the daemon knows; 0
/// if the daemon cannot be reached.
std::uint64_t fetch_fleet_version(const options& flags)
{
    const auto response = request_json(flags, "GET", "/v1/members");
    std::uint64_t newest = 0;
    if (!response || !response.value().is_array())
        return newest;
    for (const json& member : response.value()) {
        newest = std::max<std::uint64_t>(
            newest, member.value("configuration_version", 0ULL));
    }
    return newest;
}

/// Pushes the document to daemons; returns a line that says to how many.
std::string push_to_daemons(const config::document& accepted,
                            const options& flags)
{
    if (flags.settings.empty()) {
        return "not handed to daemons: no keys; they read it from the store "
               "(pass --settings FILE to hand it to them)";
    }
    const auto settings = config::load_settings(flags.settings);
    const auto members = fetch_receivers(flags);
    if (!settings || !members) {
        return "not handed to daemons: " +
               support::describe(settings ? members.error() : settings.error());
    }
    const auto receivers = select_receivers(members.value());
    const std::size_t accepted_count = push_configuration(
        accepted, receivers, settings.value().keys.front(), flags.timeout);
    return "handed to " + std::to_string(accepted_count) + " of " +
           std::to_string(receivers.size()) + " daemons";
}

struct verdict_row
{
    change_verdict verdict;
    const char* name;
    exit_code code;
    void (*explain)(const change_outcome& outcome,
                    const change_request& request,
                    const console& output);
};

void explain_accepted(const change_outcome& outcome,
                      const change_request&,
                      const console& output)
{
    output.out << "accepted version " << outcome.stored.version << " (change "
               << outcome.stored.change_id << ")\n";
    if (outcome.replaced_by)
        output.out << "replaced since by " << describe(*outcome.replaced_by)
                   << "\n";
}

void explain_already_in_force(const change_outcome& outcome,
                              const change_request&,
                              const console& output)
{
    output.out << "in force already: "
               << describe(latest_change(outcome.stored)) << "\n";
}

void explain_conflict(const change_outcome& outcome,
                      const change_request&,
                      const console& output)
{
    output.err << "rejected: another operator's change was applied first";
    if (outcome.stored.version == 0) {
        output.err << "; it cannot be read at the moment, see galenarudderctl "
                      "history\n";
        return;
    }
    output.err << ": " << describe(latest_change(outcome.stored)) << "\n";
    for (const difference& changed_value : outcome.differences)
        output.err << "  " << describe(changed_value) << "\n";
    output.err << "remedy: copy these values into the files or keep your own, "
                  "then apply with --made_from="
               << outcome.stored.version << "\n";
}

void explain_not_written(const change_outcome& outcome,
                         const change_request&,
                         const console& output)
{
    output.err << "rejected: nothing was written: " << outcome.reason << "\n";
}

void explain_not_known(const change_outcome& outcome,
                       const change_request& request,
                       const console& output)
{
    output.err << "it is not known whether the change was accepted: "
               << outcome.reason
               << "\nto find out, run: galenarudderctl history --change="
               << request.change_id
               << "\napplying the same files again is harmless\n";
}

constexpr verdict_row verdict_rows[] = {
    {change_verdict::accepted, "accepted", exit_code::done, explain_accepted},
    {change_verdict::already_in_force, "already-in-force", exit_code::done,
     explain_already_in_force},
    {change_verdict::conflict, "conflict", exit_code::conflict,
     explain_conflict},
    {change_verdict::not_written, "not-written", exit_code::unreachable,
     explain_not_written},
    {change_verdict::not_known, "not-known", exit_code::not_known,
     explain_not_known},
};

const verdict_row& row_for(change_verdict verdict)
{
    for (const verdict_row& row : verdict_rows) {
        if (row.verdict == verdict)
            return row;
    }
    return verdict_rows[std::size(verdict_rows) - 1];
}

exit_code report(const change_outcome& outcome,
                 const change_request& request,
                 const std::string& push_summary,
                 const options& flags,
                 const console& output)
{
    const verdict_row& row = row_for(outcome.verdict);
    if (!flags.json) {
        row.explain(outcome, request, output);
        if (!push_summary.empty())
            output.out << push_summary << "\n";
        return row.code;
    }
    json body = {{"verdict", row.name},
                 {"change_id", request.change_id},
                 {"stored", operators::encode(latest_change(outcome.stored))},
                 {"differences", encode(outcome.differences)},
                 {"reason", outcome.reason},
                 {"handed_over", push_summary}};
    if (outcome.replaced_by)
        body["replaced_by"] = operators::encode(*outcome.replaced_by);
    output.out << body.dump(2) << "\n";
    return row.code;
}

change_request make_request(config::document files, const options& flags)
{
    change_request request;
    request.files = std::move(files);
    request.change_id = new_change_id();
    request.author = flags.author;
    request.note = flags.note;
    request.time = utc_now();
    request.fleet_version = fetch_fleet_version(flags);
    if (flags.made_from >= 0)
        request.made_from = static_cast<std::uint64_t>(flags.made_from);
    return request;
}

/// Returns the document in the store, or the one in force at the daemon if the
/// store cannot be read or holds none.
support::result<config::document> fetch_newest_document(const options& flags)
{
    const auto address = store_address(flags);
    if (!address)
        return fetch_document_in_force(flags);
    http_configuration_store store(address.value(), flags.timeout);
    const auto stored_value = store.read();
    if (!stored_value || stored_value.value().index == 0)
        return fetch_document_in_force(flags);
    return config::parse_document(stored_value.value().text);
}

exit_code report_change(const config::document& newest,
                        const options& flags,
                        const console& output)
{
    const change_state state = find_change(newest, flags.change);
    if (state == change_state::not_found) {
        output.out
            << "change " << flags.change
            << " is not among the last accepted changes; applying the same "
               "files again is harmless\n";
        return exit_code::conflict;
    }
    const bool was_replaced = state == change_state::accepted_and_replaced;
    output.out << "change " << flags.change << " was accepted"
               << (was_replaced ? " and has been replaced since\n"
                                : " and is the latest\n");
    return exit_code::done;
}

} // namespace

exit_code validate_files(const options& flags, const console& output)
{
    const file_set files = read_file_set(flags.base, flags.overlays);
    if (!report_file_errors(files, flags, output))
        return exit_code::invalid;
    if (flags.json)
        output.out << json{{"valid", true}, {"faults", json::array()}}.dump(2)
                   << "\n";
    else
        output.out << "valid: base and " << files.full_document.overlays.size()
                   << " overlays\n";
    return exit_code::done;
}

exit_code diff_files(const options& flags, const console& output)
{
    const file_set files = read_file_set(flags.base, flags.overlays);
    if (!report_file_errors(files, flags, output))
        return exit_code::invalid;
    const auto in_force = fetch_document_in_force(flags);
    if (!in_force)
        return report_error(in_force.error(), output);
    const auto differences =
        find_differences(in_force.value(), files.full_document);
    if (flags.json) {
        output.out << json{{"version", in_force.value().version},
                           {"differences", encode(differences)}}
                          .dump(2)
                   << "\n";
    } else {
        output.out << "against " << describe(latest_change(in_force.value()))
                   << "\n";
        for (const difference& changed_value : differences)
            output.out << "  " << describe(changed_value) << "\n";
    }
    return differences.empty() ? exit_code::done : exit_code::differs;
}

exit_code apply_files(const options& flags, const console& output)
{
    file_set files = read_file_set(flags.base, flags.overlays);
    if (!report_file_errors(files, flags, output))
        return exit_code::invalid;
    const auto address = store_address(flags);
    if (!address)
        return report_error(address.error(), output);
    http_configuration_store store(address.value(), flags.timeout);
    const change_request request =
        make_request(std::move(files.full_document), flags);
    const change_outcome outcome =
        apply_change(request, store, wait_with_backoff(flags.patience));
    const bool is_in_force =
        outcome.verdict == change_verdict::accepted ||
        outcome.verdict == change_verdict::already_in_force;
    const std::string push_summary =
        is_in_force ? push_to_daemons(outcome.stored, flags) : std::string();
    return report(outcome, request, push_summary, flags, output);
}

exit_code show_history(const options& flags, const console& output)
{
    const auto newest = fetch_newest_document(flags);
    if (!newest)
        return report_error(newest.error(), output);
    if (!flags.change.empty())
        return report_change(newest.value(), flags, output);
    std::vector<config::change_record> changes = {
        latest_change(newest.value())};
    for (const config::change_record& change : newest.value().history)
        changes.push_back(change);
    json changes_json = json::array();
    for (const config::change_record& change : changes) {
        changes_json.push_back(operators::encode(change));
        if (!flags.json)
            output.out << describe(change) << "\n";
    }
    if (flags.json)
        output.out << changes_json.dump(2) << "\n";
    return exit_code::done;
}

} // namespace galenarudder::operators
