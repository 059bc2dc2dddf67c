// When calls leave their failure domain or region: the decision for one call,
// and its effect on demand in waves, outages, stale reports and thin links.
#include "galenarudder/routing/crossing.hpp"
#include "galenarudder/routing/router.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <memory>
#include <queue>

using namespace galenarudder;
using namespace galenarudder::routing;
using support::milliseconds;
using support::time_point;

namespace {

constexpr double none = crossing_inputs::no_upstream;

crossing_settings make_settings()
{
    return {"muc-a",
            {{"muc-a", "muc"}, {"muc-b", "muc"}, {"nue-a", "nue"}},
            {0, 10, 70}};
}

struct decision_row
{
    const char* name;
    std::array<double, distance_count> completion_ms;
    double goal_ms;
    double deadline_ms;
    std::size_t tried;
    distance expected;
    crossing_reason reason;
};

} // namespace

TEST_CASE("a call leaves only when that is worth its bytes", "[crossing]")
{
    const auto row = GENERATE(values<decision_row>({
        {"near is in time",
         {200, 20, 20},
         600,
         4000,
         0,
         distance::same_domain,
         crossing_reason::none},
        {"near may be late, neighbour is not",
         {450, 250, 290},
         600,
         4000,
         0,
         distance::same_region,
         crossing_reason::gain},
        {"a small gain is not worth another region",
         {450, none, 290},
         600,
         4000,
         0,
         distance::same_domain,
         crossing_reason::none},
        {"a large gain is worth another region",
         {900, none, 290},
         600,
         4000,
         0,
         distance::other_region,
         crossing_reason::gain},
        {"no near upstream",
         {none, none, 290},
         600,
         4000,
         0,
         distance::other_region,
         crossing_reason::no_nearer_upstream},
        {"near misses the deadline",
         {700, none, 650},
         600,
         660,
         0,
         distance::other_region,
         crossing_reason::deadline},
        {"refusals lower the price",
         {450, none, 290},
         600,
         4000,
         2,
         distance::other_region,
         crossing_reason::gain},
        {"late already: judged by the deadline",
         {450, 250, 290},
         -5,
         4000,
         0,
         distance::same_domain,
         crossing_reason::none},
        {"no goal",
         {450, 250, 290},
         none,
         none,
         0,
         distance::same_domain,
         crossing_reason::none},
    }));
    INFO(row.name);
    const crossing_choice chosen = choose_distance(
        {row.completion_ms, row.goal_ms, row.deadline_ms, 5000, row.tried},
        make_settings());
    CHECK(chosen.target == row.expected);
    CHECK(chosen.reason == row.reason);
}

TEST_CASE("the share that leaves grows and shrinks step by step", "[crossing]")
{
    // Guards against all calls leaving at once on one piece of old news.
    crossing_share share;
    CHECK_FALSE(share.permit(1, 0.5));
    int permitted = 0;
    for (int call = 0; call < 100; ++call)
        permitted += share.permit(1, 0.5) ? 1 : 0;
    CHECK(permitted > 90);
    CHECK(permitted < 100);
    CHECK_FALSE(share.permit(0.3, 0.5));
    for (int call = 0; call < 60; ++call)
        share.on_stayed();
    CHECK_FALSE(share.permit(1, 0.5));
}

