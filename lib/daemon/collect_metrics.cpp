// Tables of the counters by name.
#include "collect_metrics.hpp"

namespace galenarudder::daemon {

namespace {

struct link_row
{
    const char* name;
    const char* help;
    std::atomic<std::uint64_t> link::hub_counters::*count;
};

constexpr link_row link_rows[] = {
    {"galenarudder_link_malformed_messages_total",
     "Link messages that break the protocol",
     &link::hub_counters::malformed_messages},
    {"galenarudder_link_unauthenticated_total",
     "Link handshakes that failed and messages before one",
     &link::hub_counters::unauthenticated},
    {"galenarudder_link_timeouts_total", "Links closed because of silence",
     &link::hub_counters::links_timed_out},
    {"galenarudder_link_late_answers_total",
     "Answers that came after their call had ended",
     &link::hub_counters::late_answers},
    {"galenarudder_links_opened_total", "Links opened to gates",
     &link::hub_counters::links_opened},
    {"galenarudder_links_lost_total", "Open links to gates that broke",
     &link::hub_counters::links_lost},
};

constexpr config::automation automations[] = {
    config::automation::eject,       config::automation::shed,
    config::automation::hedge,       config::automation::retry,
    config::automation::adapt_limit, config::automation::reroute};

constexpr telemetry::decision_effect effects[] = {
    telemetry::decision_effect::acted, telemetry::decision_effect::limited,
    telemetry::decision_effect::observed};

void collect_decisions(const telemetry::decision_log& from,
                       telemetry::metrics& into)
{
    for (const config::automation what : automations) {
        for (const telemetry::decision_effect effect : effects) {
            into.set_total("galenarudder_decisions_total",
                           "Automated decisions by kind and effect",
                           {{"kind", std::string(to_string(what))},
                            {"effect", std::string(to_string(effect))}},
                           static_cast<double>(from.count(what, effect)));
        }
    }
}

} // namespace

void collect(const node& from, telemetry::metrics& into)
{
    collect_decisions(from.decisions(), into);
    into.set("galenarudder_configuration_version",
             "Version of the configuration in force",
             static_cast<double>(from.member().self().configuration_version));
}

void collect(const link::hub_counters& from, telemetry::metrics& into)
{
    for (const link_row& row : link_rows) {
        into.set_total(row.name, row.help, {},
                       static_cast<double>((from.*row.count).load()));
    }
}

} // namespace galenarudder::daemon
