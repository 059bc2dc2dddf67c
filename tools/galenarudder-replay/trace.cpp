// Parses traces of the format galenarudder-trace-1.
#include "trace.hpp"

#include "galenarudder/config/document.hpp"
#include "galenarudder/support/json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace galenarudder::replay {

using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

constexpr std::string_view format_name = "galenarudder-trace-1";

/// How the trace writes one upstream_change.
struct change_format
{
    std::string_view name;
    /// Field that holds the amount; empty if the change has none.
    const char* amount_field;
};

/// In the order of upstream_change.
constexpr std::array<change_format, 8> upstream_changes = {{
    {"slow", "factor"},
    {"fail_fast", ""},
    {"recover", ""},
    {"drain", ""},
    {"stop", ""},
    {"start", "cold_ms"},
    {"pause", "for_ms"},
    {"lie", "factor"},
}};

/// In the order of store_change.
constexpr std::array<std::string_view, 4> store_change_names = {
    "down", "up", "slow", "lose_next_answer"};

error malformed(std::size_t line, const std::string& problem)
{
    return {error_kind::invalid_document,
            "trace line " + std::to_string(line) + ": " + problem,
            "correct the line; docs/operators/replay.md states the format"};
}

call_event read_call(const json& call)
{
    call_event event;
    event.id = call.at("id");
    event.service = call.at("service");
    event.rank = call.at("rank");
    event.work_ms = call.at("work_ms");
    event.deadline_ms = call.at("deadline_ms");
    event.repeatable = call.value("repeatable", false);
    event.key = call.value("key", "");
    event.entry = call.value("entry", 0U);
    return event;
}

upstream_event read_upstream_event(const json& fields)
{
    upstream_event event;
    event.id = fields.at("id");
    const auto name = fields.at("event").get<std::string>();
    const auto known = std::find_if(
        upstream_changes.begin(), upstream_changes.end(),
        [&](const change_format& candidate) { return candidate.name == name; });
    if (known == upstream_changes.end())
        throw std::invalid_argument("unknown upstream event " + name);
    event.change =
        static_cast<upstream_change>(known - upstream_changes.begin());
    if (*known->amount_field != '\0')
        event.amount = fields.value(known->amount_field, 0.0);
    return event;
}

store_event read_store_event(const json& fields)
{
    const auto name = fields.at("event").get<std::string>();
    const auto found =
        std::find(store_change_names.begin(), store_change_names.end(), name);
    if (found == store_change_names.end())
        throw std::invalid_argument("unknown store event " + name);
    return {static_cast<store_change>(found - store_change_names.begin()),
            fields.value("ms", 0.0)};
}

trace_event read_event(const json& line)
{
    trace_event event;
    event.offset = support::from_ms(line.at("t_ms"));
    if (line.contains("call"))
        event.details = read_call(line.at("call"));
    else if (line.contains("upstream"))
        event.details = read_upstream_event(line.at("upstream"));
    else
        event.details = read_store_event(line.at("store"));
    return event;
}

upstream_spec read_upstream(const json& fields)
{
    upstream_spec spec;
    spec.id = fields.at("id");
    spec.service = fields.at("service");
    spec.domain = fields.at("domain");
    spec.slots = fields.at("slots");
    spec.probe_cost_ms = fields.value("probe_cost_ms", 0.0);
    spec.connect_cost_ms = fields.value("connect_cost_ms", 0.0);
    return spec;
}

support::result<trace> read_head(const json& line)
{
    if (line.value("format", "") != format_name)
        return malformed(1, "format is not " + std::string(format_name));
    trace result;
    result.seed = line.value("seed", 0U);
    result.entries = line.value("entries", 1U);
    result.one_way_ms = line.value("one_way_ms", 0.0);
    for (const auto& [name, ignored] : line.at("domains").items())
        result.domains.push_back(name);
    for (const json& fields : line.at("upstreams"))
        result.upstreams.push_back(read_upstream(fields));
    config::document document;
    document.base = line.value("config", json::object());
    auto effective = config::effective_configuration(document, "");
    if (!effective)
        return std::move(effective).error();
    result.in_force = std::move(effective).value();
    if (result.entries == 0 || result.domains.empty())
        return malformed(1, "a trace needs entries and domains");
    return result;
}

std::optional<error> check(const trace& parsed_trace, const trace_event& event)
{
    const auto* call = std::get_if<call_event>(&event.details);
    if (call == nullptr)
        return std::nullopt;
    if (!parsed_trace.in_force.rank_index(call->rank))
        return malformed(0, "unknown rank " + call->rank);
    if (call->entry >= parsed_trace.entries)
        return malformed(0,
                         "the call's entry is not below the number of entries");
    return std::nullopt;
}

} // namespace

support::result<trace> parse_trace(std::string_view text)
{
    std::optional<trace> result;
    std::size_t line_number = 0;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        ++line_number;
        if (line.empty())
            continue;
        try {
            const auto parsed = support::parse_json(line);
            if (!parsed)
                return malformed(line_number,
                                 "column " +
                                     std::to_string(parsed.error().column) +
                                     ": " + parsed.error().text);
            const json& fields = parsed.value();
            if (!result) {
                auto head = read_head(fields);
                if (!head)
                    return std::move(head).error();
                result = std::move(head).value();
                continue;
            }
            // galenarudderctl snapshot writes this line; it holds no event.
            if (fields.contains("snapshot"))
                continue;
            trace_event event = read_event(fields);
            if (auto event_error = check(*result, event))
                return malformed(line_number, event_error->message);
            result->events.push_back(std::move(event));
        } catch (const std::exception& failure) {
            return malformed(line_number, failure.what());
        }
    }
    if (!result)
        return malformed(1, "the trace is empty");
    return std::move(*result);
}

} // namespace galenarudder::replay
