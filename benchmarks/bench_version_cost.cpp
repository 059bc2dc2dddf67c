// Measures the processor time of a version in all, by the number of routes and
// of those that it changes: at a daemon that gets the version from the store,
// at one that gets a patch from a peer, and at one that starts. Also the memory
// of a daemon's document, and the cost of changed and presented keys by the
// number of organisations.
#include "../lib/organisations/key_index.hpp"
#include "operator_configuration.hpp"

#include "galenarudder/rollout/build.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace galenarudder;
using nlohmann::json;
using rollout::built_document_ptr;

namespace {

constexpr rollout::document_reader reader = {platform::translate_configuration,
                                             platform::translate_shared};
/// At most 3 ms of a core for one route of 2,100.
constexpr double target_ms = 3;
constexpr std::size_t bounded_routes = 2100;
constexpr std::uint64_t versions = 12;

json configuration_of(std::size_t routes)
{
    json written = {
        {"version", 1},
        {"routes",
         {{"columns",
           {"name", "authority", "prefix", "type", "timeout", "goal",
            "priority", "split", "attempts", "service"}},
          {"rows", json::array()}}},
        {"services",
         {{"columns", {"name", "healthPath", "maxConns"}},
          {"rows", {{"s0", "/healthz", 50}, {"s1", "/healthz", 60}}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 1048576},
          {"header", "3000ms"},
          {"idle", "15000ms"}}}};
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string text = std::to_string(number);
        written["routes"]["rows"].push_back(
            {"route-" + text, "h" + std::to_string(number % 40) + ".example",
             "/catalogue/" + text + "/", "idempotent", "1500ms", "600ms",
             number % 4, nullptr, 2, "s" + std::to_string(number % 2)});
    }
    return written;
}

double processor_ms()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 +
           static_cast<double>(now.tv_nsec) / 1e6;
}

built_document_ptr build(const rollout::build_input& input, double& spent_ms)
{
    const double begin_ms = processor_ms();
    auto built = rollout::build(input);
    spent_ms += processor_ms() - begin_ms;
    if (!built) {
        std::fprintf(stderr, "bench_version_cost: %s\n",
                     built.error().message.c_str());
        std::exit(1);
    }
    return std::move(built).value();
}

void print(const std::string& name, std::size_t routes, double value_ms)
{
    std::printf("{\"name\":\"%s_at_%zu_routes\",\"value\":%.3f,\"unit\":\"ms "
                "of a core\"",
                name.c_str(), routes, value_ms);
}

void print_cost(const std::string& name,
                std::size_t routes,
                double value_ms,
                bool bounded)
{
    print(name, routes, value_ms);
    if (bounded) {
        std::printf(",\"target\":%.1f,\"better\":\"less\",\"met\":%s",
                    target_ms, value_ms <= target_ms ? "true" : "false");
    }
    std::printf("}\n");
}

/// Changes \p changed routes in each of the versions.
void measure(std::size_t routes, std::size_t changed, const std::string& name)
{
    json written = configuration_of(routes);
    double unused_ms = 0;
    built_document_ptr watcher =
        build({{{}, {}, written.dump()}, nullptr, "norte", reader}, unused_ms);
    built_document_ptr peer = watcher;
    double watcher_ms = 0;
    double peer_ms = 0;
    for (std::uint64_t version = 2; version <= 1 + versions; ++version) {
        written["version"] = version;
        for (std::size_t count = 0; count < changed; ++count) {
            const std::size_t row = (version * 131 + count) % routes;
            written["routes"]["rows"][row][4] =
                std::to_string(1500 + version) + "ms";
        }
        watcher = build({{{}, {}, written.dump()}, watcher, "norte", reader},
                        watcher_ms);
        rollout::transfer received{{}, watcher->id, watcher->text};
        if (!watcher->patch.empty()) {
            received.from = peer->id;
            received.body = watcher->patch;
        }
        peer = build({received, peer, "norte", reader}, peer_ms);
    }
    const bool bounded = routes == bounded_routes && changed == 1;
    print_cost("version_" + name + "_from_store", routes, watcher_ms / versions,
               bounded);
    print_cost("version_" + name + "_from_peer", routes, peer_ms / versions,
               bounded);
}

void measure_start(std::size_t routes)
{
    const std::string text = configuration_of(routes).dump();
    const std::size_t before = mallinfo2().uordblks;
    double spent_ms = 0;
    const built_document_ptr built =
        build({{{}, {}, text}, nullptr, "norte", reader}, spent_ms);
    const std::size_t after = mallinfo2().uordblks;
    print_cost("version_first", routes, spent_ms, false);
    std::printf("{\"name\":\"version_memory_at_%zu_routes\",\"value\":%.2f,"
                "\"unit\":\"MB\"}\n",
                routes, static_cast<double>(after - before) / 1e6);
}

/// Changes one key of one organisation in each of the versions, then looks up
/// keys.
void measure_organisations(std::size_t count)
{
    json written = configuration_of(60);
    written["tenants"] = {{"columns", {"name", "apiKeys", "priority"}},
                          {"rows", json::array()}};
    for (std::size_t number = 0; number < count; ++number) {
        const std::string text = std::to_string(number);
        written["tenants"]["rows"].push_back(
            {"tenant-" + text, {"key-" + text, "other-" + text}, number % 3});
    }
    double unused_ms = 0;
    built_document_ptr watcher =
        build({{{}, {}, written.dump()}, nullptr, "norte", reader}, unused_ms);
    built_document_ptr peer = watcher;
    double watcher_ms = 0;
    double peer_ms = 0;
    for (std::uint64_t version = 2; version <= 1 + versions; ++version) {
        written["version"] = version;
        written["tenants"]["rows"][version * 131 % count][1][1] =
            "new-" + std::to_string(version);
        watcher = build({{{}, {}, written.dump()}, watcher, "norte", reader},
                        watcher_ms);
        peer = build(
            {{peer->id, watcher->id, watcher->patch}, peer, "norte", reader},
            peer_ms);
    }
    constexpr std::size_t lookups = 100'000;
    std::size_t found = 0;
    const double begin_ms = processor_ms();
    for (std::size_t number = 0; number < lookups; ++number) {
        const std::string key = "key-" + std::to_string(number % count);
        found += peer->effective->organisation_keys->find(key) ? 1 : 0;
    }
    const double lookup_us = (processor_ms() - begin_ms) * 1e3 / lookups;
    const auto print_organisations = [&](const char* name, double value,
                                         const char* unit) {
        std::printf("{\"name\":\"%s_at_%zu_organisations\",\"value\":%.3f,"
                    "\"unit\":\"%s of a core\"}\n",
                    name, count, value, unit);
    };
    print_organisations("version_one_key_changed_from_store",
                        watcher_ms / versions, "ms");
    print_organisations("version_one_key_changed_from_peer", peer_ms / versions,
                        "ms");
    if (found == lookups)
        print_organisations("key_lookup", lookup_us, "us");
}

} // namespace

int main()
{
    for (const std::size_t count : {72UL, 10'000UL})
        measure_organisations(count);
    for (const std::size_t routes : {60UL, bounded_routes, 10'000UL}) {
        measure_start(routes);
        measure(routes, 1, "one_route_changed");
        measure(routes, std::max<std::size_t>(routes / 100, 1),
                "1_percent_changed");
        measure(routes, routes, "all_changed");
    }
    return 0;
}
