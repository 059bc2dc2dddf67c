// galenarudder-load: generates HTTP load, at a fixed rate or per connection,
// and prints outcomes and latency percentiles.
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
              "calls per second, sent without waiting for answers; 0 sends the "
              "next call of each connection after its answer");
DEFINE_uint64(calls, 0, "calls to send; 0 takes rate times seconds");
DEFINE_double(seconds, 10, "how long calls are sent at the rate");
DEFINE_bool(keyed, false, "give each call an Idempotency-Key of its own");
DEFINE_uint64(timeout_ms, 30000, "longest wait for one answer");
DEFINE_string(output, "text", "text or json");

namespace {

/// Some answer belonged to another call or was cut off, or some call reached no
/// target.
constexpr int exit_unclean = 1;
constexpr int exit_usage = 2;

std::vector<std::string> split(const std::string& list, char separator)
{
    std::vector<std::string> parts;
    std::istringstream text(list);
    for (std::string part; std::getline(text, part, separator);) {
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
    load::plan load_plan;
    for (const std::string& target : split(FLAGS_targets, ',')) {
        auto endpoint = config::parse_endpoint(target);
        if (!endpoint) {
            std::cerr << support::describe(endpoint.error()) << "\n";
            return exit_usage;
        }
        load_plan.targets.push_back(std::move(endpoint).value());
    }
    load_plan.method = FLAGS_method;
    load_plan.path = FLAGS_path;
    load_plan.fields = split(FLAGS_fields, '|');
    load_plan.body_bytes = FLAGS_body_bytes;
    load_plan.connections = FLAGS_connections;
    load_plan.rate = FLAGS_rate;
    load_plan.calls =
        FLAGS_calls != 0
            ? FLAGS_calls
            : static_cast<std::uint64_t>(FLAGS_rate * FLAGS_seconds);
    load_plan.send_idempotency_keys = FLAGS_keyed;
    load_plan.timeout = support::milliseconds(FLAGS_timeout_ms);
    if (load_plan.targets.empty() || load_plan.calls == 0 ||
        load_plan.connections == 0) {
        std::cerr << "nothing to send; give --targets and --calls or --rate\n";
        return exit_usage;
    }
    const load::load_report report = load::run(load_plan);
    const load::summary& outcomes = report.outcomes;
    std::cout << (FLAGS_output == "json" ? outcomes.json(report.run_time) + "\n"
                                         : outcomes.table(report.run_time));
    const std::uint64_t unclean =
        outcomes.count(load::call_outcome::crossed) +
        outcomes.count(load::call_outcome::cut) +
        outcomes.count(load::call_outcome::unreachable);
    return unclean == 0 ? 0 : exit_unclean;
}
