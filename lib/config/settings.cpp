// Parsing and validation of a daemon's settings.
#include "galenarudder/config/settings.hpp"

#include "galenarudder/config/schema.hpp"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace galenarudder::config {

using support::error;
using support::error_kind;

namespace {

constexpr const char* settings_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["member", "domain", "callers", "announcements", "link",
               "gossip", "operators", "store", "keys"],
  "properties": {
    "member": {"type": "string", "minLength": 1, "maxLength": 64},
    "domain": {"type": "string", "minLength": 1, "maxLength": 64},
    "callers": {"type": "string"},
    "announcements": {"type": "string"},
    "link": {"type": "string"},
    "gossip": {"type": "string"},
    "operators": {"type": "string"},
    "store": {"type": "string"},
    "introducers": {"type": "array", "items": {"type": "string"}},
    "threads": {"type": "integer", "minimum": 1, "maximum": 64},
    "readiness": {"type": "string"},
    "upstream": {"type": "string"},
    "service": {"type": "string", "maxLength": 64},
    "heartbeat": {"type": "string"},
    "leave_notice": {"type": "string"},
    "stop_timeout": {"type": "string"},
    "join_settling": {"type": "string"},
    "store_watchers": {"type": "integer", "minimum": 1, "maximum": 100000},
    "saved_extra_attempts": {"type": "number", "minimum": 0},
    "region": {"type": "string", "maxLength": 64},
    "domain_regions": {"type": "object",
                       "additionalProperties": {"type": "string"}},
    "domain_crossing_calls_per_mb": {"type": "number", "minimum": 0},
    "region_crossing_calls_per_mb": {"type": "number", "minimum": 0},
    "organisation_window": {"type": "string"},
    "organisation_overrun_share": {"type": "number", "minimum": 0,
                                   "maximum": 1},
    "organisation_overrun_calls": {"type": "number", "minimum": 0},
    "empty_domains": {"type": "boolean"},
    "keys": {"type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "secret"],
      "properties": {
        "id": {"type": "string", "minLength": 1, "maxLength": 32},
        "secret": {"type": "string", "minLength": 16}}}}
  }
})";

support::result<void> read_endpoint(const nlohmann::json& document,
                                    const char* field,
                                    endpoint& target,
                                    std::string_view file)
{
    support::result<endpoint> parsed =
        parse_endpoint(document.at(field).get_ref<const std::string&>());
    if (!parsed) {
        error failure = std::move(parsed).error();
        failure.message =
            std::string(file) + ": /" + field + ": " + failure.message;
        return failure;
    }
    target = std::move(parsed).value();
    return boost::outcome_v2::success();
}

struct endpoint_field
{
    const char* name;
    endpoint daemon_settings::*member;
};

constexpr endpoint_field endpoint_fields[] = {
    {"callers", &daemon_settings::callers},
    {"announcements", &daemon_settings::announcements},
    {"link", &daemon_settings::link},
    {"gossip", &daemon_settings::gossip},
    {"operators", &daemon_settings::operators},
    {"store", &daemon_settings::store},
};

} // namespace

std::string to_string(const endpoint& socket_address)
{
    const bool ipv6 = socket_address.address.find(':') != std::string::npos;
    const std::string host =
        ipv6 ? "[" + socket_address.address + "]" : socket_address.address;
    return host + ":" + std::to_string(socket_address.port);
}

support::result<endpoint> parse_endpoint(std::string_view text)
{
    const error malformed{error_kind::invalid_document,
                          "\"" + std::string(text) +
                              "\" is not an IP address with a port",
                          "write it as 127.0.0.1:7100 or [::1]:7100"};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed;
    std::string_view host = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code failure;
    boost::asio::ip::make_address(std::string(host), failure);
    if (failure)
        return malformed;
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    if (status != std::errc() || end != port_text.data() + port_text.size())
        return malformed;
    return endpoint{std::string(host), port};
}

