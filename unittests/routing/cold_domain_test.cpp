// Entries and gates together while all upstreams of one domain are cold.
#include "galenarudder/admission/gate.hpp"
#include "galenarudder/routing/router.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>

namespace galenarudder::routing {

namespace {

using namespace std::chrono_literals;
using admission::attempt_key;

constexpr double cold_calls_per_s = 4;
constexpr std::uint32_t slots = 6;
constexpr std::size_t per_domain = 4;
constexpr support::time_point start_time{100s};
constexpr support::time_point cold_until = start_time + 60s;

/// One upstream with its gate.
struct simulated_upstream
{
    simulated_upstream() : gate(config::default_configuration()) {}

    admission::gate gate;
    std::vector<support::time_point> starts;
    std::multimap<support::time_point, attempt_key> ends;
    /// Number of refused calls that are to return in each second of the cold
    /// time.
    std::map<std::int64_t, int> returns;
};

/// What became of the calls.
struct totals
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
};

/// Entries in both domains that send calls evenly. A call that is handed back
/// is sent elsewhere.
class simulation
{
public:
    explicit simulation(bool west_is_cold)
    {
        for (const char* domain : {"east", "west"}) {
            entries_.push_back(std::make_unique<router>(domain, domain));
            for (std::size_t index = 0; index < per_domain; ++index)
                upstreams[std::string(domain) + std::to_string(index)];
        }
        for (auto& [id, upstream] : upstreams) {
            upstream.gate.set_cold_rate(cold_calls_per_s, now);
            upstream.gate.on_upstream_announced(slots, now);
            if (west_is_cold || id.starts_with("east"))
                upstream.gate.on_cold_stated(
                    admission::cold_source::announcement,
                    std::chrono::duration_cast<support::milliseconds>(
                        cold_until - now),
                    now);
            membership::member_record record;
            record.id = id;
            record.state = membership::member_state::alive;
            record.domain = id.substr(0, 4);
            record.service = "alpha";
            record.slots = slots;
            for (auto& entry : entries_)
                entry->on_record(record, now);
        }
    }

    void run(support::duration span, double calls_per_s)
    {
        const auto interval = support::from_ms(1000 / calls_per_s);
        auto next_call = now;
        for (const auto end = now + span; now < end; now += 5ms) {
            for (auto& [id, upstream] : upstreams)
                end_calls(id, upstream);
            for (; next_call <= now; next_call += interval)
                send_call();
            for (auto& [id, upstream] : upstreams)
                carry_out(id, upstream.gate.on_tick(now));
        }
    }

    std::size_t most_in_a_second(const std::string& domain) const
    {
        std::size_t most = 0;
        for (const auto& [id, upstream] : upstreams) {
            if (!id.starts_with(domain))
                continue;
            for (const auto begin : upstream.starts) {
                const auto within = [&](support::time_point start) {
                    return start >= begin && start < begin + 1s;
                };
                most = std::max<std::size_t>(
                    most, static_cast<std::size_t>(
                              std::count_if(upstream.starts.begin(),
                                            upstream.starts.end(), within)));
            }
        }
        return most;
    }

    std::map<std::string, simulated_upstream> upstreams;
    totals urgent;
    totals bulk;
    support::time_point now = start_time;

private:
    struct open_call
    {
        std::size_t entry = 0;
        choice target;
        support::time_point sent_at;
        support::time_point deadline;
        std::vector<support::member_id> tried;
        bool is_urgent = false;
    };
    static constexpr support::duration service_time = 100ms;

