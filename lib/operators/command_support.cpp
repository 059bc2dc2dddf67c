// Requests to a daemon's operator port, and the exit code of each kind of
// error.
#include "command_support.hpp"

#include "galenarudder/http/client.hpp"

#include <ostream>

namespace galenarudder::operators {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr unsigned first_error_status = 400;

struct exit_code_row
{
    error_kind kind;
    exit_code code;
};

constexpr exit_code_row exit_code_rows[] = {
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

exit_code report_error(const error& failure, const console& output)
{
    output.err << "galenarudderctl: " << support::describe(failure) << "\n";
    for (const exit_code_row& row : exit_code_rows) {
        if (row.kind == failure.kind)
            return row.code;
    }
    return exit_code::failed;
}

support::result<std::string> request_text(const std::string& address,
                                          const std::string& method,
                                          const std::string& path,
                                          support::milliseconds timeout)
{
    BOOST_OUTCOME_TRY(const auto daemon_endpoint,
                      config::parse_endpoint(address));
    BOOST_OUTCOME_TRY(
        auto http_response,
        http::fetch_blocking(daemon_endpoint, {method, path, "", {}}, timeout));
    if (http_response.status < first_error_status)
        return std::move(http_response.body);
    return error{error_kind::not_found,
                 address + " returned status " +
                     std::to_string(http_response.status) + " for " + path,
                 "check that --daemon names an operator port and that a "
                 "configuration is in force"};
}

support::result<json> request_json(const options& flags,
                                   const std::string& method,
                                   const std::string& path)
{
    BOOST_OUTCOME_TRY(const std::string text,
                      request_text(flags.daemon, method, path, flags.timeout));
    json parsed_json = json::parse(text, nullptr, false);
    if (!parsed_json.is_discarded())
        return parsed_json;
    return error{error_kind::malformed_message,
                 "the daemon's response is not JSON",
                 "check that --daemon names an operator port"};
}

support::result<config::document> fetch_document_in_force(const options& flags)
{
    BOOST_OUTCOME_TRY(
        const std::string text,
        request_text(flags.daemon, "GET", "/v1/configuration", flags.timeout));
    return config::parse_document(text);
}

support::result<config::endpoint> store_address(const options& flags)
{
    if (!flags.store.empty())
        return config::parse_endpoint(flags.store);
    if (flags.settings.empty()) {
        return error{error_kind::not_found, "the store's address was not given",
                     "give --store ADDRESS:PORT or --settings FILE"};
    }
    BOOST_OUTCOME_TRY(const auto settings,
                      config::load_settings(flags.settings));
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
