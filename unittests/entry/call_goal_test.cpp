// Guards against bytes on the links of deployments without cold limits, and
// against gates that do not learn when a call is late.
#include "galenarudder/proxy/entry.hpp"

#include <catch2/catch.hpp>

namespace galenarudder::proxy {

TEST_CASE("an entry tells gates when a call is late if its service has a cold "
          "limit and its route a goal")
{
    using support::milliseconds;
    struct row
    {
        double cold_calls_per_s;
        milliseconds goal;
        std::optional<milliseconds> told;
    };
    const auto given =
        GENERATE(values<row>({{11, milliseconds(400), milliseconds(400)},
                              {11, milliseconds(0), std::nullopt},
                              {0, milliseconds(400), std::nullopt}}));
    config::configuration in_force = config::default_configuration();
    config::service_policy service;
    service.name = "playout";
    service.cold_calls_per_s = given.cold_calls_per_s;
    in_force.services.push_back(service);
    config::host_route route;
    route.host = "radio.example";
    route.prefix = "/";
    route.rank = "normal";
    route.deadline = milliseconds(1500);
    route.goal = given.goal;
    route.services = {{"playout", 1}};
    in_force.host_routes.push_back(
        std::make_shared<const config::host_route>(route));
    const routing::router router{"hall"};
    const support::rcu_cell<config::configuration> cell{
        std::make_unique<const config::configuration>(in_force)};
    telemetry::metrics metrics;
    const entry tested(router, cell, metrics,
                       [](const routing::choice&) { return nullptr; });
    support::call_head head;
    head.method = "GET";
    head.target = "/episode";
    const auto result =
        tested.classify(std::move(head), "radio.example",
                        support::time_point(std::chrono::hours(1)), "10.0.0.9");
    CHECK(std::get<classified_call>(result).head.time_until_late == given.told);
}

} // namespace galenarudder::proxy
