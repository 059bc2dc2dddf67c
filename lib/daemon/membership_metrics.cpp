// Maps each counter to its metric in one table row.
#include "galenarudder/daemon/membership_metrics.hpp"

namespace galenarudder::daemon {

namespace {

using membership::member_counters;
using store::store_counters;

template <typename Counters>
struct metric_row
{
    const char* name;
    const char* help;
    std::uint64_t Counters::*value;
};

constexpr metric_row<member_counters> member_rows[] = {
    {"galenarudder_membership_bytes_sent_total",
     "Bytes of membership sent, headers included",
     &member_counters::bytes_sent},
    {"galenarudder_membership_bytes_received_total",
     "Bytes of membership received, headers included",
     &member_counters::bytes_received},
    {"galenarudder_membership_datagrams_sent_total", "Datagrams sent",
     &member_counters::datagrams_sent},
    {"galenarudder_membership_datagrams_received_total", "Datagrams received",
     &member_counters::datagrams_received},
    {"galenarudder_membership_dropped_total",
     "Datagrams received and not taken, for any reason",
     &member_counters::datagrams_dropped},
    {"galenarudder_membership_malformed_total", "Malformed datagrams",
     &member_counters::malformed},
    {"galenarudder_membership_oversized_total", "Oversized datagrams",
     &member_counters::oversized},
    {"galenarudder_membership_unauthenticated_total",
     "Datagrams whose signature does not match",
     &member_counters::unauthenticated},
    {"galenarudder_membership_replayed_total", "Datagrams sent again",
     &member_counters::replayed},
    {"galenarudder_membership_former_life_total",
     "Datagrams of a process that has been replaced",
     &member_counters::former_life},
    {"galenarudder_membership_misdirected_total",
     "Datagrams meant for another member", &member_counters::misdirected},
    {"galenarudder_membership_probes_failed_total",
     "Probes not answered directly nor through relays",
     &member_counters::probes_failed},
    {"galenarudder_membership_suspicions_total", "Members suspected",
     &member_counters::suspicions},
    {"galenarudder_membership_deaths_total", "Members declared dead",
     &member_counters::deaths},
    {"galenarudder_membership_refutations_total",
     "Times this member refuted a claim about itself",
     &member_counters::refutations},
    {"galenarudder_membership_held_back_total",
     "Datagrams that waited for the byte budget", &member_counters::held_back},
    {"galenarudder_membership_pauses_total",
     "Spans in which this process did not run", &member_counters::pauses},
};

constexpr metric_row<store_counters> store_rows[] = {
    {"galenarudder_store_reads_total", "Reads sent to the store",
     &store_counters::reads},
    {"galenarudder_store_writes_total", "Writes sent to the store",
     &store_counters::writes},
    {"galenarudder_store_watches_total", "Watches sent to the store",
     &store_counters::watches},
    {"galenarudder_store_over_budget_total",
     "Calls not sent, as the budget was spent", &store_counters::over_budget},
    {"galenarudder_store_failures_total", "Calls to the store that failed",
     &store_counters::failures},
};

template <typename Counters, std::size_t Size>
void set_counters(telemetry::metrics& registry,
                  const metric_row<Counters> (&rows)[Size],
                  const Counters& counters)
{
    for (const metric_row<Counters>& row : rows)
        registry.set_gauge(row.name, row.help,
                           static_cast<double>(counters.*row.value));
}

} // namespace

void set_metrics(telemetry::metrics& registry,
                 const membership::member& local_member)
{
    set_counters(registry, member_rows, local_member.counters());
    registry.set_gauge("galenarudder_membership_live_members",
                       "Members known as present, this one included",
                       static_cast<double>(local_member.live_count()));
    registry.set_gauge("galenarudder_membership_budget_bytes",
                       "Bytes that may be sent at once; negative while in debt",
                       local_member.available_budget_bytes());
}

void set_metrics(telemetry::metrics& registry, const store_counters& counters)
{
    set_counters(registry, store_rows, counters);
    for (std::size_t index = 0; index < store::call_purpose_count; ++index) {
        const store::purpose_counts& calls = counters.by_purpose.at(index);
        const std::string purpose(
            to_string(static_cast<store::call_purpose>(index)));
        const auto set = [&](const char* outcome, std::uint64_t count) {
            registry.set_counter("galenarudder_store_calls_total",
                                 "Calls to the store by purpose and outcome",
                                 {{"purpose", purpose}, {"outcome", outcome}},
                                 static_cast<double>(count));
        };
        set("answered", calls.sent - calls.failed);
        set("failed", calls.failed);
    }
}

} // namespace galenarudder::daemon
