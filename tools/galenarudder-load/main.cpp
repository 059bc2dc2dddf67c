// galenarudder-load: open-loop HTTP load with outcomes and percentiles.
#include "generator.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(targets, "", "addresses to call, separated by commas");
DEFINE_string(method, "GET", "HTTP method");
DEFINE_string(path, "/", "path and query");
DEFINE_string(fields, "", "request fields as Name:value, separated by |");
DEFINE_uint64(body_bytes, 0, "size of each request's body");
DEFINE_uint64(connections, 64, "keep-alive connections");
DEFINE_double(rate,
              0,
              "calls per second, whether or not answers come; 0 sends the "
              "next call of each connection after its answer");
DEFINE_uint64(calls, 0, "calls to send; 0 takes rate times seconds");
DEFINE_double(seconds, 10, "how long calls are sent at the rate");
DEFINE_bool(keyed, false, "give each call an Idempotency-Key of its own");
DEFINE_uint64(timeout_ms, 30000, "longest wait for one answer");
DEFINE_string(output, "text", "text or json");

namespace {

constexpr int exit_unclean = 1;
constexpr int exit_usage = 2;

std::vector<std::string> split(const std::string& list, char by)
{
    std::vector<std::string> parts;
    std::istringstream text(list);
    for (std::string part; std::getline(text, part, by);) {
        if (part.empty())
            continue;
        parts.push_back(part);
    }
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace galenarudder;
    gflags::SetUsageMessage(
        "galenarudder-load --targets A:P[,A:P] [--rate R --seconds S | "
        "--calls N]\nexit codes: 0 every call was answered or refused, 1 an "
        "answer was crossed or cut or no target was reached, 2 usage");
    gflags::SetVersionString(GALENARUDDER_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    load::plan plan;
    for (const std::string& target : split(FLAGS_targets, ',')) {
        auto where = config::parse_endpoint(target);
        if (!where) {
            std::cerr << support::describe(where.error()) << "\n";
            return exit_usage;
        }
        plan.targets.push_back(std::move(where).value());
    }
    plan.method = FLAGS_method;
    plan.path = FLAGS_path;
    plan.fields = split(FLAGS_fields, '|');
    plan.body_bytes = FLAGS_body_bytes;
    plan.connections = FLAGS_connections;
    plan.rate = FLAGS_rate;
    plan.calls = FLAGS_calls != 0
                     ? FLAGS_calls
                     : static_cast<std::uint64_t>(FLAGS_rate * FLAGS_seconds);
    plan.keyed = FLAGS_keyed;
    plan.timeout = support::milliseconds(FLAGS_timeout_ms);
    if (plan.targets.empty() || plan.calls == 0 || plan.connections == 0) {
        std::cerr << "nothing to send; give --targets and --calls or --rate\n";
        return exit_usage;
    }
    const load::load_report report = load::run(plan);
    const load::summary& seen = report.outcomes;
    std::cout << (FLAGS_output == "json" ? seen.json(report.took) + "\n"
                                         : seen.table(report.took));
    const std::uint64_t bad = seen.count(load::call_end::crossed) +
                              seen.count(load::call_end::cut) +
                              seen.count(load::call_end::unreachable);
    return bad == 0 ? 0 : exit_unclean;
}
