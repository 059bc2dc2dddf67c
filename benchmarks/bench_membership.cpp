// Membership cores over an in-memory datagram fake at several sizes: bytes and
// processor time of a member, time until all know a join, a leave and a crash,
// false suspicions at 5% loss, time to heal a split. One JSON object a line.
#include "../test/fakes/membership_fleet.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <ctime>
#include <iostream>
#include <optional>
#include <sstream>

DEFINE_string(sizes, "50,100,200,400,1400", "sizes of the fleets");

namespace {

using namespace galenarudder;
using fakes::membership_fleet;
using membership::member_counters;
using membership::member_state;
using std::chrono::seconds;

/// The users' bounds for one daemon at 1,400 upstreams.
constexpr double target_bytes_per_second = 4096;
constexpr double target_core_share = 0.029;
/// No new work 2 s after a drain notice.
constexpr double target_leave_s = 2;
constexpr std::size_t failure_domains = 8;
/// Larger fleets are not started cold nor split, to bound the bench's time.
constexpr std::size_t largest_storm = 400;
constexpr std::size_t regions = 3;
constexpr double lossy = 0.05;

struct load
{
    double bytes_per_second = 0;
    double core_share = 0;
};

struct figures
{
    std::size_t members = 0;
    /// Time until all know all after a start of the whole fleet at once.
    std::optional<double> start_s;
    load idle;
    double join_s = 0;
    double leave_s = 0;
    double crash_s = 0;
    std::optional<double> heal_s;
    double false_suspicions_per_hour = 0;
    double false_deaths = 0;
    load at_loss;
};

double cpu_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) +
           static_cast<double>(spent.tv_nsec) / 1e9;
}

double in_seconds(support::duration span)
{
    return support::to_ms(span) / 1000;
}

/// Bytes sent and received and processor time of a member over a span; the
/// fake's own time is counted too.
load measure_load(membership_fleet& fleet, seconds span)
{
    const auto bytes = [&] {
        return fleet.total(&member_counters::bytes_sent) +
               fleet.total(&member_counters::bytes_received);
    };
    const std::uint64_t bytes_before = bytes();
    const double cpu_before = cpu_seconds();
    fleet.run(span);
    const double cpu = cpu_seconds() - cpu_before;
    const double share =
        static_cast<double>(fleet.size()) * static_cast<double>(span.count());
    return {static_cast<double>(bytes() - bytes_before) / share, cpu / share};
}

double measure_leave(membership_fleet& fleet)
{
    constexpr std::size_t leaver = 5;
    fleet.set_state(leaver, member_state::draining);
    const double took = in_seconds(fleet.run(seconds(60), [&] {
        return fleet.all_record_state(leaver, member_state::draining);
    }));
    fleet.set_state(leaver, member_state::alive);
    fleet.run(seconds(3));
    return took;
}

double measure_crash(membership_fleet& fleet)
{
    constexpr std::size_t victim = 6;
    fleet.crash(victim);
    const double took = in_seconds(fleet.run(seconds(120), [&] {
        return fleet.all_record_state(victim, member_state::dead);
    }));
    fleet.start(victim);
    fleet.run(seconds(30),
              [&] { return fleet.all_have_live_count(fleet.size()); });
    return took;
}

/// Cuts one region off until both sides hold the other for dead, or a minute.
double measure_heal(membership_fleet& fleet)
{
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.process_at(index).partition = index % regions == 0 ? 1 : 0;
    fleet.run(seconds(60));
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.process_at(index).partition = 0;
    return in_seconds(fleet.run(
        seconds(240), [&] { return fleet.all_have_live_count(fleet.size()); }));
}

