// Parses scenarios of the format galenarudder-scenario-1.
#include "scenario.hpp"

#include "galenarudder/config/document.hpp"
#include "galenarudder/config/schema.hpp"
#include "galenarudder/config/settings.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace galenarudder::replay {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

/// Each seed holds all its calls in memory, so time and rates are bounded.
constexpr const char* scenario_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "seconds", "domains", "services", "calls"],
  "properties": {
    "format": {"enum": ["galenarudder-scenario-1"]},
    "name": {"type": "string"},
    "seconds": {"type": "integer", "minimum": 1, "maximum": 600},
    "domains": {"type": "object", "minProperties": 1, "maxProperties": 64,
      "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "region": {"type": "string", "minLength": 1, "maxLength": 64},
        "phase": {"type": "number", "minimum": 0, "maximum": 1}}}},
    "links": {"type": "object", "additionalProperties": false,
      "properties": {
        "within_domain_ms": {"$ref": "#/definitions/delay"},
        "between_domains_ms": {"$ref": "#/definitions/delay"},
        "between_regions_ms": {"$ref": "#/definitions/delay"},
        "to_callers_ms": {"$ref": "#/definitions/delay"},
        "between_regions_mbit_per_s": {"type": "number", "minimum": 0,
                                       "maximum": 1000000}}},
    "services": {"type": "object", "minProperties": 1,
      "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["upstreams", "slots"],
      "properties": {
        "upstreams": {"type": "object", "additionalProperties": {
          "type": "integer", "minimum": 0, "maximum": 1000}},
        "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
        "speed_spread": {"type": "number", "minimum": 0, "maximum": 0.9},
        "cold_slowdown": {"type": "number", "minimum": 1, "maximum": 100}}}},
    "calls": {"type": "object", "minProperties": 1, "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["service", "work_ms", "goal_ms", "deadline_ms"],
      "properties": {
        "service": {"type": "string"},
        "rank": {"type": "string"},
        "per_s": {"anyOf": [
          {"$ref": "#/definitions/rate"},
          {"type": "object",
           "additionalProperties": {"$ref": "#/definitions/rate"}}]},
        "work_ms": {"type": "number", "minimum": 0.01, "maximum": 600000},
        "work_spread": {"type": "number", "minimum": 0, "maximum": 3},
        "goal_ms": {"type": "number", "minimum": 1, "maximum": 600000},
        "deadline_ms": {"type": "number", "minimum": 1, "maximum": 600000},
        "request_bytes": {"type": "number", "minimum": 0,
                          "maximum": 1000000000},
        "response_bytes": {"type": "number", "minimum": 0,
                           "maximum": 1000000000},
        "repeatable": {"type": "boolean"},
        "nested": {"type": "array", "items": {
          "type": "object", "additionalProperties": false,
          "required": ["call"],
          "properties": {
            "call": {"type": "string"},
            "count": {"type": "integer", "minimum": 1, "maximum": 100},
            "share": {"type": "number", "minimum": 0, "maximum": 1}}}}}}},
    "wave": {"type": "object", "additionalProperties": false,
      "required": ["amplitude", "period_s"],
      "properties": {
        "amplitude": {"type": "number", "minimum": 0, "maximum": 1},
        "period_s": {"type": "number", "minimum": 0.1, "maximum": 100000}}},
    "bursts": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["at_s", "for_s", "factor"],
      "properties": {
        "at_s": {"$ref": "#/definitions/time"},
        "for_s": {"$ref": "#/definitions/time"},
        "factor": {"type": "number", "minimum": 0, "maximum": 100},
        "calls": {"$ref": "#/definitions/names"},
        "domains": {"$ref": "#/definitions/names"}}}},
    "organisations": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": 100},
        "count": {"type": "integer", "minimum": 1, "maximum": 10000},
        "load": {"type": "number", "minimum": 0, "maximum": 1000000},
        "calls_per_s": {"type": "number", "minimum": 0,
                        "maximum": 1000000000},
        "burst": {"type": "number", "minimum": 0, "maximum": 1000000000},
        "rank": {"type": "string", "minLength": 1},
        "surge": {"type": "object", "additionalProperties": false,
          "required": ["at_s", "for_s", "factor"],
          "properties": {
            "at_s": {"$ref": "#/definitions/time"},
            "for_s": {"$ref": "#/definitions/time"},
            "factor": {"type": "number", "minimum": 0, "maximum": 100}}}}}},
    "events": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["at_s", "change", "domain"],
      "properties": {
        "at_s": {"$ref": "#/definitions/time"},
        "for_s": {"$ref": "#/definitions/time"},
        "change": {"enum": ["stop", "slow", "restart"]},
        "domain": {"type": "string"},
        "service": {"type": "string"},
        "share": {"type": "number", "minimum": 0, "maximum": 1},
        "factor": {"type": "number", "minimum": 1, "maximum": 1000},
        "cold_ms": {"type": "number", "minimum": 0, "maximum": 600000}}}},
    "settings": {"type": "object", "additionalProperties": false,
      "properties": {
        "domain_crossing_calls_per_mb": {"type": "number", "minimum": 0},
        "region_crossing_calls_per_mb": {"type": "number", "minimum": 0},
        "saved_extra_attempts": {"type": "number", "minimum": 0},
        "organisation_window": {"type": "string"},
        "organisation_overrun_share": {"type": "number", "minimum": 0,
                                       "maximum": 1},
        "organisation_overrun_calls": {"type": "number", "minimum": 0}}},
    "config": {"type": "object"}
  },
  "definitions": {
    "delay": {"type": "number", "minimum": 0, "maximum": 10000},
    "rate": {"type": "number", "minimum": 0, "maximum": 100000},
    "time": {"type": "number", "minimum": 0, "maximum": 1000000},
    "names": {"type": "array", "minItems": 1, "items": {"type": "string"}}
  }
})";

