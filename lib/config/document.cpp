// The stored form of base and overlays, and the merge for one site.
#include "galenarudder/config/document.hpp"

#include "document_schemas.hpp"
#include "galenarudder/config/check.hpp"
#include "galenarudder/config/schema.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <map>

namespace galenarudder::config {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr const char* stored_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["version", "change_id", "author", "note", "base", "overlays"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "change_id": {"type": "string", "minLength": 1},
    "author": {"type": "string"},
    "note": {"type": "string"},
    "time": {"type": "string"},
    "history": {"type": "object", "maxProperties": 50,
      "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["version", "change_id", "author", "note", "time"],
      "properties": {
        "version": {"type": "integer", "minimum": 1},
        "change_id": {"type": "string"},
        "author": {"type": "string"},
        "note": {"type": "string"},
        "time": {"type": "string"}}}},
    "base": {"type": "object"},
    "overlays": {"type": "object"}
  }
})";

void read_ranks(const json& base, configuration& into)
{
    if (!base.contains("ranks"))
        return;
    into.ranks.clear();
    for (const json& entry : base.at("ranks")) {
        into.ranks.push_back({entry.at("name"),
                              entry.value("minimum_share", 0.0),
                              entry.value("held_slots", 0U)});
    }
}

/// For routes that state no deadline.
constexpr int default_deadline_ms = 2000;

route_policy read_route(const json& entry)
{
    constexpr std::uint64_t default_body_limit_bytes = 1 << 20;
    route_policy route;
    route.method = entry.value("method", "");
    route.prefix = entry.value("prefix", "/");
    route.rank = entry.at("rank").get<std::string>();
    route.repeatable = entry.value("repeatable", false);
    route.deadline =
        support::milliseconds(entry.value("deadline_ms", default_deadline_ms));
    route.body_limit_bytes =
        entry.value("body_limit_bytes", default_body_limit_bytes);
    return route;
}

void read_services(const json& base, configuration& into)
{
    if (!base.contains("services"))
        return;
    for (const json& entry : base.at("services")) {
        service_policy service;
        service.name = entry.at("name").get<std::string>();
        service.strategy = entry.value("strategy", "");
        service.probe_path = entry.value("probe_path", "");
        service.connections = entry.value("connections", 0U);
        for (const json& route : entry.value("routes", json::array()))
            service.routes.push_back(read_route(route));
        into.services.push_back(std::move(service));
    }
}

host_route read_host_route(const json& entry)
{
    host_route route;
    route.host = boost::algorithm::to_lower_copy(
        entry.at("host").get_ref<const std::string&>());
    route.prefix = entry.at("prefix").get<std::string>();
    route.rank = entry.at("rank").get<std::string>();
    route.repeatable = entry.value("repeatable", false);
    route.deadline =
        support::milliseconds(entry.value("deadline_ms", default_deadline_ms));
    route.goal = support::milliseconds(entry.value("goal_ms", 0));
    route.attempts = entry.value("attempts", 1U);
    for (const json& part : entry.at("services")) {
        route.services.push_back(
            {part.at("service"), part.value("weight", 1.0)});
    }
    return route;
}

void read_hosts(const json& base, configuration& into)
{
    if (!base.contains("hosts"))
        return;
    for (const json& entry : base.at("hosts"))
        into.host_routes.push_back(read_host_route(entry));
    std::sort(into.host_routes.begin(), into.host_routes.end(),
              [](const host_route& left, const host_route& right) {
                  if (left.host != right.host)
                      return left.host < right.host;
                  if (left.prefix.size() != right.prefix.size())
                      return left.prefix.size() > right.prefix.size();
                  return left.prefix < right.prefix;
              });
}

void read_callers(const json& base, configuration& into)
{
    if (!base.contains("callers"))
        return;
    const json& stated = base.at("callers");
    caller_limits& limits = into.callers;
    limits.head_bytes = stated.value("head_bytes", limits.head_bytes);
    limits.body_bytes = stated.value("body_bytes", limits.body_bytes);
    limits.head_time = support::milliseconds(
        stated.value("head_ms", limits.head_time.count()));
    limits.idle_time = support::milliseconds(
        stated.value("idle_ms", limits.idle_time.count()));
}

void read_limits(const json& body, configuration& into)
{
    if (!body.contains("limits"))
        return;
    for (const auto& [name, stated] : body.at("limits").items()) {
        const std::optional<limit> which = limit_from(name);
        if (!which)
            continue;
        const std::size_t index = static_cast<std::size_t>(*which);
        if (!stated.is_object()) {
            into.limits.at(index) = stated;
            continue;
        }
        into.limits.at(index) = stated.at("value");
        into.bounds.at(index) = {stated.at("min"), stated.at("max")};
    }
}

const json& mode_name(const json& stated)
{
    return stated.is_object() ? stated.at("mode") : stated;
}