    totals& totals_of(const open_call& call)
    {
        return call.is_urgent ? urgent : bulk;
    }
    void send_call()
    {
        const std::uint64_t id = ++last_id_;
        open_call call;
        call.entry = id % entries_.size();
        call.sent_at = now;
        call.deadline = now + 1s;
        call.is_urgent = id % 8 < 2;
        send(id, std::move(call));
    }
    /// Sends the call to the next upstream. The last one may not hand it back.
    void send(std::uint64_t id, open_call call)
    {
        const auto chosen = entries_[call.entry]->pick(
            {"alpha", call.is_urgent ? 0U : 1U, call.tried, {}}, now, random_);
        if (!chosen) {
            ++totals_of(call).refused;
            return;
        }
        call.target = *chosen;
        call.tried.push_back(chosen->member);
        entries_[call.entry]->on_sent(*chosen, now);
        admission::attempt attempt;
        attempt.key = {1, static_cast<support::attempt_id>(id)};
        attempt.rank = call.is_urgent ? "urgent" : "bulk";
        attempt.deadline = call.deadline;
        // As call_flow does.
        attempt.may_hand_back =
            chosen->alternatives > 0 && call.tried.size() <= 3;
        const std::string member = chosen->member;
        calls_[id] = std::move(call);
        carry_out(member, upstreams.at(member).gate.offer(attempt, now));
    }
    void carry_out(const std::string& member,
                   const std::vector<admission::action>& actions)
    {
        simulated_upstream& upstream = upstreams.at(member);
        for (const admission::action& next : actions) {
            if (const auto* started = std::get_if<admission::start>(&next)) {
                upstream.starts.push_back(now);
                upstream.ends.emplace(now + service_time, started->key);
            }
            if (const auto* refused = std::get_if<admission::refuse>(&next))
                on_refused(upstream, *refused);
        }
    }
    void on_refused(simulated_upstream& upstream,
                    const admission::refuse& refused)
    {
        const auto id = static_cast<std::uint64_t>(refused.key.id);
        open_call call = calls_.at(id);
        calls_.erase(id);
        report(upstream, call, attempt_result::refused);
        if (refused.refusal.kind == support::refusal_kind::rate_limited &&
            call.target.alternatives > 0 && call.tried.size() <= 3)
            return send(id, std::move(call));
        // Calls are not kept away from an upstream that is no longer cold, and
        // no more of them return in a second of the cold time than may start.
        const support::time_point place = now + refused.refusal.retry_after;
        CHECK(place <= cold_until + 1s);
        if (place < cold_until) {
            const auto second = std::chrono::floor<std::chrono::seconds>(
                                    place.time_since_epoch())
                                    .count();
            CHECK(++upstream.returns[second] <= cold_calls_per_s);
        }
        ++totals_of(call).refused;
    }
    void end_calls(const std::string& member, simulated_upstream& upstream)
    {
        while (!upstream.ends.empty() && upstream.ends.begin()->first <= now) {
            const attempt_key key = upstream.ends.begin()->second;
            upstream.ends.erase(upstream.ends.begin());
            const auto id = static_cast<std::uint64_t>(key.id);
            const open_call call = calls_.at(id);
            calls_.erase(id);
            const bool in_time = now <= call.deadline;
            ++(in_time ? totals_of(call).in_time : totals_of(call).late);
            const auto actions = upstream.gate.on_ended(
                key, admission::run_result::answered, service_time, now);
            report(upstream, call, attempt_result::answered);
            carry_out(member, actions);
        }
    }
    void report(const simulated_upstream& upstream,
                const open_call& call,
                attempt_result result)
    {
        const router& entry = *entries_[call.entry];
        support::load_report load = upstream.gate.report(now);
        entry.on_report(call.target, load, now - call.sent_at, now);
        entry.on_ended(call.target, result, now);
    }

    std::vector<std::unique_ptr<router>> entries_;
    std::map<std::uint64_t, open_call> calls_;
    std::uint64_t last_id_ = 0;
    support::random_engine random_{1};
};

} // namespace

TEST_CASE("a cold domain's calls are served by the warm one", "[routing]")
{
    simulation fleet(false);
    fleet.run(10s, 80);
    CHECK(fleet.most_in_a_second("east") <= cold_calls_per_s);
    // The 4 cold upstreams take 16 calls a second, the warm ones 240.
    CHECK(fleet.urgent.in_time + fleet.bulk.in_time >= 0.98 * 800);
    CHECK(fleet.urgent.late + fleet.bulk.late == 0);
    CHECK(fleet.urgent.refused == 0);
}

TEST_CASE("when all upstreams are cold the urgent calls are served and the "
          "others refused",
          "[routing]")
{
    simulation fleet(true);
    fleet.run(10s, 80);
    CHECK(fleet.most_in_a_second("east") <= cold_calls_per_s);
    CHECK(fleet.most_in_a_second("west") <= cold_calls_per_s);
    // 32 calls a second are taken; 20 of 80 are urgent.
    CAPTURE(fleet.urgent.in_time, fleet.urgent.late, fleet.urgent.refused,
            fleet.bulk.in_time, fleet.bulk.late, fleet.bulk.refused);
    CHECK(fleet.urgent.in_time >= 0.9 * 200);
    CHECK(fleet.urgent.in_time + fleet.bulk.in_time >= 0.85 * 320);
    CHECK(fleet.urgent.late + fleet.bulk.late <= 5);
}

} // namespace galenarudder::routing
