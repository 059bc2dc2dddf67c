// The stored form of the base document and overlays, and the merge of an
// overlay into the base document.
#include "galenarudder/config/document.hpp"

#include "../organisations/key_index.hpp"
#include "document_parts.hpp"
#include "galenarudder/config/check.hpp"
#include "galenarudder/config/json_text.hpp"
#include "galenarudder/config/schema.hpp"
#include "galenarudder/support/pause_point.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <map>

namespace galenarudder::config {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

void read_ranks(const json& base, configuration& merged)
{
    if (!base.contains("ranks"))
        return;
    merged.ranks.clear();
    for (const json& rank : base.at("ranks")) {
        merged.ranks.push_back({rank.at("name"),
                                rank.value("minimum_share", 0.0),
                                rank.value("held_slots", 0U)});
    }
}

/// Applies to routes that set no deadline.
constexpr int default_deadline_ms = 2000;

route_policy read_route(const json& route_json)
{
    constexpr std::uint64_t default_body_limit_bytes = 1 << 20;
    route_policy route;
    route.method = route_json.value("method", "");
    route.prefix = route_json.value("prefix", "/");
    route.rank = route_json.at("rank").get<std::string>();
    route.repeatable = route_json.value("repeatable", false);
    route.deadline = support::milliseconds(
        route_json.value("deadline_ms", default_deadline_ms));
    route.body_limit_bytes =
        route_json.value("body_limit_bytes", default_body_limit_bytes);
    return route;
}

/// Reads the regions of a route or an organisation.
std::vector<std::string> read_regions(const json& parent)
{
    return parent.value("regions", std::vector<std::string>());
}

} // namespace

service_policy read_service(const json& service_json)
{
    service_policy service;
    service.name = service_json.at("name").get<std::string>();
    service.strategy = service_json.value("strategy", "");
    service.probe_path = service_json.value("probe_path", "");
    service.connections = service_json.value("connections", 0U);
    service.cold_calls_per_s = service_json.value("cold_calls_per_s", 0.0);
    for (const json& route_json : service_json.value("routes", json::array()))
        service.routes.push_back(read_route(route_json));
    return service;
}

host_route read_host_route(const json& route_json)
{
    host_route route;
    route.host = boost::algorithm::to_lower_copy(
        route_json.at("host").get_ref<const std::string&>());
    route.prefix = route_json.at("prefix").get<std::string>();
    route.rank = route_json.at("rank").get<std::string>();
    route.repeatable = route_json.value("repeatable", false);
    route.deadline = support::milliseconds(
        route_json.value("deadline_ms", default_deadline_ms));
    route.goal = support::milliseconds(route_json.value("goal_ms", 0));
    route.attempts = route_json.value("attempts", 1U);
    for (const json& service_json : route_json.at("services")) {
        route.services.push_back(
            {service_json.at("service"), service_json.value("weight", 1.0)});
    }
    route.open = route_json.value("open", false);
    route.regions = read_regions(route_json);
    return route;
}

organisation_policy read_organisation(const json& organisation_json)
{
    organisation_policy organisation;
    organisation.name = organisation_json.at("name").get<std::string>();
    for (const json& key : organisation_json.value("keys", json::array()))
        organisation.key_digests.push_back(
            organisations::from_hex(key.get_ref<const std::string&>()));
    organisation.rank = organisation_json.value("rank", "");
    organisation.calls_per_s = organisation_json.value("calls_per_s", 0.0);
    organisation.burst = organisation_json.value("burst", 0.0);
    organisation.regions = read_regions(organisation_json);
    return organisation;
}

