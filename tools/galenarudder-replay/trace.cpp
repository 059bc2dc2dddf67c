// Reads traces of the format galenarudder-trace-1.
#include "trace.hpp"

#include "galenarudder/config/document.hpp"

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

struct upstream_row
{
    std::string_view name;
    /// Field that carries the amount; empty when there is none.
    const char* amount_field;
};

constexpr std::array<upstream_row, 8> upstream_rows = {{
    {"slow", "factor"},
    {"fail_fast", ""},
    {"recover", ""},
    {"drain", ""},
    {"stop", ""},
    {"start", "cold_ms"},
    {"pause", "for_ms"},
    {"lie", "factor"},
}};

constexpr std::array<std::string_view, 4> store_names = {"down", "up", "slow",
                                                         "lose_next_answer"};

error malformed(std::size_t line, const std::string& why)
{
    return {error_kind::invalid_document,
            "trace line " + std::to_string(line) + ": " + why,
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

upstream_event read_upstream_event(const json& stated)
{
    upstream_event event;
    event.id = stated.at("id");
    const auto name = stated.at("event").get<std::string>();
    const auto row = std::find_if(
        upstream_rows.begin(), upstream_rows.end(),
        [&](const upstream_row& known) { return known.name == name; });
    if (row == upstream_rows.end())
        throw std::invalid_argument("unknown upstream event " + name);
    event.what = static_cast<upstream_change>(row - upstream_rows.begin());
    if (*row->amount_field != '\0')
        event.amount = stated.value(row->amount_field, 0.0);
    return event;
}

store_event read_store_event(const json& stated)
{
    const auto name = stated.at("event").get<std::string>();
    const auto found = std::find(store_names.begin(), store_names.end(), name);
    if (found == store_names.end())
        throw std::invalid_argument("unknown store event " + name);
    return {static_cast<store_change>(found - store_names.begin()),
            stated.value("ms", 0.0)};
}

trace_event read_event(const json& line)
{
    trace_event event;
    event.at = support::from_ms(line.at("t_ms"));
    if (line.contains("call"))
        event.what = read_call(line.at("call"));
    else if (line.contains("upstream"))
        event.what = read_upstream_event(line.at("upstream"));
    else
        event.what = read_store_event(line.at("store"));
    return event;
}

upstream_spec read_upstream(const json& stated)
{
    upstream_spec spec;
    spec.id = stated.at("id");
    spec.service = stated.at("service");
    spec.domain = stated.at("domain");
    spec.slots = stated.at("slots");
    spec.probe_cost_ms = stated.value("probe_cost_ms", 0.0);
    spec.connect_cost_ms = stated.value("connect_cost_ms", 0.0);
    return spec;
}

support::result<trace> read_head(const json& line)
{
    if (line.value("format", "") != format_name)
        return malformed(1, "format is not " + std::string(format_name));
    trace whole;
    whole.seed = line.value("seed", 0U);
    whole.entries = line.value("entries", 1U);
    whole.one_way_ms = line.value("one_way_ms", 0.0);
    for (const auto& [name, ignored] : line.at("domains").items())
        whole.domains.push_back(name);
    for (const json& stated : line.at("upstreams"))
        whole.upstreams.push_back(read_upstream(stated));
    config::document document;
    document.base = line.value("config", json::object());
    auto effective = config::effective_configuration(document, "");
    if (!effective)
        return std::move(effective).error();
    whole.in_force = std::move(effective).value();
    if (whole.entries == 0 || whole.domains.empty())
        return malformed(1, "a trace needs entries and domains");
    return whole;
}

std::optional<error> check(const trace& whole, const trace_event& event)
{
    const auto* call = std::get_if<call_event>(&event.what);
    if (call == nullptr)
        return std::nullopt;
    if (!whole.in_force.rank_index(call->rank))
        return malformed(0, "unknown rank " + call->rank);
    if (call->entry >= whole.entries)
        return malformed(0, "entry is not below entries");
    return std::nullopt;
}

} // namespace

support::result<trace> parse_trace(std::string_view text)
{
    std::optional<trace> whole;
    std::size_t number = 0;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        ++number;
        if (line.empty())
            continue;
        try {
            const json parsed = json::parse(line);
            if (!whole) {
                auto head = read_head(parsed);
                if (!head)
                    return std::move(head).error();
                whole = std::move(head).value();
                continue;
            }
            // Written by galenarudderctl snapshot; nothing to replay.
            if (parsed.contains("snapshot"))
                continue;
            trace_event event = read_event(parsed);
            if (auto wrong = check(*whole, event))
                return malformed(number, wrong->message);
            whole->events.push_back(std::move(event));
        } catch (const std::exception& failure) {
            return malformed(number, failure.what());
        }
    }
    if (!whole)
        return malformed(1, "the trace is empty");
    return std::move(*whole);
}

} // namespace galenarudder::replay