constexpr double default_within_domain_ms = 0.3;
constexpr double default_between_domains_ms = 1;
constexpr double default_between_regions_ms = 20;
constexpr double default_request_bytes = 1000;
constexpr double default_response_bytes = 4000;
/// Calls of one seed that fit in memory, with all seeds of the threads.
constexpr double max_calls = 2'000'000;

/// Reads a document that conforms to the schema, and checks what a schema
/// cannot express: references between its parts.
class scenario_reader
{
public:
    scenario_reader(const json& document, std::string file)
        : document_(document), file_(std::move(file))
    {
    }

    support::result<scenario> read()
    {
        result_.name = document_.value("name", file_);
        result_.seconds = document_.at("seconds");
        read_domains();
        read_links();
        read_services();
        read_calls();
        read_wave_and_bursts();
        read_events();
        check_demand();
        if (!failure_)
            read_settings();
        if (!failure_)
            read_config();
        if (failure_)
            return std::move(*failure_);
        return std::move(result_);
    }

private:
    /// Keeps the first error only; later ones may follow from it.
    void fail(const std::string& pointer,
              const std::string& problem,
              std::string remedy)
    {
        if (failure_)
            return;
        failure_ =
            error{error_kind::invalid_document,
                  file_ + ": " + pointer + ": " + problem, std::move(remedy)};
    }

    /// Returns the position of a name in \p known; 0 after an error.
    template <typename Named>
    std::size_t find(const std::vector<Named>& known,
                     const std::string& name,
                     const std::string& pointer,
                     const std::string& list)
    {
        const auto found =
            std::find_if(known.begin(), known.end(),
                         [&](const Named& item) { return item.name == name; });
        if (found != known.end())
            return static_cast<std::size_t>(found - known.begin());
        std::string names;
        for (const Named& item : known)
            names += (names.empty() ? "" : ", ") + item.name;
        fail(pointer, "found \"" + name + "\", which /" + list + " lacks",
             "use one of: " + names);
        return 0;
    }

    json part(const char* key, const json& absent) const
    {
        return document_.value(key, absent);
    }

    void read_domains()
    {
        for (const auto& [name, fields] : document_.at("domains").items()) {
            const std::string region = fields.value("region", "");
            result_.domains.push_back(
                {name, region, fields.value("phase", 0.0)});
            if (region.empty() != result_.domains.front().region.empty())
                fail("/domains/" + name + "/region",
                     "found \"" + region + "\", while /domains/" +
                         result_.domains.front().name + "/region is \"" +
                         result_.domains.front().region + "\"",
                     "state the region of all domains or of none");
        }
    }

    void read_links()
    {
        const json links = part("links", json::object());
        result_.links.one_way_ms = {
            links.value("within_domain_ms", default_within_domain_ms),
            links.value("between_domains_ms", default_between_domains_ms),
            links.value("between_regions_ms", default_between_regions_ms)};
        result_.links.to_callers_ms = links.value("to_callers_ms", 0.0);
        result_.links.between_regions_mbit_per_s =
            links.value("between_regions_mbit_per_s", 0.0);
    }

