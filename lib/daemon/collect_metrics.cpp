// Maps the counters to metric names.
#include "collect_metrics.hpp"

namespace galenarudder::daemon {

namespace {

struct link_row
{
    const char* name;
    const char* help;
    std::atomic<std::uint64_t> link::link_counters::*count;
};

constexpr link_row link_rows[] = {
    {"galenarudder_link_malformed_messages_total",
     "Link messages that break the protocol",
     &link::link_counters::malformed_messages},
    {"galenarudder_link_unauthenticated_total",
     "Link handshakes that failed and messages before one",
     &link::link_counters::unauthenticated},
    {"galenarudder_link_timeouts_total", "Links closed because of silence",
     &link::link_counters::links_timed_out},
    {"galenarudder_link_late_answers_total",
     "Answers that came after their call had ended",
     &link::link_counters::late_answers},
    {"galenarudder_links_opened_total", "Links opened to gates",
     &link::link_counters::links_opened},
    {"galenarudder_links_lost_total", "Open links to gates that broke",
     &link::link_counters::links_lost},
};

constexpr config::automation automations[] = {
    config::automation::eject,
    config::automation::shed,
    config::automation::hedge,
    config::automation::retry,
    config::automation::adapt_limit,
    config::automation::reroute,
    config::automation::organisation_limit,
    config::automation::cold_admission,
    config::automation::organisation_turns};

constexpr telemetry::decision_effect effects[] = {
    telemetry::decision_effect::acted, telemetry::decision_effect::limited,
    telemetry::decision_effect::observed};

void collect_decision_counts(const telemetry::decision_log& decisions,
                             telemetry::metrics& registry)
{
    for (const config::automation kind : automations) {
        for (const telemetry::decision_effect effect : effects) {
            registry.set_counter(
                "galenarudder_decisions_total",
                "Automated decisions by kind and effect",
                {{"kind", std::string(to_string(kind))},
                 {"effect", std::string(to_string(effect))}},
                static_cast<double>(decisions.count(kind, effect)));
        }
    }
}

void collect_crossings(const routing::crossing_counters& counters,
                       telemetry::metrics& registry)
{
    for (std::size_t index = 0; index < routing::distance_count; ++index) {
        const std::string length(
            to_string(static_cast<routing::distance>(index)));
        registry.set_counter(
            "galenarudder_routed_bytes_total",
            "Bytes of requests and responses by distance of the upstream",
            {{"distance", length}},
            static_cast<double>(counters.bytes.at(index).load()));
        for (std::size_t reason = 0; reason < routing::crossing_reason_count;
             ++reason) {
            registry.set_counter(
                "galenarudder_routed_calls_total",
                "Attempts by distance of the upstream and reason",
                {{"distance", length},
                 {"reason",
                  std::string(to_string(
                      static_cast<routing::crossing_reason>(reason)))}},
                static_cast<double>(
                    counters.calls.at(index).at(reason).load()));
        }
    }
}

} // namespace

void collect(const node& daemon_node, telemetry::metrics& registry)
{
    collect_crossings(daemon_node.router().crossings(), registry);
    collect_decision_counts(daemon_node.decisions(), registry);
    registry.set_counter(
        "galenarudder_entry_turned_away_cold_total",
        "Calls refused because no cold upstream can start them in time", {},
        static_cast<double>(daemon_node.router().turned_away_cold()));
}

void collect(const link::link_counters& counters, telemetry::metrics& registry)
{
    for (const link_row& row : link_rows) {
        registry.set_counter(row.name, row.help, {},
                             static_cast<double>((counters.*row.count).load()));
    }
}

} // namespace galenarudder::daemon