namespace {

void read_hosts(const json& base, configuration& merged)
{
    if (!base.contains("hosts"))
        return;
    for (const json& route_json : base.at("hosts")) {
        support::pause_point();
        merged.host_routes.push_back(
            std::make_shared<const host_route>(read_host_route(route_json)));
    }
    std::sort(merged.host_routes.begin(), merged.host_routes.end(),
              [](const auto& left, const auto& right) {
                  return precedes(*left, *right);
              });
}

void read_services(const json& base, configuration& merged)
{
    if (!base.contains("services"))
        return;
    for (const json& service_json : base.at("services"))
        merged.services.push_back(read_service(service_json));
}

void read_organisations(const json& base, configuration& merged)
{
    if (!base.contains("organisations"))
        return;
    merged.requires_keys = true;
    for (const json& organisation_json : base.at("organisations")) {
        support::pause_point();
        merged.organisations.push_back(
            std::make_shared<const organisation_policy>(
                read_organisation(organisation_json)));
    }
    std::sort(merged.organisations.begin(), merged.organisations.end(),
              [](const auto& left, const auto& right) {
                  return left->name < right->name;
              });
    merged.organisation_keys =
        organisations::make_key_index(merged.organisations);
}

void read_callers(const json& base, configuration& merged)
{
    if (!base.contains("callers"))
        return;
    const json& callers = base.at("callers");
    caller_limits& limits = merged.callers;
    limits.head_bytes = callers.value("head_bytes", limits.head_bytes);
    limits.body_bytes = callers.value("body_bytes", limits.body_bytes);
    limits.head_time = support::milliseconds(
        callers.value("head_ms", limits.head_time.count()));
    limits.idle_time = support::milliseconds(
        callers.value("idle_ms", limits.idle_time.count()));
}

void read_limits(const json& body, configuration& merged)
{
    if (!body.contains("limits"))
        return;
    for (const auto& [name, setting] : body.at("limits").items()) {
        const std::optional<limit> id = parse_limit(name);
        // validate() has rejected unknown names.
        if (!id)
            continue;
        const std::size_t index = static_cast<std::size_t>(*id);
        if (!setting.is_object()) {
            merged.limits.at(index) = setting;
            continue;
        }
        merged.limits.at(index) = setting.at("value");
        merged.bounds.at(index) = {setting.at("min"), setting.at("max")};
    }
}

const json& mode_name(const json& setting)
{
    return setting.is_object() ? setting.at("mode") : setting;
}

void read_modes(const json& body, configuration& merged)
{
    if (!body.contains("automation"))
        return;
    for (const auto& [name, setting] : body.at("automation").items()) {
        const auto kind = parse_automation(name);
        const auto mode =
            parse_automation_mode(mode_name(setting).get<std::string>());
        // validate() has rejected unknown names.
        if (!kind || !mode)
            continue;
        merged.modes.at(static_cast<std::size_t>(*kind)) = *mode;
    }
}

json encode(const change_record& change)
{
    return {{"version", change.version},
            {"change_id", change.change_id},
            {"author", change.author},
            {"note", change.note},
            {"time", change.time}};
}

change_record decode_change(const json& stored)
{
    return {stored.at("version"), stored.at("change_id"), stored.at("author"),
            stored.at("note"), stored.at("time")};
}

void read_history(const json& stored, document& full_document)
{
    const json history = stored.value("history", json::object());
    for (const json& change : history)
        full_document.history.push_back(decode_change(change));
    std::sort(full_document.history.begin(), full_document.history.end(),
              [](const change_record& left, const change_record& right) {
                  return left.version > right.version;
              });
}

error to_error(const validation_error& violation)
{
    const std::string document_name =
        violation.site.empty() ? "base" : "overlay " + violation.site;
    return {error_kind::invalid_document,
            document_name + ": " + violation.pointer + ": " + violation.message,
            violation.remedy};
}

/// Returns the document that sets \p name of \p group for \p site.
value_origin origin_of(const document& full_document,
                       std::string_view site,
                       const std::string& group,
                       const std::string& name)
{
    const std::string pointer = "/" + group + "/" + name;
    const json::json_pointer setting_pointer(pointer);
    const overlay_document* overlay = find_overlay(full_document, site);
    if (overlay != nullptr && overlay->body.contains(setting_pointer))
        return {"overlay " + overlay->site, pointer};
    if (full_document.base.contains(setting_pointer))
        return {"base", pointer};
    return {"product", ""};
}

json base_setting(const document& full_document,
                  const std::string& group,
                  const std::string& name)
{
    const json::json_pointer setting_pointer("/" + group + "/" + name);
    return full_document.base.contains(setting_pointer)
               ? full_document.base.at(setting_pointer)
               : json();
}

effective_value effective_limit(const document& full_document,
                                const configuration& merged,
                                limit id)
{
    const std::string name(to_string(id));
    const json setting = base_setting(full_document, "limits", name);
    const limit_bounds& bounds = merged.bounds.at(static_cast<std::size_t>(id));
    return {"limits/" + name,
            merged.value(id),
            bounds.min,
            bounds.max,
            setting.is_object() ? setting.value("mover", "base") : "base",
            origin_of(full_document, merged.site, "limits", name)};
}

effective_value effective_mode(const document& full_document,
                               const configuration& merged,
                               automation kind)
{
    const std::string name(to_string(kind));
    const json setting = base_setting(full_document, "automation", name);
    json loosest = setting.is_null() ? json("automatic") : setting;
    std::string mover = "site";
    if (setting.is_object()) {
        loosest = setting.at("loosest");
        mover = setting.at("mover");
    }
    return {"automation/" + name,
            to_string(merged.mode(kind)),
            to_string(automation_mode::observe),
            std::move(loosest),
            std::move(mover),
            origin_of(full_document, merged.site, "automation", name)};
}

/// Returns whether the base document with only a part of its table \p name
/// conforms to the schema, for each part.
bool conforms_in_parts(const json& base, const json& rest, const char* name)
{
    constexpr std::ptrdiff_t part_size = 64;
    const auto table = base.find(name);
    if (table == base.end() || !table->is_array())
        return false;
    json part = rest;
    for (auto begin = table->begin(); begin != table->end();) {
        support::pause_point();
        const auto end =
            begin + std::min(part_size, std::distance(begin, table->end()));
        part[name] = json(json::array_t(begin, end));
        if (!check_schema(part, "base", base_schema))
            return false;
        begin = end;
    }
    return true;
}

/// Checks a base document against its schema. Large tables are checked in parts
/// first, since a check does not pause; the error needs the whole document.
support::result<void> check_base(const json& base)
{
    constexpr std::size_t large_table = 128;
    const auto is_large = [&](const char* name) {
        return base.is_object() && base.contains(name) &&
               base.at(name).size() > large_table;
    };
    json rest = base.is_object() ? json::object() : base;
    std::vector<const char*> large_tables;
    for (const char* name : {"hosts", "services", "organisations"}) {
        if (is_large(name))
            large_tables.push_back(name);
    }
    if (large_tables.empty())
        return check_schema(base, "base", base_schema);
    for (const auto& [name, value] : base.items()) {
        const bool large = std::find(large_tables.begin(), large_tables.end(),
                                     name) != large_tables.end();
        rest[name] = large ? json::array() : value;
    }
    bool conforms = check_schema(rest, "base", base_schema).has_value();
    for (const char* name : large_tables)
        conforms = conforms && conforms_in_parts(base, rest, name);
    return conforms ? support::result<void>(boost::outcome_v2::success())
                    : check_schema(base, "base", base_schema);
}

constexpr std::string_view stored_name = "stored configuration";

/// Reads a stored form that conforms to its schema, and validates the parts.
support::result<document> read_checked(json stored)
{
    document full_document = read_parts(std::move(stored));
    BOOST_OUTCOME_TRYV(validate(full_document));
    return full_document;
}

} // namespace