    void read_services()
    {
        for (const auto& [name, fields] : document_.at("services").items()) {
            scenario_service service;
            service.name = name;
            service.slots = fields.at("slots");
            service.speed_spread = fields.value("speed_spread", 0.0);
            service.cold_slowdown =
                fields.value("cold_slowdown", service.cold_slowdown);
            service.upstreams.resize(result_.domains.size());
            std::size_t total = 0;
            const std::string pointer = "/services/" + name + "/upstreams";
            for (const auto& [domain, count] : fields.at("upstreams").items()) {
                const std::size_t position =
                    find(result_.domains, domain, pointer, "domains");
                service.upstreams.at(position) = count;
                total += count.get<std::size_t>();
            }
            if (total == 0)
                fail(pointer, "found " + fields.at("upstreams").dump(),
                     "give the service at least one upstream");
            result_.services.push_back(std::move(service));
        }
    }

    void read_calls()
    {
        const json& calls = document_.at("calls");
        // All names first, since nested calls refer to each other.
        for (const auto& [name, fields] : calls.items())
            result_.calls.emplace_back().name = name;
        for (call_type& call : result_.calls)
            read_call(calls.at(call.name), call);
        for (std::size_t index = 0; index < result_.calls.size(); ++index)
            check_nesting(index, index, 0);
    }

    void read_call(const json& fields, call_type& call)
    {
        const std::string pointer = "/calls/" + call.name;
        call.service = fields.at("service");
        find(result_.services, call.service, pointer + "/service", "services");
        call.rank = fields.value("rank", "");
        call.work_ms = fields.at("work_ms");
        call.work_spread = fields.value("work_spread", 0.0);
        call.goal_ms = fields.at("goal_ms");
        call.deadline_ms = fields.at("deadline_ms");
        call.request_bytes =
            fields.value("request_bytes", default_request_bytes);
        call.response_bytes =
            fields.value("response_bytes", default_response_bytes);
        call.repeatable = fields.value("repeatable", false);
        if (call.deadline_ms < call.goal_ms)
            fail(pointer + "/deadline_ms",
                 "found " + fields.at("deadline_ms").dump() +
                     ", less than goal_ms " + fields.at("goal_ms").dump(),
                 "set a deadline of goal_ms or more");
        read_rates(fields, call, pointer + "/per_s");
        for (const json& nested : fields.value("nested", json::array())) {
            const std::size_t type = find(result_.calls, nested.at("call"),
                                          pointer + "/nested", "calls");
            call.nested.push_back({type, nested.value("count", std::size_t{1}),
                                   nested.value("share", 1.0)});
        }
    }

    /// A single number is divided among the domains in proportion to the
    /// upstreams that they have in all services.
    void
    read_rates(const json& fields, call_type& call, const std::string& pointer)
    {
        call.per_s.resize(result_.domains.size());
        const json rates = fields.value("per_s", json(0));
        if (rates.is_object()) {
            for (const auto& [domain, rate] : rates.items())
                call.per_s.at(
                    find(result_.domains, domain, pointer, "domains")) = rate;
            return;
        }
        double total = 0;
        for (std::size_t domain = 0; domain < call.per_s.size(); ++domain)
            total += upstreams_in(domain);
        for (std::size_t domain = 0; domain < call.per_s.size(); ++domain)
            call.per_s[domain] =
                rates.get<double>() * upstreams_in(domain) / total;
    }

    double upstreams_in(std::size_t domain) const
    {
        double count = 0;
        for (const scenario_service& service : result_.services)
            count += static_cast<double>(service.upstreams[domain]);
        return count;
    }

    /// Calls that lead to themselves would never end.
    void check_nesting(std::size_t first, std::size_t call, std::size_t depth)
    {
        if (failure_)
            return;
        for (const nested_call& nested : result_.calls[call].nested) {
            if (nested.type == first || depth > result_.calls.size()) {
                return fail("/calls/" + result_.calls[first].name + "/nested",
                            "found \"" + result_.calls[nested.type].name +
                                "\", which leads to the call itself",
                            "remove the cycle of nested calls");
            }
            check_nesting(first, nested.type, depth + 1);
        }
    }

    template <typename Named>
    std::vector<bool> read_selection(const json& fields,
                                     const char* key,
                                     const std::vector<Named>& known,
                                     const std::string& pointer)
    {
        std::vector<bool> selected(known.size(), !fields.contains(key));
        for (const json& name : fields.value(key, json::array()))
            selected.at(find(known, name, pointer + "/" + key, key)) = true;
        return selected;
    }

