// Poisson arrivals whose rate follows waves, bursts and surges.
#include "demand.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace galenarudder::replay {

namespace {

constexpr double ms_per_s = 1000;

double surge_at(const scenario_organisation& organisation, double time_s)
{
    return organisation.surge.contains(time_s) ? organisation.surge_factor : 1;
}

/// Returns the load of each organisation at a time, in units of its usual load
/// over that of all.
std::vector<double> organisation_loads(const scenario& played, double time_s)
{
    double usual = 0;
    for (const scenario_organisation& organisation : played.organisations)
        usual += organisation.load;
    std::vector<double> loads;
    for (const scenario_organisation& organisation : played.organisations) {
        const double load = organisation.load * surge_at(organisation, time_s);
        loads.push_back(usual > 0 ? load / usual : 0);
    }
    return loads;
}

double total_load(const scenario& played, double time_s)
{
    if (played.organisations.empty())
        return 1;
    double total = 0;
    for (const double load : organisation_loads(played, time_s))
        total += load;
    return total;
}

/// The loads of organisations, which change only where a surge begins or ends.
/// They are computed once for each span between, since they are needed for
/// every drawn call.
class organisation_demand
{
public:
    explicit organisation_demand(const scenario& played)
    {
        if (played.organisations.empty())
            return;
        std::vector<double> changes = {0};
        for (const scenario_organisation& organisation : played.organisations) {
            const period& surge = organisation.surge;
            changes.push_back(surge.at_s);
            changes.push_back(surge.at_s + surge.for_s);
        }
        std::sort(changes.begin(), changes.end());
        changes.erase(std::unique(changes.begin(), changes.end()),
                      changes.end());
        for (const double begin_s : changes) {
            const std::vector<double> loads =
                organisation_loads(played, begin_s);
            spans_.push_back({begin_s,
                              total_load(played, begin_s),
                              {loads.begin(), loads.end()}});
        }
    }

    double total_at(double time_s) const
    {
        return spans_.empty() ? 1 : at(time_s).total;
    }

    /// Must not be called if there are no organisations.
    std::size_t draw(double time_s, support::random_engine& random) const
    {
        std::discrete_distribution<std::size_t> choice(at(time_s).choice);
        return choice(random);
    }

private:
    struct span
    {
        double begin_s = 0;
        double total = 1;
        std::discrete_distribution<std::size_t>::param_type choice;
    };

    const span& at(double time_s) const
    {
        const auto next = std::upper_bound(spans_.begin(), spans_.end(), time_s,
                                           [](double time, const span& listed) {
                                               return time < listed.begin_s;
                                           });
        return *std::prev(next);
    }

    std::vector<span> spans_;
};

/// An upper bound of demand_at, for drawing by rejection.
double
demand_bound(const scenario& played, std::size_t type, std::size_t domain)
{
    double bound =
        played.calls[type].per_s[domain] * (1 + played.wave.amplitude);
    for (const demand_burst& burst : played.bursts) {
        if (burst.calls[type] && burst.domains[domain])
            bound *= std::max(1.0, burst.factor);
    }
    double surge = 1;
    for (const scenario_organisation& organisation : played.organisations)
        surge = std::max(surge, organisation.surge_factor);
    return bound * surge;
}

/// Draws from a log-normal distribution with the type's mean and spread.
double draw_work_ms(const call_type& type, support::random_engine& random)
{
    if (type.work_spread <= 0)
        return type.work_ms;
    const double variance = std::log1p(type.work_spread * type.work_spread);
    std::lognormal_distribution<double> work(
        std::log(type.work_ms) - variance / 2, std::sqrt(variance));
    return work(random);
}

/// Returns the calls per second without the surges of organisations.
double rate_without_surges(const scenario& played,
                           std::size_t type,
                           std::size_t domain,
                           double time_s)
{
    const double turns =
        time_s / played.wave.period_s + played.domains[domain].phase;
    double rate =
        played.calls[type].per_s[domain] *
        (1 + played.wave.amplitude * std::sin(2 * std::numbers::pi * turns));
    for (const demand_burst& burst : played.bursts) {
        if (burst.when.contains(time_s) && burst.calls[type] &&
            burst.domains[domain])
            rate *= burst.factor;
    }
    return rate;
}

/// Draws work and nested calls of \p call, whose type is set.
void draw_work(const scenario& played,
               planned_call& call,
               support::random_engine& random)
{
    const call_type& type = played.calls[call.type];
    call.work_ms = draw_work_ms(type, random);
    for (const nested_call& nested : type.nested) {
        if (support::uniform_unit(random) >= nested.share)
            continue;
        for (std::size_t number = 0; number < nested.count; ++number) {
            planned_call& added = call.nested.emplace_back();
            added.type = nested.type;
            draw_work(played, added, random);
        }
    }
}

void draw_arrivals(const scenario& played,
                   const organisation_demand& organisations,
                   std::size_t type,
                   std::size_t domain,
                   support::random_engine& random,
                   std::vector<planned_call>& calls)
{
    const double bound = demand_bound(played, type, domain);
    if (bound <= 0)
        return;
    std::exponential_distribution<double> interval_s(bound);
    for (double time_s = interval_s(random); time_s < played.seconds;
         time_s += interval_s(random)) {
        const double rate = rate_without_surges(played, type, domain, time_s) *
                            organisations.total_at(time_s);
        if (support::uniform_unit(random) * bound >= rate)
            continue;
        planned_call& call = calls.emplace_back();
        call.type = type;
        call.at_ms = time_s * ms_per_s;
        call.domain = domain;
        if (!played.organisations.empty())
            call.organisation = organisations.draw(time_s, random);
        call.entry_choice = random();
        draw_work(played, call, random);
    }
}

} // namespace

double demand_at(const scenario& played,
                 std::size_t type,
                 std::size_t domain,
                 double time_s)
{
    return rate_without_surges(played, type, domain, time_s) *
           total_load(played, time_s);
}

std::vector<planned_call> draw_demand(const scenario& played,
                                      std::uint64_t seed)
{
    const organisation_demand organisations(played);
    std::vector<planned_call> calls;
    for (std::size_t type = 0; type < played.calls.size(); ++type) {
        for (std::size_t domain = 0; domain < played.domains.size(); ++domain) {
            auto random = make_random(seed, random_purpose::demand,
                                      type * played.domains.size() + domain);
            draw_arrivals(played, organisations, type, domain, random, calls);
        }
    }
    std::stable_sort(calls.begin(), calls.end(),
                     [](const planned_call& left, const planned_call& right) {
                         return left.at_ms < right.at_ms;
                     });
    return calls;
}

support::random_engine
make_random(std::uint64_t seed, random_purpose purpose, std::uint64_t number)
{
    std::seed_seq sequence{seed, seed >> 32U,
                           static_cast<std::uint64_t>(purpose), number};
    return support::random_engine(sequence);
}

} // namespace galenarudder::replay
