// Stand-in for an upstream: echoes bodies after a service time and announces
// itself. A test can make it slow, let it fail or shed calls, or let it report
// a wrong load.
#include "galenarudder/http/client.hpp"
#include "galenarudder/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>

DEFINE_string(listen, "127.0.0.1:0", "address for calls");
DEFINE_string(announce, "", "announcement port of the daemon on this VM");
DEFINE_string(service, "", "service to announce");
DEFINE_uint32(slots, 9, "calls that run at once");
DEFINE_uint32(connections, 220, "connections that the upstream allows");
DEFINE_double(service_ms, 4, "time that one call runs");
DEFINE_double(probe_ms, 0, "time that one probe takes");

namespace galenarudder::standins {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::uint64_t max_body_bytes = 256ULL << 20;
constexpr support::milliseconds heartbeat_interval{1000};
constexpr support::milliseconds announce_timeout{500};

/// Faults, set by /stand-in/set?name=value while the stand-in runs.
struct fault_settings
{
    /// Multiplies the service time.
    double slow_factor = 1;
    /// Multiplies the running calls that a probe is told.
    double lie_factor = 1;
    /// Calls run and end at once with status 500.
    bool fail = false;
    /// Calls are refused and don't run.
    bool shed = false;
    double pause_until_ms = 0;
};

/// Counts since the start, returned by /stand-in/counts.
struct counts
{
    std::uint64_t runs = 0;
    std::uint64_t finished = 0;
    std::uint64_t probes = 0;
    /// Runs by idempotency key.
    std::map<std::string, std::uint64_t> runs_by_key;
};

/// The upstream with its slots and faults.
class upstream
{
public:
    explicit upstream(asio::io_context& io)
        : io_(io), slot_freed_(io, asio::steady_timer::time_point::max())
    {
    }

    asio::awaitable<http::response> answer(http::request received);
    asio::awaitable<void> announce_repeatedly(config::endpoint local_endpoint,
                                              config::endpoint daemon);

private:
    using handler =
        asio::awaitable<http::response> (upstream::*)(http::request&);
    struct route
    {
        std::string_view path;
        handler handle;
    };
    static const route routes[];

    asio::awaitable<http::response> run_call(http::request& received);
    asio::awaitable<http::response> load_response(http::request&);
    asio::awaitable<http::response> set_faults(http::request& received);
    asio::awaitable<http::response> counts_response(http::request&);
    asio::awaitable<void> sleep_ms(double ms);
    asio::awaitable<void> take_slot();
    void free_slot();