namespace {

constexpr double service_ms = 180;
constexpr std::uint32_t slots = 6;
constexpr std::uint64_t call_bytes = 5000;
constexpr milliseconds goal{600};
constexpr milliseconds deadline{4000};

/// What happens in one play, by failure domain.
struct scenario
{
    const char* name;
    /// Mean calls per second of each entry's domain, swing and phase of waves.
    std::map<std::string, double> calls_per_s;
    double swing = 0;
    /// Upstreams per domain that are gone.
    std::map<std::string, int> missing;
    /// Factor on the service time of a domain.
    std::map<std::string, double> slow;
    /// One-way delay between regions.
    double region_ms = 20;
    /// Whether reports state the load from when their call arrived.
    bool stale_reports = false;
    /// Bounds on the results.
    double least_in_time = 0;
    double most_to_regions = 1;
    int most_swings = 8;
};

struct play_result
{
    int calls = 0;
    int in_time = 0;
    int left_domain = 0;
    int left_region = 0;
    /// Changes between "many leave" and "few leave" from second to second.
    int swings = 0;
};

/// Six entries, one in each domain, and four upstreams in each. An upstream is
/// a first-come, first-served queue with slots.
class play
{
public:
    explicit play(const scenario& played) : scenario_(played)
    {
        for (const char* domain :
             {"muc-a", "muc-b", "nue-a", "nue-b", "rgb-a", "rgb-b"})
            domains_.emplace_back(domain);
        for (const std::string& domain : domains_) {
            auto& entry = entries_[domain];
            entry = std::make_unique<router>(domain, "entry-" + domain);
            entry->set_crossings(settings_for(domain));
        }
        for (const std::string& domain : domains_)
            add_upstreams(domain);
    }

    play_result run()
    {
        constexpr int seconds = 26;
        std::vector<double> due(domains_.size());
        std::vector<int> left_in_second(seconds);
        std::vector<int> calls_in_second(seconds);
        for (int tick = 0; tick < seconds * 1000; ++tick) {
            now_ = time_point(std::chrono::seconds(100)) + milliseconds(tick);
            finish_calls();
            for (std::size_t index = 0; index < domains_.size(); ++index) {
                due[index] += rate(index, tick) / 1000;
                for (; due[index] >= 1; --due[index]) {
                    const bool left = send(domains_[index]);
                    left_in_second[tick / 1000] += left ? 1 : 0;
                    ++calls_in_second[tick / 1000];
                }
            }
        }
        bool many = false;
        for (int second = 0; second < seconds; ++second) {
            const double share = static_cast<double>(left_in_second[second]) /
                                 std::max(1, calls_in_second[second]);
            const bool now_many = many ? share > 0.05 : share > 0.15;
            result_.swings += now_many != many ? 1 : 0;
            many = now_many;
        }
        return result_;
    }

private:
    struct upstream
    {
        std::string domain;
        std::vector<double> free_at_ms = std::vector<double>(slots);
        std::uint32_t open = 0;
    };
    struct open_call
    {
        double ends_ms = 0;
        std::string entry;
        choice chosen;
        time_point sent_at;
        std::uint32_t open_on_arrival = 0;
        bool operator<(const open_call& other) const
        {
            return ends_ms > other.ends_ms;
        }
    };

    static std::string region_of(const std::string& domain)
    {
        return domain.substr(0, 3);
    }
    crossing_settings settings_for(const std::string& own) const
    {
        crossing_settings settings{own, {}, {0, 10, 70}};
        for (const std::string& domain : domains_)
            settings.domain_regions[domain] = region_of(domain);
        return settings;
    }
    void add_upstreams(const std::string& domain)
    {
        const int missing = scenario_.missing.contains(domain)
                                ? scenario_.missing.at(domain)
                                : 0;
        for (int index = 0; index < 4 - missing; ++index) {
            membership::member_record record;
            record.id = domain + "-" + std::to_string(index);
            record.state = membership::member_state::alive;
            record.domain = domain;
            record.service = "plan";
            record.slots = slots;
            upstreams_[record.id].domain = domain;
            for (auto& [name, entry] : entries_)
                entry->on_record(record, now_);
        }
    }
    double rate(std::size_t index, int tick) const
    {
        constexpr double period_ms = 13'000;
        constexpr double pi = 3.14159265358979;
        const double phase = static_cast<double>(index) / 6;
        const double wave = std::sin(2 * pi * (tick / period_ms + phase));
        const auto stated = scenario_.calls_per_s.find(domains_[index]);
        const double mean =
            stated == scenario_.calls_per_s.end() ? 60 : stated->second;
        return mean * (1 + scenario_.swing * wave);
    }
    double one_way_ms(const std::string& from, const std::string& to) const
    {
        if (from == to)
            return 0.2;
        return region_of(from) == region_of(to) ? 0.5 : scenario_.region_ms;
    }
    double now_ms() const { return support::to_ms(now_.time_since_epoch()); }

