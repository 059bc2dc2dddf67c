// Turns are measured in wall-clock time: a turn keeps the loop also while the
// thread waits for the processor.
#include "galenarudder/telemetry/turn_monitor.hpp"

#include "galenarudder/telemetry/log.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <algorithm>
#include <ctime>
#include <string>
#include <utility>

namespace galenarudder::telemetry {

namespace {

support::duration thread_processor_time()
{
    std::timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) +
           std::chrono::nanoseconds(spent.tv_nsec);
}

double to_seconds(support::duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

turn_monitor::turn::turn(turn_monitor& monitor, std::string_view name)
    : monitor_(monitor), name_(name), begin_(support::monotonic_clock::now())
{
}

turn_monitor::turn::~turn()
{
    monitor_.on_turn(name_, support::monotonic_clock::now() - begin_);
}

bool turn_monitor::totals::add(support::duration length)
{
    const bool long_turn = length > long_turn_bound;
    longest = std::max(longest, length);
    ++count;
    over_bound += long_turn ? 1 : 0;
    return long_turn;
}

void turn_monitor::on_turn(std::string_view name, support::duration length)
{
    {
        const std::lock_guard lock(mutex_);
        if (!turns_[name].add(length))
            return;
    }
    log_event(log_kind::state_change, "loop.turn_long",
              {{"turn", name},
               {"turn_ms", support::to_ms(length)},
               {"bound_ms", long_turn_bound.count()}});
}

void turn_monitor::on_timer(support::time_point due, support::time_point now)
{
    const support::duration processor_time = thread_processor_time();
    support::duration spent{0};
    {
        const std::lock_guard lock(mutex_);
        spent = processor_time - std::exchange(processor_time_, processor_time);
        if (!delays_.add(now - due))
            return;
    }
    // The processor time since the last timer tells a loop that was kept by its
    // own work from one that got no processor.
    log_event(log_kind::state_change, "loop.delayed",
              {{"delay_ms", support::to_ms(now - due)},
               {"processor_ms", support::to_ms(spent)},
               {"bound_ms", long_turn_bound.count()}});
}

support::duration turn_monitor::longest_turn(std::string_view name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = turns_.find(name);
    return found == turns_.end() ? support::duration(0) : found->second.longest;
}

support::duration turn_monitor::longest_delay() const
{
    const std::lock_guard lock(mutex_);
    return delays_.longest;
}

void turn_monitor::collect(metrics& registry) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& [name, turn_totals] : turns_) {
        const std::vector<metric_label> labels = {{"turn", std::string(name)}};
        registry.set_gauge(
            "galenarudder_loop_longest_turn_seconds",
            "Longest time for which one turn kept the event loop",
            to_seconds(turn_totals.longest), labels);
        registry.set_counter("galenarudder_loop_turns_total",
                             "Turns of the event loop that were measured",
                             labels, static_cast<double>(turn_totals.count));
        registry.set_counter("galenarudder_loop_long_turns_total",
                             "Turns that were longer than 50 ms", labels,
                             static_cast<double>(turn_totals.over_bound));
    }
    registry.set_counter("galenarudder_loop_delays_total",
                         "Timers that were more than 50 ms late", {},
                         static_cast<double>(delays_.over_bound));
}

} // namespace galenarudder::telemetry