    asio::io_context& io_;
    asio::steady_timer slot_freed_;
    fault_settings faults_;
    counts counts_;
    std::uint32_t running_ = 0;
};

const upstream::route upstream::routes[] = {
    {"/stand-in/load", &upstream::load_response},
    {"/stand-in/set", &upstream::set_faults},
    {"/stand-in/counts", &upstream::counts_response},
};

namespace {

const std::string* find_field(const http::request& received,
                              std::string_view name)
{
    for (const http::field& field : received.fields) {
        if (field.name == name)
            return &field.value;
    }
    return nullptr;
}

/// Copies the request fields that tests look at to the answer.
void copy_fields(const http::request& received, http::response& answer)
{
    for (const char* name :
         {"X-Nonce", "Galenarudder-Rank", "Galenarudder-Depth",
          "Galenarudder-Deadline-Ms"}) {
        const std::string* value = find_field(received, name);
        if (value != nullptr)
            answer.fields.push_back({name, *value});
    }
}

http::response
make_response(unsigned status, std::string type, std::string body)
{
    return {status, std::move(type), std::move(body), {}};
}

http::response shed_response()
{
    return {503, "text/plain", "shed", {{"Galenarudder-Outcome", "not-run"}}};
}

http::response echo_response(http::request& received)
{
    http::response answer = make_response(200, "application/octet-stream",
                                          std::move(received.body));
    answer.fields.push_back({"X-Upstream", FLAGS_listen});
    copy_fields(received, answer);
    return answer;
}

http::client_request announce_request(std::string body)
{
    return {"PUT", "/v1/upstream", std::move(body), {}};
}

} // namespace

asio::awaitable<void> upstream::sleep_ms(double ms)
{
    asio::steady_timer timer(io_, support::from_ms(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> upstream::take_slot()
{
    while (running_ >= FLAGS_slots) {
        boost::system::error_code ignored;
        co_await slot_freed_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    ++running_;
}

void upstream::free_slot()
{
    --running_;
    slot_freed_.cancel();
}

asio::awaitable<http::response> upstream::answer(http::request received)
{
    for (const route& candidate : routes) {
        if (candidate.path == received.path)
            co_return co_await (this->*candidate.handle)(received);
    }
    co_return co_await run_call(received);
}

asio::awaitable<http::response> upstream::run_call(http::request& received)
{
    if (faults_.shed) {
        co_return shed_response();
    }
    ++counts_.runs;
    const std::string* key = find_field(received, "Idempotency-Key");
    if (key != nullptr)
        ++counts_.runs_by_key[*key];
    if (faults_.fail) {
        ++counts_.finished;
        co_return make_response(500, "text/plain", "failed");
    }
    co_await take_slot();
    const std::string* wanted_ms = received.query_parameter("work_ms");
    const double work_ms =
        wanted_ms != nullptr ? std::stod(*wanted_ms) : FLAGS_service_ms;
    co_await sleep_ms(work_ms * faults_.slow_factor);
    free_slot();
    ++counts_.finished;
    co_return echo_response(received);
}

asio::awaitable<http::response> upstream::load_response(http::request&)
{
    ++counts_.probes;
    co_await sleep_ms(FLAGS_probe_ms);
    const json body = {{"running", running_ * faults_.lie_factor},
                       {"slots", FLAGS_slots}};
    co_return make_response(200, "application/json", body.dump());
}

asio::awaitable<http::response> upstream::set_faults(http::request& received)
{
    for (const http::field& change : received.query) {
        const double value = std::stod(change.value);
        if (change.name == "slow")
            faults_.slow_factor = value;
        if (change.name == "lie")
            faults_.lie_factor = value;
        if (change.name == "fail")
            faults_.fail = value != 0;
        if (change.name == "shed")
            faults_.shed = value != 0;
    }
    co_return make_response(204, "", "");
}

asio::awaitable<http::response> upstream::counts_response(http::request&)
{
    const json body = {{"runs", counts_.runs},
                       {"finished", counts_.finished},
                       {"probes", counts_.probes},
                       {"runs_by_key", counts_.runs_by_key}};
    co_return make_response(200, "application/json", body.dump());
}

asio::awaitable<void>
upstream::announce_repeatedly(config::endpoint local_endpoint,
                              config::endpoint daemon)
{
    const json body = {{"service", FLAGS_service},
                       {"address", to_string(local_endpoint)},
                       {"slots", FLAGS_slots},
                       {"connections", FLAGS_connections},
                       {"probe_path", "/stand-in/load"}};
    for (;;) {
        http::client_request request = announce_request(body.dump());
        const auto announce_result =
            co_await http::fetch(daemon, std::move(request), announce_timeout);
        co_await sleep_ms(announce_result
                              ? static_cast<double>(heartbeat_interval.count())
                              : 100);
    }
}

} // namespace galenarudder::standins

int main(int argc, char** argv)
{
    using namespace galenarudder;
    gflags::SetUsageMessage("standin_upstream --listen A --announce A "
                            "--service NAME");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto local_endpoint = config::parse_endpoint(FLAGS_listen);
    if (!local_endpoint) {
        std::cerr << support::describe(local_endpoint.error()) << "\n";
        return 2;
    }
    boost::asio::io_context io{1};
    standins::upstream simulated_upstream(io);
    http::server http_server(
        io,
        [&](http::request received) {
            return simulated_upstream.answer(std::move(received));
        },
        standins::max_body_bytes);
    auto listen_result = http_server.listen(local_endpoint.value());
    if (!listen_result) {
        std::cerr << support::describe(listen_result.error()) << "\n";
        return 4;
    }
    if (!FLAGS_announce.empty()) {
        auto daemon = config::parse_endpoint(FLAGS_announce);
        if (!daemon)
            return 2;
        boost::asio::co_spawn(io,
                              simulated_upstream.announce_repeatedly(
                                  local_endpoint.value(), daemon.value()),
                              boost::asio::detached);
    }
    io.run();
    return 0;
}
