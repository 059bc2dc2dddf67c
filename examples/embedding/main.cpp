// Uses routing and admission without the daemon: picks an upstream for each
// job, admits it at that upstream's gate, and prints how the jobs were
// distributed.
#include <galenarudder/admission/gate.hpp>
#include <galenarudder/config/configuration.hpp>
#include <galenarudder/membership/record.hpp>
#include <galenarudder/routing/router.hpp>
#include <galenarudder/support/random.hpp>

#include <iostream>
#include <map>
#include <memory>

using namespace galenarudder;

namespace {

constexpr int job_count = 300;
constexpr std::uint32_t slots = 4;
constexpr support::milliseconds job_interval{2};
constexpr support::milliseconds job_deadline{500};

membership::member_record upstream(const std::string& id,
                                   const std::string& domain)
{
    membership::member_record record;
    record.id = id;
    record.incarnation = 1;
    record.state = membership::member_state::alive;
    record.domain = domain;
    record.service = "press";
    record.slots = slots;
    return record;
}

/// Counts the attempts that the gate starts and those that it refuses.
struct attempt_counts
{
    int started = 0;
    int refused = 0;

    void operator()(const admission::start&) { ++started; }
    void operator()(const admission::refuse&) { ++refused; }
    void operator()(const admission::abort_running&) {}
};

} // namespace

int main()
{
    const config::configuration in_force = config::default_configuration();
    support::random_engine random{7};
    support::time_point now{std::chrono::seconds(1)};

    routing::router router("bilbao");
    router.on_configuration(in_force);
    std::map<std::string, std::unique_ptr<admission::gate>> gates;
    std::map<std::string, attempt_counts> counts_by_member;
    for (const char* id : {"press-1", "press-2", "press-3"}) {
        router.on_record(upstream(id, "bilbao"), now);
        gates[id] = std::make_unique<admission::gate>(in_force);
        gates[id]->on_upstream_announced(slots, now);
    }

    int without_upstream = 0;
    for (int job = 0; job < job_count; ++job) {
        now += job_interval;
        const auto target = router.pick({"press", 0, {}}, now, random);
        if (!target) {
            ++without_upstream;
            continue;
        }
        router.on_sent(*target, now);
        admission::gate& gate = *gates.at(target->member);
        const admission::attempt_key key{
            0, static_cast<support::attempt_id>(job + 1)};
        const auto actions =
            gate.offer({key, "urgent", now + job_deadline, false}, now);
        for (const auto& action : actions)
            std::visit(counts_by_member[target->member], action);
        gate.on_ended(key, admission::run_result::answered, job_interval, now);
        router.on_ended(*target, routing::attempt_result::answered, now);
    }

    int started = 0;
    for (const auto& [id, counts] : counts_by_member) {
        std::cout << id << ": started " << counts.started << ", refused "
                  << counts.refused << "\n";
        started += counts.started;
    }
    const bool all_started = without_upstream == 0 && started == job_count;
    std::cout << (all_started ? "every job started\n"
                              : "some jobs did not start\n");
    return all_started ? 0 : 1;
}