document read_parts(json stored)
{
    document full_document;
    full_document.version = stored.at("version");
    full_document.change_id = stored.at("change_id");
    full_document.author = stored.at("author");
    full_document.note = stored.at("note");
    full_document.base = std::move(stored.at("base"));
    full_document.time = stored.value("time", "");
    for (const auto& [site, body] : stored.at("overlays").items())
        full_document.overlays.push_back({site, body});
    read_history(stored, full_document);
    return full_document;
}

support::result<document> parse_document(std::string_view text)
{
    auto parsed = parse_and_check(text, stored_name, stored_schema);
    if (!parsed)
        return std::move(parsed).error();
    return read_checked(std::move(parsed).value());
}

support::result<document> read_document(json stored)
{
    BOOST_OUTCOME_TRYV(check_schema(stored, stored_name, stored_schema));
    return read_checked(std::move(stored));
}

std::string serialize(const document& full_document)
{
    std::string text;
    json stored = to_json_without_base(full_document);
    stored["base"] = nullptr;
    // The base document is not copied into the stored form, since it is large.
    for (const auto& [key, value] : stored.items()) {
        text.append(text.empty() ? "{" : ",");
        text.append(json(key).dump()).append(":");
        append_json(key == "base" ? full_document.base : value, text);
    }
    return text + "}";
}

