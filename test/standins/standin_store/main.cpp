// Stand-in for the platform's key-value service: compare-and-swap, sessions
// as leases, blocking queries; can be down, slow, lose one answer or be
// restored to an old value.
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

struct former_value
{
    std::string value;
    std::uint64_t index = 0;
};

/// As many former values of a key are kept for a restore.
constexpr std::size_t max_history = 64;

struct entry
{
    std::string value;
    std::uint64_t index = 0;
    std::string session;
    /// Values and indices before this one, oldest first.
    std::vector<former_value> history;
};

struct session
{
    support::duration ttl{};
    support::time_point lapses;
    bool deletes_keys = false;
};

/// What can be changed while the stand-in runs, by /stand-in/set?name=value.
struct behaviour
{
    bool down = false;
    double slow_ms = 0;
    bool lose_next_answer = false;
};

/// Calls since the start, shown by /stand-in/counts; a blocking query counts
/// as a watch. Reads, writes and watches are totals over the kinds.
struct counts
{
    std::uint64_t gets = 0;
    std::uint64_t swaps = 0;
    std::uint64_t watches = 0;
    std::uint64_t lease_grants = 0;
    std::uint64_t lease_renewals = 0;
    std::uint64_t lease_ends = 0;
    std::uint64_t lapsed_leases = 0;
};

class store
{
public:
    explicit store(asio::io_context& io) : io_(io) {}

    asio::awaitable<http::response> answer(http::request received);

private:
    asio::awaitable<http::response> serve(http::request& received);
    asio::awaitable<http::response> get(const std::string& key,
                                        const http::request& received);
    http::response show_all(const std::string& prefix) const;
    http::response put(const std::string& key, http::request& received);
    http::response make_session(const http::request& received);
    http::response renew(const std::string& id);
    http::response destroy(const std::string& id);
    http::response set(const http::request& received);
    http::response restore(const http::request& received);
    http::response show_counts() const;
    asio::awaitable<void> wait_for_change(const std::string& key,
                                          std::uint64_t index,
                                          support::duration wait);
    asio::awaitable<void> sleep_ms(double ms);
    void lapse_sessions();
    void end_session(const std::string& id, bool deletes_keys);
    std::uint64_t index_of(const std::string& key) const;

    asio::io_context& io_;
    std::map<std::string, entry> entries_;
    std::map<std::string, session> sessions_;
    std::uint64_t last_index_ = 1;
    std::uint64_t last_session_ = 0;
    behaviour behaviour_;
    counts counts_;
};

