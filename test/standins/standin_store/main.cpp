// Stand-in for the platform's key-value service: compare-and-swap, sessions as
// leases, blocking queries. A test can make it unavailable or slow, let it lose
// one answer, or restore an earlier value of a key.
#include "galenarudder/http/server.hpp"
#include "galenarudder/support/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <iostream>
#include <map>
#include <vector>

DEFINE_string(listen, "127.0.0.1:8500", "address to serve");

namespace galenarudder::standins {

namespace asio = boost::asio;
using nlohmann::json;
using support::monotonic_clock;

struct previous_value
{
    std::string value;
    std::uint64_t index = 0;
};

/// Number of previous values of a key that are kept for a restore.
constexpr std::size_t max_history = 64;

/// A key's value; an index of 0 means that the key has none.
struct stored_value
{
    std::string value;
    std::uint64_t index = 0;
    /// The session that holds the key; empty for none.
    std::string session;
    /// Previous values and their indices, oldest first.
    std::vector<previous_value> history;
};

struct session
{
    support::duration ttl{};
    support::time_point expires_at;
    /// Whether the end of the session deletes its keys, or only releases them.
    bool deletes_keys = false;
};

/// Faults, set by /stand-in/set?name=value while the stand-in runs.
struct fault_settings
{
    /// Calls get no answer.
    bool down = false;
    /// Delay before each call is served.
    double slow_ms = 0;
    /// The next write is carried out, but gets no answer.
    bool lose_next_answer = false;
};

/// Calls since the start, returned by /stand-in/counts with totals of reads,
/// writes and watches. A blocking query counts as a watch, not as a get.
struct counts
{
    std::uint64_t gets = 0;
    std::uint64_t swaps = 0;
    std::uint64_t watches = 0;
    // The lease counters count calls about sessions, and expired sessions.
    std::uint64_t lease_grants = 0;
    std::uint64_t lease_renewals = 0;
    std::uint64_t lease_ends = 0;
    std::uint64_t expired_leases = 0;
};

/// The key-value service with its faults.
class store
{
public:
    explicit store(asio::io_context& io) : io_(io) {}

    asio::awaitable<http::response> answer(http::request received);

private:
    asio::awaitable<http::response> serve(http::request& received);
    asio::awaitable<http::response> get(const std::string& key,
                                        const http::request& received);
    http::response get_prefix(const std::string& prefix) const;
    http::response put(const std::string& key, http::request& received);
    http::response create_session(const http::request& received);
    http::response renew(const std::string& id);
    http::response destroy(const std::string& id);
    http::response set_faults(const http::request& received);
    http::response restore(const http::request& received);
    http::response counts_response() const;
    asio::awaitable<void> wait_for_change(const std::string& key,
                                          std::uint64_t index,
                                          support::duration wait);
    asio::awaitable<void> sleep_ms(double ms);
    void expire_sessions();
    void end_session(const std::string& id, bool deletes_keys);
    std::uint64_t index_of(const std::string& key) const;