    void read_wave_and_bursts()
    {
        const json wave = part("wave", json::object());
        result_.wave = {wave.value("amplitude", 0.0),
                        wave.value("period_s", 1.0)};
        const json bursts = part("bursts", json::array());
        for (std::size_t index = 0; index < bursts.size(); ++index) {
            const json& fields = bursts[index];
            const std::string pointer = "/bursts/" + std::to_string(index);
            result_.bursts.push_back(
                {read_period(fields), fields.at("factor"),
                 read_selection(fields, "calls", result_.calls, pointer),
                 read_selection(fields, "domains", result_.domains, pointer)});
        }
    }

    static period read_period(const json& fields)
    {
        return {fields.at("at_s"), fields.value("for_s", 0.0)};
    }

    void read_events()
    {
        struct change_format
        {
            fleet_change change;
            /// Fields that have no effect on it.
            std::vector<const char*> unused;
        };
        static const std::map<std::string, change_format> changes = {
            {"stop", {fleet_change::stop, {"factor"}}},
            {"slow", {fleet_change::slow, {"cold_ms"}}},
            {"restart", {fleet_change::restart, {"for_s", "factor"}}}};
        const json events = part("events", json::array());
        for (std::size_t index = 0; index < events.size(); ++index) {
            const json& fields = events[index];
            const std::string pointer = "/events/" + std::to_string(index);
            fleet_event event;
            event.when = read_period(fields);
            const change_format& format = changes.at(fields.at("change"));
            event.change = format.change;
            for (const char* unused : format.unused) {
                if (fields.contains(unused))
                    fail(pointer + "/" + unused,
                         "found " + fields.at(unused).dump() +
                             ", which has no effect on " +
                             fields.at("change").dump(),
                         "remove the field");
            }
            event.domain = find(result_.domains, fields.at("domain"),
                                pointer + "/domain", "domains");
            event.service = fields.value("service", "");
            if (!event.service.empty())
                find(result_.services, event.service, pointer + "/service",
                     "services");
            event.share = fields.value("share", 1.0);
            event.factor = fields.value("factor", 1.0);
            event.cold_ms = fields.value("cold_ms", 0.0);
            if (event.change == fleet_change::slow && event.factor == 1)
                fail(pointer + "/factor", "is 1 or absent",
                     "state how many times as long the work takes");
            result_.events.push_back(std::move(event));
        }
    }

    void check_demand()
    {
        double total = 0;
        for (const call_type& call : result_.calls) {
            for (std::size_t domain = 0; domain < call.per_s.size(); ++domain) {
                total += call.per_s[domain];
                if (call.per_s[domain] <= 0 || upstreams_in(domain) > 0)
                    continue;
                fail("/calls/" + call.name + "/per_s/" +
                         result_.domains[domain].name,
                     "found a rate in a domain without upstreams, which has "
                     "no daemon that takes calls",
                     "give the domain an upstream or move the rate to another");
            }
        }
        if (total * result_.seconds > max_calls)
            fail("/seconds",
                 "found " + document_.at("seconds").dump() + ", with " +
                     std::to_string(std::llround(total)) + " calls per second",
                 "lower the rates or the time; a seed may have 2000000 calls");
    }

    /// Daemons would read the same settings, so their parser is used. It needs
    /// addresses and a key, which have no effect here.
    void read_settings()
    {
        json settings = part("settings", json::object());
        settings.update(
            {{"member", "model"},
             {"domain", result_.domains.front().name},
             {"callers", "127.0.0.1:1"},
             {"announcements", "127.0.0.1:2"},
             {"link", "127.0.0.1:3"},
             {"gossip", "127.0.0.1:4"},
             {"operators", "127.0.0.1:5"},
             {"store", "127.0.0.1:6"},
             {"region", result_.domains.front().region},
             {"keys", {{{"id", "k"}, {"secret", std::string(64, '0')}}}}});
        for (const scenario_domain& domain : result_.domains) {
            if (!domain.region.empty())
                settings["domain_regions"][domain.name] = domain.region;
        }
        const auto parsed =
            config::parse_settings(settings.dump(), file_ + ": /settings");
        if (!parsed) {
            failure_ = parsed.error();
            return;
        }
        const config::daemon_settings& values = parsed.value();
        result_.crossings.domain_regions = values.domain_regions;
        result_.crossings.calls_per_mb = {0,
                                          values.domain_crossing_calls_per_mb,
                                          values.region_crossing_calls_per_mb};
        result_.organisation_tolerance = {values.organisation_window,
                                          values.organisation_overrun_share,
                                          values.organisation_overrun_calls};
        result_.saved_extra_attempts = values.saved_extra_attempts;
    }

