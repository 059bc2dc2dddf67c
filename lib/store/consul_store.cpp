// Maps the store's calls to KV and session requests.
#include "galenarudder/store/consul_store.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/store/reachability.hpp"
#include "galenarudder/support/base64.hpp"
#include "galenarudder/support/rate_budget.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>

namespace galenarudder::store {

namespace asio = boost::asio;
using nlohmann::json;
using support::error;
using support::error_kind;

namespace {

/// A watch is given this much longer than its wait to be answered.
constexpr support::milliseconds watch_grace{1000};

using http_result = support::result<http::response>;

error unavailable(std::string message)
{
    return {error_kind::store_unavailable, std::move(message),
            "check the platform's key-value service"};
}

/// A read that failed changed nothing.
error read_failed(const error& cause)
{
    return unavailable(cause.message);
}

/// A write that was sent and not answered may have taken effect.
error write_failed(const error& cause)
{
    if (cause.kind == error_kind::connection_failed)
        return unavailable(cause.message);
    return {error_kind::store_outcome_unknown, cause.message,
            "read the key back to learn whether the write took effect"};
}

/// Encodes each part of a key's path.
std::string encode_key(std::string_view key)
{
    std::string encoded;
    for (std::size_t begin = 0; begin <= key.size();) {
        const std::size_t end = std::min(key.find('/', begin), key.size());
        if (begin != 0)
            encoded += '/';
        encoded += http::percent_encode(key.substr(begin, end - begin));
        begin = end + 1;
    }
    return encoded;
}

support::result<versioned_value> parse_entry(const json& entry)
{
    versioned_value found;
    if (!entry.at("Value").is_null()) {
        auto plain = support::base64_decode(
            entry.at("Value").get_ref<const std::string&>());
        if (!plain)
            return unavailable("the store's value is not base64");
        found.value = std::move(*plain);
    }
    found.index = entry.at("ModifyIndex");
    found.lease = entry.value("Session", "");
    return found;
}

support::result<std::vector<listed_value>> parse_list(const http_result& answer)
{
    if (!answer)
        return read_failed(answer.error());
    if (answer.value().status == 404)
        return std::vector<listed_value>();
    if (answer.value().status != 200) {
        return unavailable("the store answered status " +
                           std::to_string(answer.value().status));
    }
    try {
        std::vector<listed_value> found;
        for (const json& entry : json::parse(answer.value().body)) {
            BOOST_OUTCOME_TRY(versioned_value item, parse_entry(entry));
            found.push_back({entry.at("Key"), std::move(item)});
        }
        return found;
    } catch (const json::exception&) {
        return unavailable("the store's answer is malformed");
    }
}

support::result<versioned_value> parse_value(const http_result& answer)
{
    if (!answer)
        return read_failed(answer.error());
    if (answer.value().status == 404)
        return versioned_value{};
    if (answer.value().status != 200) {
        return unavailable("the store answered status " +
                           std::to_string(answer.value().status));
    }
    try {
        return parse_entry(json::parse(answer.value().body).at(0));
    } catch (const json::exception&) {
        return unavailable("the store's answer is malformed");
    }
}

support::result<swap_outcome> parse_swap(const http_result& answer)
{
    if (!answer)
        return write_failed(answer.error());
    const http::response& received = answer.value();
    if (received.status != 200) {
        return error{error_kind::store_outcome_unknown,
                     "the store answered status " +
                         std::to_string(received.status),
                     "read the key back to learn whether it took effect"};
    }
    const bool swapped = received.body.starts_with("true");
    return swapped ? swap_outcome::swapped : swap_outcome::index_mismatch;
}

support::result<std::string> parse_lease(const http_result& answer)
{
    if (!answer)
        return write_failed(answer.error());
    try {
        return json::parse(answer.value().body).at("ID").get<std::string>();
    } catch (const json::exception&) {
        return unavailable("the store's answer is malformed");
    }
}

support::result<void> parse_done(const http_result& answer)
{
    if (!answer)
        return write_failed(answer.error());
    if (answer.value().status == 404) {
        return error{error_kind::not_found, "the lease has lapsed",
                     "grant a new lease"};
    }
    if (answer.value().status != 200) {
        return unavailable("the store answered status " +
                           std::to_string(answer.value().status));
    }
    return boost::outcome_v2::success();
}

std::string seconds_text(support::duration span)
{
    return std::to_string(
               std::chrono::ceil<std::chrono::seconds>(span).count()) +
           "s";
}

} // namespace

struct consul_store::state
{
    using counter = std::uint64_t store_counters::*;

    state(asio::any_io_executor runs_on,
          config::endpoint store,
          const store_limits& limits)
        : executor(std::move(runs_on)), where(std::move(store)),
          reads(limits.reads_per_second, limits.read_burst),
          writes(limits.writes_per_second, limits.write_burst)
    {
    }

    asio::any_io_executor executor;
    config::endpoint where;
    support::rate_budget reads;
    support::rate_budget writes;
    store_counters counters;
    reachability reach;
    std::mutex guard;

    /// Takes a token and counts the call; watches take a read's.
    bool admit(support::rate_budget& budget, counter kind)
    {
        const std::lock_guard lock(guard);
        const bool admitted =
            budget.try_take(1, support::monotonic_clock::now());
        ++(counters.*(admitted ? kind : &store_counters::over_budget));
        return admitted;
    }