    asio::io_context& io_;
    std::map<std::string, stored_value> values_;
    std::map<std::string, session> sessions_;
    std::uint64_t last_index_ = 1;
    std::uint64_t last_session_ = 0;
    fault_settings faults_;
    counts counts_;
};

namespace {

constexpr std::string_view kv_prefix = "/v1/kv/";
constexpr std::string_view renew_prefix = "/v1/session/renew/";
constexpr std::string_view destroy_prefix = "/v1/session/destroy/";

std::string base64(const std::string& input)
{
    std::string encoded(4 * ((input.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                        reinterpret_cast<const unsigned char*>(input.data()),
                        static_cast<int>(input.size()));
    encoded.resize(static_cast<std::size_t>(size));
    return encoded;
}

/// Reads "10s" or "250ms".
support::duration parse_span(const std::string& text)
{
    const double number = std::stod(text);
    const bool in_ms = text.ends_with("ms");
    return support::from_ms(in_ms ? number : number * 1000);
}

/// How long a blocking query waits at most.
support::duration max_wait(const http::request& received)
{
    const std::string* wait = received.query_parameter("wait");
    return parse_span(wait != nullptr ? *wait : "60s");
}

http::response not_found()
{
    return {404, "text/plain", "", {}};
}

http::response json_response(std::string body)
{
    return {200, "application/json", std::move(body), {}};
}

json value_json(const std::string& key, const stored_value& stored)
{
    return {{"Key", key},
            {"Value", base64(stored.value)},
            {"ModifyIndex", stored.index},
            {"Session", stored.session}};
}

http::response
value_response(const std::string& key, const stored_value& stored, bool raw)
{
    http::response answer = json_response(
        raw ? stored.value : json::array({value_json(key, stored)}).dump());
    answer.fields.push_back({"X-Consul-Index", std::to_string(stored.index)});
    return answer;
}

} // namespace

asio::awaitable<void> store::sleep_ms(double ms)
{
    asio::steady_timer timer(io_, support::from_ms(ms));
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<http::response> store::answer(http::request received)
{
    if (received.path == "/stand-in/set")
        co_return set_faults(received);
    if (received.path == "/stand-in/counts")
        co_return counts_response();
    if (received.path == "/stand-in/restore")
        co_return restore(received);
    http::response no_response;
    no_response.close_without_answer = true;
    if (faults_.down)
        co_return no_response;
    if (faults_.slow_ms > 0)
        co_await sleep_ms(faults_.slow_ms);
    expire_sessions();
    const bool is_write = received.method == "PUT";
    http::response served_response = co_await serve(received);
    if (faults_.down)
        co_return no_response;
    if (is_write && faults_.lose_next_answer) {
        faults_.lose_next_answer = false;
        co_return no_response;
    }
    co_return served_response;
}

asio::awaitable<http::response> store::serve(http::request& received)
{
    const std::string_view path = received.path;
    if (path.starts_with(kv_prefix)) {
        const std::string key(path.substr(kv_prefix.size()));
        if (received.method == "GET")
            co_return co_await get(key, received);
        ++counts_.swaps;
        co_return put(key, received);
    }
    if (path == "/v1/session/create")
        co_return create_session(received);
    if (path.starts_with(renew_prefix))
        co_return renew(std::string(path.substr(renew_prefix.size())));
    if (path.starts_with(destroy_prefix))
        co_return destroy(std::string(path.substr(destroy_prefix.size())));
    co_return not_found();
}

std::uint64_t store::index_of(const std::string& key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.index;
}

asio::awaitable<void> store::wait_for_change(const std::string& key,
                                             std::uint64_t index,
                                             support::duration wait)
{
    const auto deadline = std::chrono::steady_clock::now() + wait;
    while (index_of(key) == index &&
           std::chrono::steady_clock::now() < deadline && !faults_.down) {
        asio::steady_timer poll_timer(io_, std::chrono::milliseconds(5));
        co_await poll_timer.async_wait(asio::use_awaitable);
        expire_sessions();
    }
}

asio::awaitable<http::response> store::get(const std::string& key,
                                           const http::request& received)
{
    const std::string* known_index = received.query_parameter("index");
    if (known_index != nullptr) {
        ++counts_.watches;
        const support::duration wait = max_wait(received);
        co_await wait_for_change(key, std::stoull(*known_index), wait);
    } else {
        ++counts_.gets;
    }
    if (received.query_parameter("recurse") != nullptr)
        co_return get_prefix(key);
    const auto found = values_.find(key);
    if (found == values_.end())
        co_return not_found();
    const stored_value& stored = found->second;
    const bool raw = received.query_parameter("raw") != nullptr;
    co_return value_response(key, stored, raw);
}

http::response store::get_prefix(const std::string& prefix) const
{
    json matches = json::array();
    for (auto value = values_.lower_bound(prefix);
         value != values_.end() && value->first.starts_with(prefix); ++value)
        matches.push_back(value_json(value->first, value->second));
    return matches.empty() ? not_found() : json_response(matches.dump());
}

http::response store::put(const std::string& key, http::request& received)
{
    const std::string* expected = received.query_parameter("cas");
    if (expected != nullptr && std::stoull(*expected) != index_of(key))
        return json_response("false");
    const std::string* lease = received.query_parameter("acquire");
    if (lease != nullptr && !sessions_.contains(*lease))
        return json_response("false");
    stored_value& stored = values_[key];
    if (stored.index != 0)
        stored.history.push_back({std::move(stored.value), stored.index});
    if (stored.history.size() > max_history)
        stored.history.erase(stored.history.begin());
    stored.value = std::move(received.body);
    stored.index = ++last_index_;
    stored.session = lease != nullptr ? *lease : std::string();
    return json_response("true");
}

http::response store::create_session(const http::request& received)
{
    ++counts_.lease_grants;
    const json body = json::parse(received.body, nullptr, false);
    if (body.is_discarded())
        return {400, "text/plain", "malformed session", {}};
    const std::string id = "session-" + std::to_string(++last_session_);
    session created;
    created.ttl = parse_span(body.value("TTL", "15s"));
    created.expires_at = monotonic_clock::now() + created.ttl;
    created.deletes_keys = body.value("Behavior", "release") == "delete";
    sessions_[id] = created;
    return json_response(json{{"ID", id}}.dump());
}

http::response store::renew(const std::string& id)
{
    ++counts_.lease_renewals;
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return not_found();
    found->second.expires_at = monotonic_clock::now() + found->second.ttl;
    return json_response("[]");
}

http::response store::destroy(const std::string& id)
{
    ++counts_.lease_ends;
    const auto found = sessions_.find(id);
    if (found != sessions_.end()) {
        const bool deletes_keys = found->second.deletes_keys;
        sessions_.erase(found);
        end_session(id, deletes_keys);
    }
    return json_response("true");
}

void store::expire_sessions()
{
    const support::time_point now = monotonic_clock::now();
    for (auto position = sessions_.begin(); position != sessions_.end();) {
        if (position->second.expires_at > now) {
            ++position;
            continue;
        }
        const std::string id = position->first;
        const bool deletes_keys = position->second.deletes_keys;
        ++counts_.expired_leases;
        position = sessions_.erase(position);
        end_session(id, deletes_keys);
    }
}

void store::end_session(const std::string& id, bool deletes_keys)
{
    for (auto position = values_.begin(); position != values_.end();) {
        if (position->second.session != id) {
            ++position;
            continue;
        }
        position->second.session.clear();
        position->second.index = ++last_index_;
        position = deletes_keys ? values_.erase(position) : std::next(position);
    }
}

http::response store::set_faults(const http::request& received)
{
    for (const http::field& change : received.query) {
        const double value = std::stod(change.value);
        if (change.name == "down")
            faults_.down = value != 0;
        if (change.name == "slow_ms")
            faults_.slow_ms = value;
        if (change.name == "lose_next_answer")
            faults_.lose_next_answer = value != 0;
    }
    return {204, "", "", {}};
}

/// Restores the value and index that a key had before its last `back` changes,
/// as a restore of the service from a backup does.
http::response store::restore(const http::request& received)
{
    const std::string* key = received.query_parameter("key");
    const std::string* steps_back = received.query_parameter("back");
    const auto found = values_.find(key != nullptr ? *key : "");
    if (found == values_.end())
        return not_found();
    stored_value& stored = found->second;
    const std::size_t steps =
        steps_back != nullptr ? std::stoul(*steps_back) : 1;
    if (steps == 0 || steps > stored.history.size())
        return {409, "text/plain", "no such previous value", {}};
    stored.history.resize(stored.history.size() - steps + 1);
    stored.value = std::move(stored.history.back().value);
    stored.index = stored.history.back().index;
    stored.history.pop_back();
    return {204, "", "", {}};
}

http::response store::counts_response() const
{
    const std::uint64_t write_count = counts_.swaps + counts_.lease_grants +
                                      counts_.lease_renewals +
                                      counts_.lease_ends;
    return json_response(json{{"reads", counts_.gets},
                              {"writes", write_count},
                              {"watches", counts_.watches},
                              {"kinds",
                               {{"gets", counts_.gets},
                                {"swaps", counts_.swaps},
                                {"lease_grants", counts_.lease_grants},
                                {"lease_renewals", counts_.lease_renewals},
                                {"lease_ends", counts_.lease_ends},
                                {"lapsed_leases", counts_.expired_leases}}}}
                             .dump());
}

} // namespace galenarudder::standins

int main(int argc, char** argv)
{
    using namespace galenarudder;
    gflags::SetUsageMessage("standin_store --listen ADDRESS");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto local_endpoint = config::parse_endpoint(FLAGS_listen);
    if (!local_endpoint) {
        std::cerr << support::describe(local_endpoint.error()) << "\n";
        return 2;
    }
    boost::asio::io_context io{1};
    standins::store key_value_store(io);
    http::server http_server(io, [&](http::request received) {
        return key_value_store.answer(std::move(received));
    });
    auto listen_result = http_server.listen(local_endpoint.value());
    if (!listen_result) {
        std::cerr << support::describe(listen_result.error()) << "\n";
        return 4;
    }
    io.run();
    return 0;
}