void read_modes(const json& body, configuration& into)
{
    if (!body.contains("automation"))
        return;
    for (const auto& [name, stated] : body.at("automation").items()) {
        const auto which = automation_from(name);
        const auto mode =
            automation_mode_from(mode_name(stated).get<std::string>());
        if (!which || !mode)
            continue;
        into.modes.at(static_cast<std::size_t>(*which)) = *mode;
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

void read_history(const json& stored, document& into)
{
    const json history = stored.value("history", json::object());
    for (const json& change : history)
        into.history.push_back(decode_change(change));
    std::sort(into.history.begin(), into.history.end(),
              [](const change_record& left, const change_record& right) {
                  return left.version > right.version;
              });
}

error describe_finding(const finding& found)
{
    const std::string name =
        found.site.empty() ? "base" : "overlay " + found.site;
    return {error_kind::invalid_document,
            name + ": " + found.pointer + ": " + found.message, found.remedy};
}

/// Finds where one setting of \p group is stated.
value_origin origin_of(const document& whole,
                       std::string_view site,
                       const std::string& group,
                       const std::string& name)
{
    const std::string pointer = "/" + group + "/" + name;
    const json::json_pointer path(pointer);
    const overlay_document* overlay = find_overlay(whole, site);
    if (overlay != nullptr && overlay->body.contains(path))
        return {"overlay " + overlay->site, pointer};
    if (whole.base.contains(path))
        return {"base", pointer};
    return {"product", ""};
}

json stated_in_base(const document& whole,
                    const std::string& group,
                    const std::string& name)
{
    const json::json_pointer path("/" + group + "/" + name);
    return whole.base.contains(path) ? whole.base.at(path) : json();
}

effective_value
effective_limit(const document& whole, const configuration& merged, limit which)
{
    const std::string name(to_string(which));
    const json stated = stated_in_base(whole, "limits", name);
    const limit_bounds& bounds =
        merged.bounds.at(static_cast<std::size_t>(which));
    return {"limits/" + name,
            merged.value(which),
            bounds.min,
            bounds.max,
            stated.is_object() ? stated.value("mover", "base") : "base",
            origin_of(whole, merged.site, "limits", name)};
}

effective_value effective_mode(const document& whole,
                               const configuration& merged,
                               automation which)
{
    const std::string name(to_string(which));
    const json stated = stated_in_base(whole, "automation", name);
    json loosest = stated.is_null() ? json("automatic") : stated;
    std::string mover = "site";
    if (stated.is_object()) {
        loosest = stated.at("loosest");
        mover = stated.at("mover");
    }
    return {"automation/" + name,
            to_string(merged.mode(which)),
            to_string(automation_mode::observe),
            std::move(loosest),
            std::move(mover),
            origin_of(whole, merged.site, "automation", name)};
}

} // namespace

support::result<document> parse_document(std::string_view text)
{
    auto parsed = parse_and_check(text, "stored configuration", stored_schema);
    if (!parsed)
        return std::move(parsed).error();
    const json& stored = parsed.value();
    document whole;
    whole.version = stored.at("version");
    whole.change_id = stored.at("change_id");
    whole.author = stored.at("author");
    whole.note = stored.at("note");
    whole.base = stored.at("base");
    whole.time = stored.value("time", "");
    for (const auto& [site, body] : stored.at("overlays").items())
        whole.overlays.push_back({site, body});
    read_history(stored, whole);
    auto checked = validate(whole);
    if (!checked)
        return std::move(checked).error();
    return whole;
}

std::string serialize(const document& whole)
{
    json overlays = json::object();
    for (const overlay_document& overlay : whole.overlays)
        overlays[overlay.site] = overlay.body;
    // Keyed by version: a patch then holds only what was added and dropped.
    json history = json::object();
    for (const change_record& change : whole.history)
        history[std::to_string(change.version)] = encode(change);
    return json{{"version", whole.version}, {"change_id", whole.change_id},
                {"author", whole.author},   {"note", whole.note},
                {"time", whole.time},       {"base", whole.base},
                {"overlays", overlays},     {"history", history}}
        .dump();
}

support::result<void> validate(const document& whole)
{
    BOOST_OUTCOME_TRYV(check_schema(whole.base, "base", base_schema));
    for (const overlay_document& overlay : whole.overlays) {
        BOOST_OUTCOME_TRYV(check_schema(overlay.body, "overlay " + overlay.site,
                                        overlay_schema));
    }
    const std::vector<finding> findings = check_set(whole);
    if (!findings.empty())
        return describe_finding(findings.front());
    return boost::outcome_v2::success();
}

support::result<configuration> effective_for(const document& whole,
                                             std::string_view site)
{
    configuration merged = default_configuration();
    merged.version = whole.version;
    merged.site = std::string(site);
    try {
        read_ranks(whole.base, merged);
        read_services(whole.base, merged);
        read_hosts(whole.base, merged);
        read_callers(whole.base, merged);
        read_limits(whole.base, merged);
        read_modes(whole.base, merged);
        const overlay_document* overlay = find_overlay(whole, site);
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

std::vector<effective_value> effective_values(const document& whole,
                                              std::string_view site)
{
    std::vector<effective_value> values;
    const auto merged = effective_for(whole, site);
    if (!merged)
        return values;
    for (std::size_t index = 0; index < limit_count; ++index) {
        values.push_back(
            effective_limit(whole, merged.value(), static_cast<limit>(index)));
    }
    for (std::size_t index = 0; index < automation_count; ++index) {
        values.push_back(effective_mode(whole, merged.value(),
                                        static_cast<automation>(index)));
    }
    return values;
}

const overlay_document* find_overlay(const document& whole,
                                     std::string_view site)
{
    for (const overlay_document& overlay : whole.overlays) {
        if (overlay.site == site)
            return &overlay;
    }
    return nullptr;
}

change_record change_of(const document& whole)
{
    return {whole.version, whole.change_id, whole.author, whole.note,
            whole.time};
}

bool same_content(const document& left, const document& right)
{
    std::map<std::string_view, const json*> bodies;
    for (const overlay_document& overlay : left.overlays)
        bodies[overlay.site] = &overlay.body;
    if (left.base != right.base || bodies.size() != right.overlays.size())
        return false;
    for (const overlay_document& overlay : right.overlays) {
        const auto same = bodies.find(overlay.site);
        if (same == bodies.end() || *same->second != overlay.body)
            return false;
    }
    return true;
}

} // namespace galenarudder::config