    /// Counts a call that ended and tells when the store was lost or regained.
    void note_end(bool answered, std::string_view cause)
    {
        const std::lock_guard lock(guard);
        counters.failures += answered ? 0 : 1;
        const auto change =
            reach.on_call(answered, support::monotonic_clock::now());
        if (!change)
            return;
        if (change->reachable) {
            telemetry::log_event(
                telemetry::log_kind::belief, "store.regained",
                {{"outage_ms", support::to_ms(change->outage)}});
        } else {
            telemetry::log_event(telemetry::log_kind::belief, "store.lost",
                                 {{"cause", cause}});
        }
    }
};

namespace {

error over_budget()
{
    return {error_kind::store_unavailable,
            "this daemon's budget of store calls is spent",
            "retry later; see galenarudder_store_over_budget_total"};
}

/// Sends a request that was admitted, or fails it; \c done runs on the
/// executor in both cases.
template <typename T, typename State>
void send(const std::shared_ptr<State>& state,
          bool admitted,
          http::client_request request,
          support::duration timeout,
          support::result<T> (*parse)(const http_result&),
          callback<T> done)
{
    if (!admitted) {
        asio::post(state->executor,
                   [done = std::move(done)] { done(over_budget()); });
        return;
    }
    asio::co_spawn(
        state->executor,
        [state, request = std::move(request), timeout, parse,
         done = std::move(done)]() -> asio::awaitable<void> {
            const http_result answer =
                co_await http::fetch(state->where, request, timeout);
            support::result<T> parsed = parse(answer);
            // A lease that lapsed is an answer too.
            const bool answered =
                parsed || parsed.error().kind == error_kind::not_found;
            state->note_end(answered, answered ? std::string_view()
                                               : parsed.error().message);
            done(std::move(parsed));
        },
        asio::detached);
}

} // namespace

consul_store::consul_store(asio::any_io_executor executor,
                           config::endpoint where,
                           const store_limits& limits)
    : state_(std::make_shared<state>(
          std::move(executor), std::move(where), limits))
{
}

store_counters consul_store::counters() const
{
    const std::lock_guard lock(state_->guard);
    return state_->counters;
}

consul_store::~consul_store() = default;

void consul_store::get(const std::string& key,
                       support::duration timeout,
                       callback<versioned_value> done)
{
    send<versioned_value>(state_,
                          state_->admit(state_->reads, &store_counters::reads),
                          {"GET", "/v1/kv/" + encode_key(key), "", {}}, timeout,
                          parse_value, std::move(done));
}

void consul_store::list(const std::string& prefix,
                        support::duration timeout,
                        callback<std::vector<listed_value>> done)
{
    send<std::vector<listed_value>>(
        state_, state_->admit(state_->reads, &store_counters::reads),
        {"GET", "/v1/kv/" + encode_key(prefix) + "?recurse", "", {}}, timeout,
        parse_list, std::move(done));
}

void consul_store::compare_and_swap(const std::string& key,
                                    std::string value,
                                    std::uint64_t expected_index,
                                    const std::string& lease,
                                    support::duration timeout,
                                    callback<swap_outcome> done)
{
    std::string target =
        "/v1/kv/" + encode_key(key) + "?cas=" + std::to_string(expected_index);
    if (!lease.empty())
        target += "&acquire=" + http::percent_encode(lease);
    send<swap_outcome>(state_,
                       state_->admit(state_->writes, &store_counters::writes),
                       {"PUT", std::move(target), std::move(value), {}},
                       timeout, parse_swap, std::move(done));
}

void consul_store::watch(const std::string& key,
                         std::uint64_t known_index,
                         support::duration wait,
                         callback<versioned_value> done)
{
    const std::string target = "/v1/kv/" + encode_key(key) +
                               "?index=" + std::to_string(known_index) +
                               "&wait=" + seconds_text(wait);
    send<versioned_value>(
        state_, state_->admit(state_->reads, &store_counters::watches),
        {"GET", target, "", {}}, wait + watch_grace, parse_value,
        std::move(done));
}

void consul_store::grant_lease(support::duration ttl,
                               support::duration timeout,
                               callback<std::string> done)
{
    const json body = {{"TTL", seconds_text(ttl)}, {"Behavior", "delete"}};
    send<std::string>(state_,
                      state_->admit(state_->writes, &store_counters::writes),
                      {"PUT", "/v1/session/create", body.dump(), {}}, timeout,
                      parse_lease, std::move(done));
}

void consul_store::renew_lease(const std::string& lease,
                               support::duration timeout,
                               callback<void> done)
{
    send<void>(state_, state_->admit(state_->writes, &store_counters::writes),
               {"PUT", "/v1/session/renew/" + lease, "", {}}, timeout,
               parse_done, std::move(done));
}

void consul_store::revoke_lease(const std::string& lease,
                                support::duration timeout,
                                callback<void> done)
{
    send<void>(state_, state_->admit(state_->writes, &store_counters::writes),
               {"PUT", "/v1/session/destroy/" + lease, "", {}}, timeout,
               parse_done, std::move(done));
}

} // namespace galenarudder::store
