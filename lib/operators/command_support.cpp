// Requests to a daemon's operator port, and the exit code of each kind of
// error.
#include "command_support.hpp"

#include "galenarudder/config/schema.hpp"
#include "galenarudder/http/client.hpp"
#include "galenarudder/support/json.hpp"

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

namespace {

/// Types of the fields that the commands read. Daemons of other versions may
/// leave out fields or send further ones.
constexpr const char* members_schema = R"({
  "type": "array",
  "items": {
    "type": "object",
    "properties": {
      "id": {"type": "string"}, "state": {"type": "string"},
      "domain": {"type": "string"}, "service": {"type": "string"},
      "operators": {"type": "string"},
      "slots": {"type": "integer", "minimum": 0, "maximum": 4294967295},
      "configuration_version": {"type": "integer", "minimum": 0}
    }
  }
})";

constexpr const char* domains_schema = R"({
  "type": "object",
  "properties": {
    "running": {"type": "integer", "minimum": 0},
    "emptied": {
      "type": "array",
      "items": {
        "type": "object",
        "properties": {
          "domain": {"type": "string"},
          "for_ms": {"type": "number", "minimum": 0, "maximum": 1e15}
        }
      }
    }
  }
})";

constexpr const char* decisions_schema = R"({
  "type": "object",
  "properties": {
    "counts": {
      "type": "array",
      "items": {
        "type": "object",
        "properties": {
          "automation": {"type": "string"}, "effect": {"type": "string"},
          "count": {"type": "integer"}
        }
      }
    },
    "latest": {
      "type": "array",
      "items": {
        "type": "object",
        "properties": {
          "automation": {"type": "string"}, "effect": {"type": "string"},
          "subject": {"type": "string"}, "reason": {"type": "string"},
          "age_ms": {"type": "number"}
        }
      }
    }
  }
})";

constexpr const char* loads_schema = R"({
  "type": "array",
  "items": {
    "type": "object",
    "properties": {
      "member": {"type": "string"}, "service_ms": {"type": "number"}
    }
  }
})";

struct response_schema
{
    std::string_view path;
    const char* schema;
};

constexpr response_schema response_schemas[] = {
    {"/v1/members", members_schema},
    {"/v1/domains", domains_schema},
    {"/v1/decisions", decisions_schema},
};

constexpr const char* response_remedy =
    "check that --daemon names an operator port of this version";

support::result<void>
check_part(const json& part, const std::string& source, const char* schema)
{
    const auto valid = config::check_schema(part, source, schema);
    if (valid)
        return boost::outcome_v2::success();
    return error{error_kind::malformed_message, valid.error().message,
                 response_remedy};
}

/// Returns the second line of a snapshot.
std::string_view state_line(std::string_view snapshot)
{
    const std::size_t line_end = snapshot.find('\n');
    return line_end == std::string_view::npos ? std::string_view()
                                              : snapshot.substr(line_end + 1);
}

} // namespace

support::result<json> request_json(const options& flags,
                                   const std::string& method,
                                   const std::string& path)
{
    BOOST_OUTCOME_TRY(const std::string text,
                      request_text(flags.daemon, method, path, flags.timeout));
    const std::string source =
        "the response of " + flags.daemon + " to " + path;
    const auto parsed = support::parse_json(text);
    if (!parsed) {
        return error{error_kind::malformed_message,
                     source + ": " + describe(parsed.error()), response_remedy};
    }
    for (const response_schema& row : response_schemas) {
        if (row.path != path)
            continue;
        BOOST_OUTCOME_TRYV(check_part(parsed.value(), source, row.schema));
    }
    return parsed.value();
}

support::result<snapshot_parts> request_snapshot(const options& flags)
{
    BOOST_OUTCOME_TRY(
        const std::string text,
        request_text(flags.daemon, "GET", "/v1/snapshot", flags.timeout));
    const std::string source = "the snapshot of " + flags.daemon;
    BOOST_OUTCOME_TRY(const json line,
                      support::parse_json(state_line(text), source + ": state",
                                          error_kind::malformed_message));
    const json state =
        line.is_object() ? line.value("snapshot", json()) : json();
    snapshot_parts parts;
    if (!state.is_object())
        return parts;
    parts.members = state.value("members", json::array());
    parts.loads = state.value("load", json::array());
    BOOST_OUTCOME_TRYV(
        check_part(parts.members, source + ": members", members_schema));
    BOOST_OUTCOME_TRYV(
        check_part(parts.loads, source + ": load", loads_schema));
    return parts;
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
