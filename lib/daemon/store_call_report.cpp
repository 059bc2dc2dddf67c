// One line has one number for each purpose.
#include "galenarudder/daemon/store_call_report.hpp"

#include "galenarudder/telemetry/log.hpp"

namespace galenarudder::daemon {

void store_call_report::on_tick(const store::call_counts& counts,
                                support::time_point now)
{
    if (next_line_ == support::time_point{})
        next_line_ = now + interval;
    if (now < next_line_)
        return;
    next_line_ = now + interval;
    write(counts);
}

void store_call_report::finish(const store::call_counts& counts)
{
    write(counts);
}

void store_call_report::write(const store::call_counts& counts)
{
    const auto sent_since = [&](store::call_purpose purpose) {
        const auto index = static_cast<std::size_t>(purpose);
        return counts.at(index).sent - reported_.at(index).sent;
    };
    const auto stale_since = [&](store::call_purpose purpose) {
        const auto index = static_cast<std::size_t>(purpose);
        return counts.at(index).may_be_stale - reported_.at(index).may_be_stale;
    };
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        sent += counts.at(index).sent - reported_.at(index).sent;
        failed += counts.at(index).failed - reported_.at(index).failed;
    }
    if (sent != 0) {
        using store::call_purpose;
        telemetry::log_event(
            telemetry::log_kind::state_change, "store.calls",
            {{"sent", sent},
             {"failed", failed},
             {"introducers", sent_since(call_purpose::introducers)},
             {"introducers_stale", stale_since(call_purpose::introducers)},
             {"introducer_slot", sent_since(call_purpose::introducer_slot)},
             {"configuration_read",
              sent_since(call_purpose::configuration_read)},
             {"configuration_read_stale",
              stale_since(call_purpose::configuration_read)},
             {"configuration_watch",
              sent_since(call_purpose::configuration_watch)},
             {"configuration_restore",
              sent_since(call_purpose::configuration_restore)},
             {"lease", sent_since(call_purpose::lease)},
             {"claims", sent_since(call_purpose::claims)},
             {"emptied_domains", sent_since(call_purpose::emptied_domains)}});
    }
    reported_ = counts;
}

} // namespace galenarudder::daemon