    void read_config()
    {
        config::document document;
        document.base = part("config", json::object());
        if (document.base.contains("organisations")) {
            return fail("/config/organisations", "is not allowed here",
                        "state limits and ranks in /organisations");
        }
        document.base.emplace("format", "galenarudder-base-1");
        add_services(document.base);
        const json organisations = part("organisations", json::array());
        for (const json& fields : organisations)
            add_organisation(fields, document.base["organisations"]);
        if (auto valid = config::validate(document); !valid)
            return fail_in_config(std::move(valid).error());
        auto effective = config::effective_configuration(document, "");
        if (!effective)
            return fail_in_config(std::move(effective).error());
        result_.in_force = std::move(effective).value();
        for (call_type& call : result_.calls) {
            if (call.rank.empty())
                call.rank = default_rank();
            find(result_.in_force.ranks, call.rank,
                 "/calls/" + call.name + "/rank", "config/ranks");
        }
    }

    /// Adds the services that the base document lacks. Services need routes; a
    /// scenario's calls state what they would, so any one will do.
    void add_services(json& base) const
    {
        json& services = base.emplace("services", json::array()).first.value();
        // The schema check reports a value of another type.
        if (!services.is_array())
            return;
        for (const scenario_service& service : result_.services) {
            const auto listed = std::any_of(
                services.begin(), services.end(), [&](const json& fields) {
                    return fields.is_object() && fields.contains("name") &&
                           fields.at("name") == service.name;
                });
            if (!listed)
                services.push_back({{"name", service.name}});
        }
        const json routes = {{{"prefix", "/"}, {"rank", first_rank(base)}}};
        for (json& fields : services) {
            if (fields.is_object())
                fields.emplace("routes", routes);
        }
    }

    static json first_rank(const json& base)
    {
        const json::json_pointer name("/ranks/0/name");
        return base.contains(name)
                   ? base.at(name)
                   : json(config::default_configuration().ranks.front().name);
    }

    void fail_in_config(error invalid)
    {
        failure_ = std::move(invalid);
        failure_->message = file_ + ": /config: " + failure_->message;
    }

    /// The middle rank, which is `normal` of the built-in ones.
    const std::string& default_rank() const
    {
        const auto& ranks = result_.in_force.ranks;
        return ranks.at((ranks.size() - 1) / 2).name;
    }

    /// Adds an entry with a count as that many organisations.
    void add_organisation(const json& fields, json& policies)
    {
        const auto count = fields.value("count", std::size_t{0});
        for (std::size_t number = 0; number < std::max<std::size_t>(count, 1);
             ++number) {
            scenario_organisation organisation;
            organisation.name = fields.at("name");
            if (count > 0)
                organisation.name += "-" + std::to_string(number + 1);
            organisation.load = fields.value("load", 1.0);
            if (fields.contains("surge")) {
                organisation.surge = read_period(fields.at("surge"));
                organisation.surge_factor = fields.at("surge").at("factor");
            }
            json policy = {{"name", organisation.name}};
            for (const char* key : {"calls_per_s", "burst", "rank"}) {
                if (fields.contains(key))
                    policy[key] = fields.at(key);
            }
            policies.push_back(std::move(policy));
            result_.organisations.push_back(std::move(organisation));
        }
    }

    const json& document_;
    std::string file_;
    scenario result_;
    std::optional<error> failure_;
};

support::result<json> parse_overlay(std::string_view overlay,
                                    std::string_view file)
{
    return config::parse_and_check(overlay, file, R"({"type": "object"})");
}

} // namespace

support::result<scenario> parse_scenario(std::string_view text,
                                         std::string_view file,
                                         std::string_view overlay,
                                         std::string_view overlay_file)
{
    auto parsed = config::parse_and_check(text, file, scenario_schema);
    if (!parsed)
        return std::move(parsed).error();
    json document = std::move(parsed).value();
    std::string source(file);
    if (!overlay.empty()) {
        auto changes = parse_overlay(overlay, overlay_file);
        if (!changes)
            return std::move(changes).error();
        if (!changes.value().contains("name"))
            document["name"] = document.value("name", std::string(file)) +
                               " with " + std::string(overlay_file);
        document.merge_patch(changes.value());
        source += " with " + std::string(overlay_file);
        auto valid = config::check_schema(document, source, scenario_schema);
        if (!valid)
            return std::move(valid).error();
    }
    return scenario_reader(document, std::move(source)).read();
}

} // namespace galenarudder::replay
