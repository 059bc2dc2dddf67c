// The stored form of base and overlays, and the merge for one site.
#include "galenarudder/config/document.hpp"

#include "galenarudder/config/schema.hpp"

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

route_policy read_route(const json& entry)
{
    constexpr int default_deadline_ms = 2000;
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
        for (const json& route : entry.at("routes"))
            service.routes.push_back(read_route(route));
        into.services.push_back(std::move(service));
    }
}

void read_limits(const json& body, configuration& into)
{
    if (!body.contains("limits"))
        return;
    for (const auto& [name, stated] : body.at("limits").items()) {
        const std::optional<limit> which = limit_from(name);
        if (!which)
            continue;
        const json& value = stated.is_object() ? stated.at("value") : stated;
        into.limits.at(static_cast<std::size_t>(*which)) = value;
    }
}

void read_modes(const json& body, configuration& into)
{
    if (!body.contains("automation"))
        return;
    for (const auto& [name, stated] : body.at("automation").items()) {
        const auto which = automation_from(name);
        const auto mode = automation_mode_from(stated.get<std::string>());
        if (!which || !mode)
            continue;
        into.modes.at(static_cast<std::size_t>(*which)) = *mode;
    }
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
    for (const auto& [site, body] : stored.at("overlays").items())
        whole.overlays.push_back({site, body});
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
    return json{{"version", whole.version}, {"change_id", whole.change_id},
                {"author", whole.author},   {"note", whole.note},
                {"base", whole.base},       {"overlays", overlays}}
        .dump();
}

support::result<void> validate(const document& whole)
{
    auto base_only = effective_for(whole, "");
    if (!base_only)
        return std::move(base_only).error();
    for (const overlay_document& overlay : whole.overlays) {
        auto merged = effective_for(whole, overlay.site);
        if (!merged)
            return std::move(merged).error();
    }
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

} // namespace galenarudder::config