namespace {

constexpr std::string_view kv_prefix = "/v1/kv/";
constexpr std::string_view renew_prefix = "/v1/session/renew/";
constexpr std::string_view destroy_prefix = "/v1/session/destroy/";

std::string base64(const std::string& plain)
{
    std::string encoded(4 * ((plain.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                        reinterpret_cast<const unsigned char*>(plain.data()),
                        static_cast<int>(plain.size()));
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

/// How long a blocking query may wait.
support::duration wait_of(const http::request& received)
{
    const std::string* wait = received.query_parameter("wait");
    return parse_span(wait != nullptr ? *wait : "60s");
}

http::response not_found()
{
    return {404, "text/plain", "", {}};
}

http::response plain(std::string body)
{
    return {200, "application/json", std::move(body), {}};
}

json describe(const std::string& key, const entry& held)
{
    return {{"Key", key},
            {"Value", base64(held.value)},
            {"ModifyIndex", held.index},
            {"Session", held.session}};
}

http::response show(const std::string& key, const entry& held, bool raw)
{
    http::response answer =
        plain(raw ? held.value : json::array({describe(key, held)}).dump());
    answer.fields.push_back({"X-Consul-Index", std::to_string(held.index)});
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
        co_return set(received);
    if (received.path == "/stand-in/counts")
        co_return show_counts();
    if (received.path == "/stand-in/restore")
        co_return restore(received);
    http::response withheld;
    withheld.close_without_answer = true;
    if (behaviour_.down)
        co_return withheld;
    if (behaviour_.slow_ms > 0)
        co_await sleep_ms(behaviour_.slow_ms);
    lapse_sessions();
    const bool writes = received.method == "PUT";
    http::response served = co_await serve(received);
    if (behaviour_.down)
        co_return withheld;
    if (writes && behaviour_.lose_next_answer) {
        behaviour_.lose_next_answer = false;
        co_return withheld;
    }
    co_return served;
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
        co_return make_session(received);
    if (path.starts_with(renew_prefix))
        co_return renew(std::string(path.substr(renew_prefix.size())));
    if (path.starts_with(destroy_prefix))
        co_return destroy(std::string(path.substr(destroy_prefix.size())));
    co_return not_found();
}

std::uint64_t store::index_of(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? 0 : found->second.index;
}

asio::awaitable<void> store::wait_for_change(const std::string& key,
                                             std::uint64_t index,
                                             support::duration wait)
{
    const auto until = std::chrono::steady_clock::now() + wait;
    while (index_of(key) == index && std::chrono::steady_clock::now() < until &&
           !behaviour_.down) {
        asio::steady_timer slice(io_, std::chrono::milliseconds(5));
        co_await slice.async_wait(asio::use_awaitable);
        lapse_sessions();
    }
}

asio::awaitable<http::response> store::get(const std::string& key,
                                           const http::request& received)
{
    const std::string* known = received.query_parameter("index");
    if (known != nullptr) {
        ++counts_.watches;
        const support::duration wait = wait_of(received);
        co_await wait_for_change(key, std::stoull(*known), wait);
    } else {
        ++counts_.gets;
    }
    if (received.query_parameter("recurse") != nullptr)
        co_return show_all(key);
    const auto found = entries_.find(key);
    if (found == entries_.end())
        co_return not_found();
    const entry& held = found->second;
    const bool raw = received.query_parameter("raw") != nullptr;
    co_return show(key, held, raw);
}

http::response store::show_all(const std::string& prefix) const
{
    json all = json::array();
    for (auto next = entries_.lower_bound(prefix);
         next != entries_.end() && next->first.starts_with(prefix); ++next)
        all.push_back(describe(next->first, next->second));
    return all.empty() ? not_found() : plain(all.dump());
}

http::response store::put(const std::string& key, http::request& received)
{
    const std::string* expected = received.query_parameter("cas");
    if (expected != nullptr && std::stoull(*expected) != index_of(key))
        return plain("false");
    const std::string* lease = received.query_parameter("acquire");
    if (lease != nullptr && !sessions_.contains(*lease))
        return plain("false");
    entry& held = entries_[key];
    if (held.index != 0)
        held.history.push_back({std::move(held.value), held.index});
    if (held.history.size() > max_history)
        held.history.erase(held.history.begin());
    held.value = std::move(received.body);
    held.index = ++last_index_;
    held.session = lease != nullptr ? *lease : std::string();
    return plain("true");
}

http::response store::make_session(const http::request& received)
{
    ++counts_.lease_grants;
    const json body = json::parse(received.body, nullptr, false);
    if (body.is_discarded())
        return {400, "text/plain", "malformed session", {}};
    const std::string id = "session-" + std::to_string(++last_session_);
    session made;
    made.ttl = parse_span(body.value("TTL", "15s"));
    made.lapses = monotonic_clock::now() + made.ttl;
    made.deletes_keys = body.value("Behavior", "release") == "delete";
    sessions_[id] = made;
    return plain(json{{"ID", id}}.dump());
}

http::response store::renew(const std::string& id)
{
    ++counts_.lease_renewals;
    const auto found = sessions_.find(id);
    if (found == sessions_.end())
        return not_found();
    found->second.lapses = monotonic_clock::now() + found->second.ttl;
    return plain("[]");
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
    return plain("true");
}

void store::lapse_sessions()
{
    const support::time_point now = monotonic_clock::now();
    for (auto next = sessions_.begin(); next != sessions_.end();) {
        if (next->second.lapses > now) {
            ++next;
            continue;
        }
        const std::string id = next->first;
        const bool deletes_keys = next->second.deletes_keys;
        ++counts_.lapsed_leases;
        next = sessions_.erase(next);
        end_session(id, deletes_keys);
    }
}

void store::end_session(const std::string& id, bool deletes_keys)
{
    for (auto next = entries_.begin(); next != entries_.end();) {
        if (next->second.session != id) {
            ++next;
            continue;
        }
        next->second.session.clear();
        next->second.index = ++last_index_;
        next = deletes_keys ? entries_.erase(next) : std::next(next);
    }
}

http::response store::set(const http::request& received)
{
    for (const http::field& change : received.query) {
        const double value = std::stod(change.value);
        if (change.name == "down")
            behaviour_.down = value != 0;
        if (change.name == "slow_ms")
            behaviour_.slow_ms = value;
        if (change.name == "lose_next_answer")
            behaviour_.lose_next_answer = value != 0;
    }
    return {204, "", "", {}};
}

/// Brings back a key's value and index from before its last \c back changes,
/// as a restore of the service from a backup does.
http::response store::restore(const http::request& received)
{
    const std::string* key = received.query_parameter("key");
    const std::string* back = received.query_parameter("back");
    const auto found = entries_.find(key != nullptr ? *key : "");
    if (found == entries_.end())
        return not_found();
    entry& held = found->second;
    const std::size_t steps = back != nullptr ? std::stoul(*back) : 1;
    if (steps == 0 || steps > held.history.size())
        return {409, "text/plain", "no such former value", {}};
    held.history.resize(held.history.size() - steps + 1);
    held.value = std::move(held.history.back().value);
    held.index = held.history.back().index;
    held.history.pop_back();
    return {204, "", "", {}};
}

http::response store::show_counts() const
{
    const std::uint64_t writes = counts_.swaps + counts_.lease_grants +
                                 counts_.lease_renewals + counts_.lease_ends;
    return plain(json{{"reads", counts_.gets},
                      {"writes", writes},
                      {"watches", counts_.watches},
                      {"kinds",
                       {{"gets", counts_.gets},
                        {"swaps", counts_.swaps},
                        {"lease_grants", counts_.lease_grants},
                        {"lease_renewals", counts_.lease_renewals},
                        {"lease_ends", counts_.lease_ends},
                        {"lapsed_leases", counts_.lapsed_leases}}}}
                     .dump());
}

} // namespace galenarudder::standins

int main(int argc, char** argv)
{
    using namespace galenarudder;
    gflags::SetUsageMessage("standin_store --listen ADDRESS");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto own = config::parse_endpoint(FLAGS_listen);
    if (!own) {
        std::cerr << support::describe(own.error()) << "\n";
        return 2;
    }
    boost::asio::io_context io{1};
    standins::store served(io);
    http::server calls(io, [&](http::request received) {
        return served.answer(std::move(received));
    });
    auto listening = calls.listen(own.value());
    if (!listening) {
        std::cerr << support::describe(listening.error()) << "\n";
        return 4;
    }
    io.run();
    return 0;
}