json to_json(const document& full_document)
{
    json stored = to_json_without_base(full_document);
    stored["base"] = full_document.base;
    return stored;
}

json to_json_without_base(const document& full_document)
{
    json overlays = json::object();
    for (const overlay_document& overlay : full_document.overlays)
        overlays[overlay.site] = overlay.body;
    // An object keyed by version keeps patches small: a JSON patch between two
    // documents then names only the entries that were added or removed.
    json history = json::object();
    for (const change_record& change : full_document.history)
        history[std::to_string(change.version)] = encode(change);
    return {{"version", full_document.version},
            {"change_id", full_document.change_id},
            {"author", full_document.author},
            {"note", full_document.note},
            {"time", full_document.time},
            {"overlays", std::move(overlays)},
            {"history", std::move(history)}};
}

support::result<void> validate(const document& full_document)
{
    BOOST_OUTCOME_TRYV(check_base(full_document.base));
    for (const overlay_document& overlay : full_document.overlays) {
        BOOST_OUTCOME_TRYV(check_schema(overlay.body, "overlay " + overlay.site,
                                        overlay_schema));
    }
    const std::vector<validation_error> violations =
        check_cross_document_rules(full_document);
    if (!violations.empty())
        return to_error(violations.front());
    return boost::outcome_v2::success();
}

support::result<configuration>
effective_configuration(const document& full_document, std::string_view site)
{
    configuration merged = default_configuration();
    merged.version = full_document.version;
    merged.site = std::string(site);
    try {
        read_ranks(full_document.base, merged);
        read_services(full_document.base, merged);
        read_hosts(full_document.base, merged);
        read_organisations(full_document.base, merged);
        read_callers(full_document.base, merged);
        read_limits(full_document.base, merged);
        read_modes(full_document.base, merged);
        const overlay_document* overlay = find_overlay(full_document, site);
        if (overlay != nullptr) {
            read_limits(overlay->body, merged);
            read_modes(overlay->body, merged);
        }
    } catch (const json::exception& failure) {
        return error{error_kind::invalid_document, failure.what(),
                     "run galenarudderctl validate on the files"};
    }
    return merged;
}

std::vector<effective_value> effective_values(const document& full_document,
                                              std::string_view site)
{
    std::vector<effective_value> values;
    const auto merged = effective_configuration(full_document, site);
    if (!merged)
        return values;
    for (std::size_t index = 0; index < limit_count; ++index) {
        values.push_back(effective_limit(full_document, merged.value(),
                                         static_cast<limit>(index)));
    }
    for (std::size_t index = 0; index < automation_count; ++index) {
        values.push_back(effective_mode(full_document, merged.value(),
                                        static_cast<automation>(index)));
    }
    return values;
}

const overlay_document* find_overlay(const document& full_document,
                                     std::string_view site)
{
    for (const overlay_document& overlay : full_document.overlays) {
        if (overlay.site == site)
            return &overlay;
    }
    return nullptr;
}

change_record latest_change(const document& full_document)
{
    return {full_document.version, full_document.change_id,
            full_document.author, full_document.note, full_document.time};
}

bool same_content(const document& left, const document& right)
{
    std::map<std::string_view, const json*> bodies;
    for (const overlay_document& overlay : left.overlays)
        bodies[overlay.site] = &overlay.body;
    if (left.base != right.base || bodies.size() != right.overlays.size())
        return false;
    for (const overlay_document& overlay : right.overlays) {
        const auto match = bodies.find(overlay.site);
        if (match == bodies.end() || *match->second != overlay.body)
            return false;
    }
    return true;
}

} // namespace galenarudder::config