    bool send(const std::string& domain)
    {
        router& entry = *entries_.at(domain);
        const auto chosen = entry.pick(
            {"plan", 0, {}, {}, now_ + goal, now_ + deadline}, now_, random_);
        entry.on_sent(*chosen, now_);
        upstream& target = upstreams_.at(chosen->member);
        const double delay_ms = one_way_ms(domain, target.domain);
        const auto slot = std::min_element(target.free_at_ms.begin(),
                                           target.free_at_ms.end());
        const double slow = scenario_.slow.contains(target.domain)
                                ? scenario_.slow.at(target.domain)
                                : 1;
        const double spread = 0.5 + support::uniform_unit(random_);
        const double start_ms = std::max(*slot, now_ms() + delay_ms);
        *slot = start_ms + service_ms * spread * slow;
        ++target.open;
        open_.push({*slot + delay_ms, domain, *chosen, now_, target.open});
        ++result_.calls;
        result_.in_time +=
            *slot + delay_ms - now_ms() <= support::to_ms(goal) ? 1 : 0;
        result_.left_domain += target.domain != domain ? 1 : 0;
        result_.left_region +=
            region_of(target.domain) != region_of(domain) ? 1 : 0;
        return region_of(target.domain) != region_of(domain);
    }
    void finish_calls()
    {
        while (!open_.empty() && open_.top().ends_ms <= now_ms()) {
            const open_call ended = open_.top();
            open_.pop();
            upstream& target = upstreams_.at(ended.chosen.member);
            --target.open;
            support::load_report report;
            report.limit = slots;
            const std::uint32_t reported =
                scenario_.stale_reports ? ended.open_on_arrival : target.open;
            report.running = std::min(reported, slots);
            report.waiting = reported - report.running;
            const auto slow = scenario_.slow.find(target.domain);
            report.service_ms =
                service_ms * (slow == scenario_.slow.end() ? 1 : slow->second);
            const router& entry = *entries_.at(ended.entry);
            const support::duration latency = now_ - ended.sent_at;
            report.time_at_gate_ms = support::to_ms(latency) -
                                     2 * one_way_ms(ended.entry, target.domain);
            entry.on_report(ended.chosen, report, latency, now_);
            entry.on_ended(ended.chosen, attempt_result::answered, now_);
            entry.on_bytes(ended.chosen, call_bytes);
        }
    }

    const scenario& scenario_;
    std::vector<std::string> domains_;
    std::map<std::string, std::unique_ptr<router>> entries_;
    std::map<std::string, upstream> upstreams_;
    std::priority_queue<open_call> open_;
    support::random_engine random_{11};
    time_point now_{std::chrono::seconds(100)};
    play_result result_;
};

} // namespace

