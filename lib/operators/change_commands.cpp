// validate, diff, apply and history.
#include "command_support.hpp"

#include "galenarudder/operators/change.hpp"
#include "galenarudder/operators/file_set.hpp"
#include "galenarudder/operators/hand_over.hpp"
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

constexpr support::milliseconds first_pause{100};
constexpr support::milliseconds longest_pause{1000};

json encode(const std::vector<difference>& found)
{
    json list = json::array();
    for (const difference& one : found) {
        list.push_back({{"document", one.document},
                        {"pointer", one.pointer},
                        {"before", one.before},
                        {"after", one.after}});
    }
    return list;
}

json encode(const std::vector<file_fault>& faults)
{
    json list = json::array();
    for (const file_fault& fault : faults) {
        list.push_back({{"file", fault.file},
                        {"line", fault.line},
                        {"pointer", fault.pointer},
                        {"message", fault.message},
                        {"remedy", fault.remedy}});
    }
    return list;
}

/// Prints every fault of the set; returns whether there is none.
bool report_faults(const file_set& files,
                   const options& chosen,
                   const console& to)
{
    if (chosen.json) {
        const json report = {{"valid", files.faults.empty()},
                             {"faults", encode(files.faults)}};
        if (!files.faults.empty())
            to.out << report.dump(2) << "\n";
        return files.faults.empty();
    }
    for (const file_fault& fault : files.faults)
        to.err << describe(fault) << "\n";
    return files.faults.empty();
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

/// Pauses between attempts, with jitter, until \p total has passed.
patience waits_for(support::milliseconds total)
{
    const auto until = support::monotonic_clock::now() + total;
    return [until, pause = first_pause,
            random = std::minstd_rand(std::random_device{}())]() mutable {
        const auto now = support::monotonic_clock::now();
        if (now >= until)
            return false;
        const auto jitter = static_cast<long>(random() % pause.count());
        std::this_thread::sleep_for(pause / 2 +
                                    support::milliseconds(jitter / 2));
        pause = std::min(pause * 2, longest_pause);
        return true;
    };
}

support::result<std::vector<receiver>> members_of(const options& chosen)
{
    BOOST_OUTCOME_TRY(const json list, ask(chosen, "GET", "/v1/members"));
    std::vector<receiver> members;
    for (const json& entry : list) {
        auto where = config::parse_endpoint(entry.value("operators", ""));
        const std::string state = entry.value("state", "");
        if (!where || state == "dead" || state == "left")
            continue;
        members.push_back(
            {entry.value("domain", ""), std::move(where).value()});
    }
    return members;
}

/// Newest version that the daemon asked knows to be in force; 0 when it
/// cannot be asked.
std::uint64_t fleet_version(const options& chosen)
{
    const auto list = ask(chosen, "GET", "/v1/members");
    std::uint64_t newest = 0;
    if (!list || !list.value().is_array())
        return newest;
    for (const json& entry : list.value()) {
        newest = std::max<std::uint64_t>(
            newest, entry.value("configuration_version", 0ULL));
    }
    return newest;
}

/// What became of handing the document over, as printed.
std::string hand_to_daemons(const config::document& accepted,
                            const options& chosen)
{
    if (chosen.settings.empty()) {
        return "not handed to daemons: no keys; they learn it from the store "
               "(give --settings FILE)";
    }
    const auto settings = config::load_settings(chosen.settings);
    const auto members = members_of(chosen);
    if (!settings || !members) {
        return "not handed to daemons: " +
               support::describe(settings ? members.error() : settings.error());
    }
    const auto receivers = choose_receivers(members.value());
    const std::size_t taken = hand_over(
        accepted, receivers, settings.value().keys.front(), chosen.timeout);
    return "handed to " + std::to_string(taken) + " of " +
           std::to_string(receivers.size()) + " daemons";
}

struct verdict_row
{
    change_verdict verdict;
    const char* name;
    exit_code code;
    void (*explain)(const change_outcome& outcome,
                    const change_request& wanted,
                    const console& to);
};

void explain_accepted(const change_outcome& outcome,
                      const change_request&,
                      const console& to)
{
    to.out << "accepted version " << outcome.stored.version << " (change "
           << outcome.stored.change_id << ")\n";
    if (outcome.replaced_by)
        to.out << "replaced since by " << describe(*outcome.replaced_by)
               << "\n";
}

void explain_in_force(const change_outcome& outcome,
                      const change_request&,
                      const console& to)
{
    to.out << "in force already: " << describe(change_of(outcome.stored))
           << "\n";
}

void explain_conflict(const change_outcome& outcome,
                      const change_request&,
                      const console& to)
{
    to.err << "rejected: another operator's change won";
    if (outcome.stored.version == 0) {
        to.err << "; it cannot be read at present, see galenarudderctl "
                  "history\n";
        return;
    }
    to.err << ": " << describe(change_of(outcome.stored)) << "\n";
    for (const difference& one : outcome.differing)
        to.err << "  " << describe(one) << "\n";
    to.err << "remedy: take these values into the files or keep your own, "
              "then apply with --made_from="
           << outcome.stored.version << "\n";
}

void explain_not_written(const change_outcome& outcome,
                         const change_request&,
                         const console& to)
{
    to.err << "rejected: nothing was written: " << outcome.reason << "\n";
}

void explain_not_known(const change_outcome& outcome,
                       const change_request& wanted,
                       const console& to)
{
    to.err << "not known whether the change was accepted: " << outcome.reason
           << "\nfind out with: galenarudderctl history --change="
           << wanted.change_id
           << "\napplying the same files again is harmless\n";
}

constexpr verdict_row verdict_rows[] = {
    {change_verdict::accepted, "accepted", exit_code::done, explain_accepted},
    {change_verdict::already_in_force, "already-in-force", exit_code::done,
     explain_in_force},
    {change_verdict::conflict, "conflict", exit_code::conflict,
     explain_conflict},
    {change_verdict::not_written, "not-written", exit_code::unreachable,
     explain_not_written},
    {change_verdict::not_known, "not-known", exit_code::not_known,
     explain_not_known},
};

const verdict_row& row_of(change_verdict verdict)
{
    for (const verdict_row& row : verdict_rows) {
        if (row.verdict == verdict)
            return row;
    }
    return verdict_rows[std::size(verdict_rows) - 1];
}

exit_code report(const change_outcome& outcome,
                 const change_request& wanted,
                 const std::string& handed,
                 const options& chosen,
                 const console& to)
{
    const verdict_row& row = row_of(outcome.verdict);
    if (!chosen.json) {
        row.explain(outcome, wanted, to);
        if (!handed.empty())
            to.out << handed << "\n";
        return row.code;
    }
    json body = {{"verdict", row.name},
                 {"change_id", wanted.change_id},
                 {"stored", operators::encode(change_of(outcome.stored))},
                 {"differences", encode(outcome.differing)},
                 {"reason", outcome.reason},
                 {"handed_over", handed}};
    if (outcome.replaced_by)
        body["replaced_by"] = operators::encode(*outcome.replaced_by);
    to.out << body.dump(2) << "\n";
    return row.code;
}

change_request request_of(config::document files, const options& chosen)
{
    change_request wanted;
    wanted.files = std::move(files);
    wanted.change_id = new_change_id();
    wanted.author = chosen.author;
    wanted.note = chosen.note;
    wanted.time = utc_now();
    wanted.fleet_version = fleet_version(chosen);
    if (chosen.made_from >= 0)
        wanted.made_from = static_cast<std::uint64_t>(chosen.made_from);
    return wanted;
}

/// The document in the store, or what a daemon has in force while the store
/// cannot be read.
support::result<config::document> newest_document(const options& chosen)
{
    const auto where = store_address(chosen);
    if (!where)
        return document_in_force(chosen);
    http_configuration_store store(where.value(), chosen.timeout);
    const auto raw = store.read();
    if (!raw || raw.value().index == 0)
        return document_in_force(chosen);
    return config::parse_document(raw.value().text);
}

exit_code report_change(const config::document& newest,
                        const options& chosen,
                        const console& to)
{
    const change_state found = find_change(newest, chosen.change);
    if (found == change_state::not_found) {
        to.out << "change " << chosen.change
               << " is not among the last accepted changes; applying the same "
                  "files again is harmless\n";
        return exit_code::conflict;
    }
    const bool replaced = found == change_state::accepted_and_replaced;
    to.out << "change " << chosen.change << " was accepted"
           << (replaced ? " and has been replaced since\n"
                        : " and is the latest\n");
    return exit_code::done;
}

} // namespace