namespace {

struct optional_endpoint_field
{
    const char* name;
    std::optional<endpoint> daemon_settings::*member;
};

constexpr optional_endpoint_field optional_endpoint_fields[] = {
    {"readiness", &daemon_settings::readiness},
    {"upstream", &daemon_settings::upstream},
};

struct duration_field
{
    const char* name;
    support::milliseconds daemon_settings::*member;
};

constexpr duration_field duration_fields[] = {
    {"heartbeat", &daemon_settings::heartbeat},
    {"leave_notice", &daemon_settings::leave_notice},
    {"stop_timeout", &daemon_settings::stop_timeout},
    {"join_settling", &daemon_settings::join_settling},
    {"organisation_window", &daemon_settings::organisation_window},
};

support::result<void> read_duration(const nlohmann::json& document,
                                    const char* field,
                                    support::milliseconds& target,
                                    std::string_view file)
{
    auto parsed =
        parse_duration(document.at(field).get_ref<const std::string&>());
    if (!parsed) {
        error failure = std::move(parsed).error();
        failure.message =
            std::string(file) + ": /" + field + ": " + failure.message;
        return failure;
    }
    target = parsed.value();
    return boost::outcome_v2::success();
}

/// With several regions, crossings have a price unless the settings state one:
/// with 5 KB for request and response, a call leaves its region if that raises
/// its chance to be in time by 0.35, and its domain if by 0.05.
void apply_default_crossings(daemon_settings& settings)
{
    constexpr double default_domain_calls_per_mb = 10;
    constexpr double default_region_calls_per_mb = 70;
    const bool several_regions = std::any_of(
        settings.domain_regions.begin(), settings.domain_regions.end(),
        [&](const auto& listed) { return listed.second != settings.region; });
    const bool stated = settings.domain_crossing_calls_per_mb > 0 ||
                        settings.region_crossing_calls_per_mb > 0;
    if (!several_regions || stated)
        return;
    settings.domain_crossing_calls_per_mb = default_domain_calls_per_mb;
    settings.region_crossing_calls_per_mb = default_region_calls_per_mb;
}

/// Reads the optional settings other than threads and introducers.
support::result<void> read_optional_settings(const nlohmann::json& document,
                                             daemon_settings& settings,
                                             std::string_view file)
{
    for (const optional_endpoint_field& field : optional_endpoint_fields) {
        if (!document.contains(field.name))
            continue;
        endpoint parsed_endpoint;
        BOOST_OUTCOME_TRYV(
            read_endpoint(document, field.name, parsed_endpoint, file));
        settings.*field.member = std::move(parsed_endpoint);
    }
    for (const duration_field& field : duration_fields) {
        if (!document.contains(field.name))
            continue;
        BOOST_OUTCOME_TRYV(
            read_duration(document, field.name, settings.*field.member, file));
    }
    settings.service = document.value("service", "");
    settings.store_watchers =
        document.value("store_watchers", settings.store_watchers);
    settings.saved_extra_attempts =
        document.value("saved_extra_attempts", settings.saved_extra_attempts);
    settings.region = document.value("region", "");
    settings.domain_regions =
        document.value("domain_regions", settings.domain_regions);
    settings.domain_crossing_calls_per_mb = document.value(
        "domain_crossing_calls_per_mb", settings.domain_crossing_calls_per_mb);
    settings.region_crossing_calls_per_mb = document.value(
        "region_crossing_calls_per_mb", settings.region_crossing_calls_per_mb);
    apply_default_crossings(settings);
    settings.organisation_overrun_share = document.value(
        "organisation_overrun_share", settings.organisation_overrun_share);
    settings.organisation_overrun_calls = document.value(
        "organisation_overrun_calls", settings.organisation_overrun_calls);
    settings.empty_domains =
        document.value("empty_domains", settings.empty_domains);
    return boost::outcome_v2::success();
}

} // namespace

support::result<support::milliseconds> parse_duration(std::string_view text)
{
    constexpr double ms_per_s = 1000;
    // Ten years. The clock's nanoseconds overflow after 292.
    constexpr double max_ms = 10.0 * 365 * 24 * 3600 * ms_per_s;
    double number = 0;
    const auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit =
        text.substr(static_cast<std::size_t>(end - text.data()));
    const bool known = unit == "ms" || unit == "s";
    const double ms = unit == "s" ? number * ms_per_s : number;
    // from_chars also reads "inf" and "nan".
    const bool in_range = ms >= 0 && ms <= max_ms;
    if (status != std::errc() || !known || !in_range) {
        return error{error_kind::invalid_document,
                     "\"" + std::string(text) + "\" is not a time span",
                     "write it as 1500ms or 2.5s"};
    }
    return support::milliseconds(std::llround(ms));
}

support::result<daemon_settings> parse_settings(std::string_view text,
                                                std::string_view file)
{
    support::result<nlohmann::json> parsed =
        parse_and_check(text, file, settings_schema);
    if (!parsed)
        return std::move(parsed).error();
    const nlohmann::json& document = parsed.value();
    daemon_settings settings;
    settings.member = document.at("member").get<std::string>();
    settings.domain = document.at("domain").get<std::string>();
    settings.threads = document.value("threads", settings.threads);
    for (const endpoint_field& field : endpoint_fields) {
        auto read =
            read_endpoint(document, field.name, settings.*field.member, file);
        if (!read)
            return std::move(read).error();
    }
    for (const auto& introducer_text :
         document.value("introducers", nlohmann::json::array())) {
        auto parsed_endpoint =
            parse_endpoint(introducer_text.get<std::string>());
        if (!parsed_endpoint)
            return std::move(parsed_endpoint).error();
        settings.introducers.push_back(std::move(parsed_endpoint).value());
    }
    BOOST_OUTCOME_TRYV(read_optional_settings(document, settings, file));
    for (const auto& key : document.at("keys"))
        settings.keys.push_back({key.at("id"), key.at("secret")});
    return settings;
}

support::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{error_kind::not_found, path + ": cannot be opened",
                     "check the path and its permissions"};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

support::result<daemon_settings> load_settings(const std::string& path)
{
    support::result<std::string> text = read_file(path);
    if (!text)
        return std::move(text).error();
    return parse_settings(text.value(), path);
}

} // namespace galenarudder::config
