// Requests to a daemon's operator port and the exit code of each error.
#include "command_support.hpp"

#include "galenarudder/http/client.hpp"

#include <ostream>

namespace galenarudder::operators {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr unsigned first_error_status = 400;

struct exit_row
{
    error_kind kind;
    exit_code code;
};

constexpr exit_row exit_rows[] = {
    {error_kind::invalid_document, exit_code::invalid},
    {error_kind::out_of_bounds, exit_code::invalid},
    {error_kind::conflict, exit_code::conflict},
    {error_kind::store_unavailable, exit_code::unreachable},
    {error_kind::store_outcome_unknown, exit_code::not_known},
    {error_kind::connection_failed, exit_code::unreachable},
    {error_kind::timeout, exit_code::unreachable},
    {error_kind::canceled, exit_code::unreachable},
};

} // namespace

exit_code fail(const error& failure, const console& to)
{
    to.err << "galenarudderctl: " << support::describe(failure) << "\n";
    for (const exit_row& row : exit_rows) {
        if (row.kind == failure.kind)
            return row.code;
    }
    return exit_code::failed;
}

support::result<std::string> ask_text(const std::string& where,
                                      const std::string& method,
                                      const std::string& path,
                                      support::milliseconds timeout)
{
    BOOST_OUTCOME_TRY(const auto address, config::parse_endpoint(where));
    BOOST_OUTCOME_TRY(
        auto answer,
        http::fetch_blocking(address, {method, path, "", {}}, timeout));
    if (answer.status < first_error_status)
        return std::move(answer.body);
    return error{error_kind::not_found,
                 where + " answered status " + std::to_string(answer.status) +
                     " to " + path,
                 "check that --daemon names an operator port and that a "
                 "configuration is in force"};
}

support::result<json>
ask(const options& chosen, const std::string& method, const std::string& path)
{
    BOOST_OUTCOME_TRY(const std::string text,
                      ask_text(chosen.daemon, method, path, chosen.timeout));
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_discarded())
        return parsed;
    return error{error_kind::malformed_message,
                 "the daemon's answer is not JSON",
                 "check that --daemon names an operator port"};
}

support::result<config::document> document_in_force(const options& chosen)
{
    BOOST_OUTCOME_TRY(
        const std::string text,
        ask_text(chosen.daemon, "GET", "/v1/configuration", chosen.timeout));
    return config::parse_document(text);
}

support::result<config::endpoint> store_address(const options& chosen)
{
    if (!chosen.store.empty())
        return config::parse_endpoint(chosen.store);
    if (chosen.settings.empty()) {
        return error{error_kind::not_found, "the store's address is not stated",
                     "give --store ADDRESS:PORT or --settings FILE"};
    }
    BOOST_OUTCOME_TRY(const auto settings,
                      config::load_settings(chosen.settings));
    return settings.store;
}

json encode(const config::change_record& change)
{
    return {{"version", change.version},
            {"change_id", change.change_id},
            {"author", change.author},
            {"note", change.note},
            {"time", change.time}};
}

std::string describe(const config::change_record& change)
{
    return "version " + std::to_string(change.version) + " by " +
           (change.author.empty() ? "(no author)" : change.author) + " at " +
           (change.time.empty() ? "(no time)" : change.time) + " (change " +
           change.change_id + "): " + change.note;
}

} // namespace galenarudder::operators