exit_code validate_files(const options& chosen, const console& to)
{
    const file_set files = read_file_set(chosen.base, chosen.overlays);
    if (!report_faults(files, chosen, to))
        return exit_code::invalid;
    if (chosen.json)
        to.out << json{{"valid", true}, {"faults", json::array()}}.dump(2)
               << "\n";
    else
        to.out << "valid: base and " << files.whole.overlays.size()
               << " overlays\n";
    return exit_code::done;
}

exit_code diff_files(const options& chosen, const console& to)
{
    const file_set files = read_file_set(chosen.base, chosen.overlays);
    if (!report_faults(files, chosen, to))
        return exit_code::invalid;
    const auto in_force = document_in_force(chosen);
    if (!in_force)
        return fail(in_force.error(), to);
    const auto found = differences(in_force.value(), files.whole);
    if (chosen.json) {
        to.out << json{{"version", in_force.value().version},
                       {"differences", encode(found)}}
                      .dump(2)
               << "\n";
    } else {
        to.out << "against " << describe(change_of(in_force.value())) << "\n";
        for (const difference& one : found)
            to.out << "  " << describe(one) << "\n";
    }
    return found.empty() ? exit_code::done : exit_code::differs;
}

exit_code apply_files(const options& chosen, const console& to)
{
    file_set files = read_file_set(chosen.base, chosen.overlays);
    if (!report_faults(files, chosen, to))
        return exit_code::invalid;
    const auto where = store_address(chosen);
    if (!where)
        return fail(where.error(), to);
    http_configuration_store store(where.value(), chosen.timeout);
    const change_request wanted = request_of(std::move(files.whole), chosen);
    const change_outcome outcome =
        apply_change(wanted, store, waits_for(chosen.patience));
    const bool stands = outcome.verdict == change_verdict::accepted ||
                        outcome.verdict == change_verdict::already_in_force;
    const std::string handed =
        stands ? hand_to_daemons(outcome.stored, chosen) : std::string();
    return report(outcome, wanted, handed, chosen, to);
}

exit_code show_history(const options& chosen, const console& to)
{
    const auto newest = newest_document(chosen);
    if (!newest)
        return fail(newest.error(), to);
    if (!chosen.change.empty())
        return report_change(newest.value(), chosen, to);
    std::vector<config::change_record> changes = {change_of(newest.value())};
    for (const config::change_record& change : newest.value().history)
        changes.push_back(change);
    json list = json::array();
    for (const config::change_record& change : changes) {
        list.push_back(operators::encode(change));
        if (!chosen.json)
            to.out << describe(change) << "\n";
    }
    if (chosen.json)
        to.out << list.dump(2) << "\n";
    return exit_code::done;
}

} // namespace galenarudder::operators
