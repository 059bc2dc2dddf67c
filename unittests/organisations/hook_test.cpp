// The hook through which calls of this daemon ask the limiter, on a real I/O
// context.
#include "galenarudder/proxy/organisation_limits.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <thread>

namespace galenarudder::proxy {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

config::configuration with_limit(double calls_per_s, double burst)
{
    auto in_force = config::default_configuration();
    config::organisation_policy limited;
    limited.name = "limited";
    limited.calls_per_s = calls_per_s;
    limited.burst = burst;
    config::organisation_policy free;
    free.name = "free";
    for (const auto& policy : {free, limited})
        in_force.organisations.push_back(
            std::make_shared<const config::organisation_policy>(policy));
    return in_force;
}

struct hook_fixture
{
    explicit hook_fixture(config::configuration first)
        : in_force(std::make_shared<const config::configuration>(first))
    {
        limits_context context{io.get_executor(), &in_force, &metrics,
                               &decisions, [](const auto&, std::string) {}};
        limits = std::make_shared<organisation_limits>(
            context, "only", organisations::peer_expectation::none,
            organisations::tolerance{}, 1);
        limits->configure(first);
        limits->on_members({});
        // The only member gets its share after this time.
        std::this_thread::sleep_for(organisations::fleet::settling_time +
                                    100ms);
        limits->on_tick();
        std::this_thread::sleep_for(500ms);
    }

    std::vector<limit_result> call(const std::string& organisation, int count)
    {
        std::vector<limit_result> results;
        support::call_head head;
        head.organisation = organisation;
        for (int index = 0; index < count; ++index)
            asio::co_spawn(io, admit(head, results), asio::detached);
        io.restart();
        io.run_for(200ms);
        return results;
    }

    /// Keeps the result out of co_spawn's handler: GCC 12 on arm64 warns that
    /// the variant passed to it may be uninitialized.
    asio::awaitable<void> admit(support::call_head head,
                                std::vector<limit_result>& results)
    {
        results.push_back(co_await limits->admit(head));
    }

    asio::io_context io;
    telemetry::metrics metrics;
    telemetry::decision_log decisions;
    support::rcu_cell<config::configuration> in_force;
    std::shared_ptr<organisation_limits> limits;
};

std::size_t refused_count(const std::vector<limit_result>& results)
{
    std::size_t refused = 0;
    for (const limit_result& result : results) {
        const auto* reason = std::get_if<support::refusal>(&result);
        if (reason == nullptr)
            continue;
        ++refused;
        CHECK(reason->kind == support::refusal_kind::organisation_limit);
        CHECK(reason->outcome == support::run_outcome::not_run);
        CHECK(reason->retry_after > 0ms);
    }
    return refused;
}

} // namespace

// Guards against calls that hang in the hook, and against refusals that do not
// say when to retry.
TEST_CASE("calls above the limit are refused, others pass")
{
    hook_fixture fixture(with_limit(20, 5));
    CHECK(refused_count(fixture.call("free", 100)) == 0);
    CHECK(refused_count(fixture.call("", 100)) == 0);
    const auto results = fixture.call("limited", 40);
    REQUIRE(results.size() == 40);
    const std::size_t refused = refused_count(results);
    CHECK(refused >= 30);
    CHECK(refused < 40);
    CHECK(fixture.decisions.count(config::automation::organisation_limit,
                                  telemetry::decision_effect::acted) == 1);
    fixture.limits->collect_metrics();
    CHECK(fixture.metrics.render().find(
              "galenarudder_organisation_refused_total{organisation="
              "\"limited\"} " +
              std::to_string(refused)) != std::string::npos);
}

// Guards against an observed limit that refuses or delays calls.
TEST_CASE("in mode observe calls pass and refusals are counted")
{
    auto observing = with_limit(20, 5);
    observing.modes.at(
        static_cast<std::size_t>(config::automation::organisation_limit)) =
        config::automation_mode::observe;
    hook_fixture fixture(observing);
    const auto results = fixture.call("limited", 40);
    CHECK(results.size() == 40);
    CHECK(refused_count(results) == 0);
    CHECK(fixture.decisions.count(config::automation::organisation_limit,
                                  telemetry::decision_effect::observed) == 1);
}

} // namespace galenarudder::proxy