TEST_CASE("the surplus of a domain leaves it, and not its stream", "[crossing]")
{
    // A domain's four upstreams serve 133 calls a second.
    const auto given = GENERATE(values<scenario>({
        {.name = "room everywhere",
         .swing = 0.55,
         .least_in_time = 0.99,
         .most_to_regions = 0.01,
         .most_swings = 0},
        {.name = "waves above the room of a domain",
         .calls_per_s = {{"muc-a", 110}, {"muc-b", 90}},
         .swing = 0.55,
         .least_in_time = 0.95,
         .most_to_regions = 0.05},
        {.name = "half the upstreams of a domain are gone",
         .calls_per_s = {{"muc-a", 100}},
         .missing = {{"muc-a", 2}},
         .least_in_time = 0.95,
         .most_to_regions = 0.05},
        {.name = "a region is short",
         .calls_per_s = {{"muc-a", 170}, {"muc-b", 150}},
         .least_in_time = 0.85,
         .most_to_regions = 0.25},
        {.name = "a region is slow",
         .slow = {{"nue-a", 4}, {"nue-b", 4}},
         .least_in_time = 0.8,
         .most_to_regions = 0.35},
        {.name = "stale reports",
         .calls_per_s = {{"muc-a", 110}, {"muc-b", 90}},
         .swing = 0.55,
         .stale_reports = true,
         .least_in_time = 0.9,
         .most_to_regions = 0.1},
        {.name = "a thin link between regions",
         .calls_per_s = {{"muc-a", 110}, {"muc-b", 90}},
         .swing = 0.55,
         .region_ms = 200,
         .least_in_time = 0.95,
         .most_to_regions = 0.05},
    }));
    const play_result result = play(given).run();
    const auto share = [&](int count) {
        return static_cast<double>(count) / result.calls;
    };
    INFO(given.name << ": in time " << share(result.in_time)
                    << ", left the domain " << share(result.left_domain)
                    << ", left the region " << share(result.left_region)
                    << ", swings " << result.swings);
    CHECK(share(result.in_time) >= given.least_in_time);
    CHECK(share(result.left_region) <= given.most_to_regions);
    CHECK(result.swings <= given.most_swings);
}

TEST_CASE("the mode and the limit bound how many calls leave", "[crossing]")
{
    struct row
    {
        config::automation_mode mode;
        double leave_share;
        int least;
        int most;
    };
    const auto given = GENERATE(values<row>({
        {config::automation_mode::automatic, 1, 150, 200},
        {config::automation_mode::bounded, 0.25, 20, 80},
        {config::automation_mode::bounded, 0, 0, 0},
        {config::automation_mode::observe, 1, 0, 0},
    }));
    config::configuration in_force = config::default_configuration();
    in_force.modes.at(static_cast<std::size_t>(config::automation::reroute)) =
        given.mode;
    const auto limit = static_cast<std::size_t>(config::limit::leave_share);
    in_force.limits.at(limit) = given.leave_share;
    in_force.bounds.at(limit) = {0, given.leave_share};
    router entry("muc-a", "entry");
    entry.set_crossings(make_settings());
    entry.on_configuration(in_force);
    for (const char* domain : {"muc-a", "muc-b"}) {
        membership::member_record record;
        record.id = domain;
        record.state = membership::member_state::alive;
        record.domain = domain;
        record.service = "plan";
        record.slots = slots;
        entry.on_record(record, {});
    }
    const time_point now{std::chrono::seconds(100)};
    support::random_engine random(3);
    support::load_report busy;
    busy.running = slots;
    busy.waiting = 20;
    busy.limit = slots;
    busy.service_ms = service_ms;
    const std::vector<support::member_id> tried{"muc-b"};
    entry.on_report(*entry.pick({"plan", 0, tried}, now, random), busy,
                    milliseconds(1), now);
    int left = 0;
    for (int call = 0; call < 200; ++call) {
        const auto chosen = entry.pick(
            {"plan", 0, {}, {}, now + goal, now + deadline}, now, random);
        left += chosen->member == "muc-b" ? 1 : 0;
    }
    INFO("left " << left);
    CHECK(left >= given.least);
    CHECK(left <= given.most);
}

TEST_CASE("a call is served only in the regions that are allowed", "[crossing]")
{
    router entry("muc-a", "entry");
    entry.set_crossings(make_settings());
    for (const char* domain : {"muc-a", "nue-a"}) {
        membership::member_record record;
        record.id = std::string(domain) + "-0";
        record.state = membership::member_state::alive;
        record.domain = domain;
        record.service = "plan";
        record.slots = slots;
        entry.on_record(record, {});
    }
    support::random_engine random(1);
    const std::vector<std::string> only_nue{"nue"};
    const std::vector<std::string> elsewhere{"rgb"};
    CHECK(entry.pick({"plan", 0, {}, only_nue}, {}, random)->member ==
          "nue-a-0");
    CHECK_FALSE(entry.pick({"plan", 0, {}, elsewhere}, {}, random));
}