figures measure(std::size_t members)
{
    fakes::fleet_options options;
    options.members = members;
    options.domains = failure_domains;
    options.introducers = failure_domains;
    options.know_each_other = members > largest_storm;
    membership_fleet fleet(options);
    figures found;
    found.members = members;
    const support::duration started = fleet.run(
        seconds(120), [&] { return fleet.all_have_live_count(fleet.size()); });
    if (!options.know_each_other)
        found.start_s = in_seconds(started);
    // Young members compare digests more often.
    fleet.run(seconds(25));
    found.idle = measure_load(fleet, seconds(15));
    const std::size_t joined = fleet.add();
    found.join_s = in_seconds(fleet.run(seconds(60), [&] {
        return fleet.all_record_state(joined, member_state::alive) &&
               fleet.member_at(joined).live_count() == fleet.size();
    }));
    found.leave_s = measure_leave(fleet);
    found.crash_s = measure_crash(fleet);
    const seconds lossy_span(30);
    const std::uint64_t suspicions = fleet.total(&member_counters::refutations);
    const std::uint64_t deaths = fleet.total(&member_counters::deaths);
    fleet.set_loss(lossy);
    found.at_loss = measure_load(fleet, lossy_span);
    fleet.set_loss(0);
    found.false_suspicions_per_hour =
        static_cast<double>(fleet.total(&member_counters::refutations) -
                            suspicions) *
        3600 / static_cast<double>(lossy_span.count());
    found.false_deaths =
        static_cast<double>(fleet.total(&member_counters::deaths) - deaths);
    if (!options.know_each_other)
        found.heal_s = measure_heal(fleet);
    return found;
}

void print(const std::string& name,
           double value,
           const char* unit,
           std::optional<double> target = std::nullopt)
{
    nlohmann::json line = {{"name", "membership_" + name},
                           {"value", std::round(value * 1e6) / 1e6},
                           {"unit", unit},
                           {"better", "less"}};
    if (target) {
        line["target"] = *target;
        line["met"] = value <= *target;
    }
    std::cout << line.dump() << std::endl;
}

void print(const figures& found)
{
    const std::string size = "_at_" + std::to_string(found.members);
    // The bounds are for the largest fleet; smaller ones keep within them too.
    print("bytes_per_second" + size, found.idle.bytes_per_second, "B/s",
          target_bytes_per_second);
    print("core_share" + size, found.idle.core_share, "core",
          target_core_share);
    print("bytes_per_second_lossy" + size, found.at_loss.bytes_per_second,
          "B/s", target_bytes_per_second);
    print("leave_known" + size, found.leave_s, "s", target_leave_s);
    if (found.start_s)
        if (found.start_s)
            print("start_all_known" + size, *found.start_s, "s");
    print("join_known" + size, found.join_s, "s");
    print("crash_known" + size, found.crash_s, "s");
    if (found.heal_s)
        print("heal" + size, *found.heal_s, "s");
    print("false_suspicions_per_hour_lossy" + size,
          found.false_suspicions_per_hour, "1/h");
    print("false_deaths_lossy" + size, found.false_deaths, "deaths", 0);
}

/// Least-squares slope of a figure over the number of members.
double slope(const std::vector<figures>& all, double load::*figure)
{
    double mean_x = 0;
    double mean_y = 0;
    for (const figures& one : all) {
        mean_x += static_cast<double>(one.members);
        mean_y += one.idle.*figure;
    }
    mean_x /= static_cast<double>(all.size());
    mean_y /= static_cast<double>(all.size());
    double products = 0;
    double squares = 0;
    for (const figures& one : all) {
        const double off = static_cast<double>(one.members) - mean_x;
        products += off * (one.idle.*figure - mean_y);
        squares += off * off;
    }
    return squares == 0 ? 0 : products / squares;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<figures> all;
    std::istringstream sizes(FLAGS_sizes);
    for (std::string size; std::getline(sizes, size, ',');) {
        all.push_back(measure(std::stoul(size)));
        print(all.back());
    }
    print("bytes_per_second_slope", slope(all, &load::bytes_per_second),
          "B/s per member");
    print("core_share_slope", slope(all, &load::core_share), "core per member");
    return 0;
}
