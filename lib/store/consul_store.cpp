// Maps the calls of platform_store to Consul KV and session requests.
#include "galenarudder/store/consul_store.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/store/answer_limits.hpp"
#include "galenarudder/store/reachability.hpp"
#include "galenarudder/support/background.hpp"
#include "galenarudder/support/base64.hpp"
#include "galenarudder/support/json.hpp"
#include "galenarudder/support/token_bucket.hpp"
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

/// Time allowed for the answer of a blocking query beyond its wait.
constexpr support::milliseconds watch_grace{1000};

using http_result = support::result<http::response>;

error unavailable(std::string message)
{
    return {error_kind::store_unavailable, std::move(message),
            "check the platform's key-value service"};
}

/// Returns the error of a failed read, which has no effect on the store.
error read_failed(const error& failure)
{
    return unavailable(failure.message);
}

/// Returns the error of a failed write; unless the connection failed, the write
/// may have taken effect.
error write_failed(const error& failure)
{
    if (failure.kind == error_kind::connection_failed)
        return unavailable(failure.message);
    return {error_kind::store_outcome_unknown, failure.message,
            "read the key back to learn whether the write took effect"};
}

/// Percent-encodes a key, but keeps its slashes.
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

support::result<json> parse_answer(const http_result& response)
{
    auto parsed = support::parse_json(response.value().body);
    if (!parsed)
        return unavailable("the store's answer is malformed: " +
                           describe(parsed.error()));
    return std::move(parsed).value();
}

support::result<indexed_value> parse_entry(const json& entry)
{
    indexed_value parsed;
    if (!entry.at("Value").is_null()) {
        auto decoded = support::base64_decode(
            entry.at("Value").get_ref<const std::string&>());
        if (!decoded)
            return unavailable("the store's value is not base64");
        parsed.value = std::move(*decoded);
    }
    parsed.index.number = entry.at("ModifyIndex");
    parsed.lease = entry.value("Session", "");
    return parsed;
}

support::result<std::vector<listed_value>>
parse_list(const http_result& response)
{
    if (!response)
        return read_failed(response.error());
    if (response.value().status == 404)
        return std::vector<listed_value>();
    if (response.value().status != 200) {
        return unavailable("the store answered status " +
                           std::to_string(response.value().status));
    }
    BOOST_OUTCOME_TRY(const json entries, parse_answer(response));
    try {
        std::vector<listed_value> found;
        for (const json& entry : entries) {
            BOOST_OUTCOME_TRY(indexed_value item, parse_entry(entry));
            found.push_back({entry.at("Key"), std::move(item)});
        }
        return found;
    } catch (const json::exception&) {
        return unavailable("the store's answer is malformed");
    }
}

support::result<indexed_value> parse_value(const http_result& response)
{
    if (!response)
        return read_failed(response.error());
    if (response.value().status == 404)
        return indexed_value{};
    if (response.value().status != 200) {
        return unavailable("the store answered status " +
                           std::to_string(response.value().status));
    }
    BOOST_OUTCOME_TRY(const json entries, parse_answer(response));
    try {
        return parse_entry(entries.at(0));
    } catch (const json::exception&) {
        return unavailable("the store's answer is malformed");
    }
}

support::result<swap_outcome> parse_swap(const http_result& response)
{
    if (!response)
        return write_failed(response.error());
    const http::response& received = response.value();
    if (received.status != 200) {
        return error{error_kind::store_outcome_unknown,
                     "the store answered status " +
                         std::to_string(received.status),
                     "read the key back to learn whether it took effect"};
    }
    const bool swapped = received.body.starts_with("true");
    return swapped ? swap_outcome::swapped : swap_outcome::index_mismatch;
}

support::result<std::string> parse_lease(const http_result& response)
{
    if (!response)
        return write_failed(response.error());
    BOOST_OUTCOME_TRY(const json session, parse_answer(response));
    try {
        return session.at("ID").get<std::string>();
    } catch (const json::exception&) {
        return unavailable("the store's answer is malformed");
    }
}

support::result<void> parse_lease_result(const http_result& response)
{
    if (!response)
        return write_failed(response.error());
    if (response.value().status == 404) {
        return error{error_kind::not_found, "the lease has lapsed",
                     "grant a new lease"};
    }
    if (response.value().status != 200) {
        return unavailable("the store answered status " +
                           std::to_string(response.value().status));
    }
    return boost::outcome_v2::success();
}

std::string seconds_text(support::duration span)
{
    return std::to_string(
               std::chrono::ceil<std::chrono::seconds>(span).count()) +
           "s";
}

std::string milliseconds_text(support::duration span)
{
    return std::to_string(
               std::chrono::ceil<support::milliseconds>(span).count()) +
           "ms";
}

} // namespace

struct consul_store::state
{
    using counter = std::uint64_t store_counters::*;

    state(asio::any_io_executor callback_executor,
          asio::any_io_executor background_executor,
          config::endpoint store_server,
          const store_limits& limits)
        : executor(std::move(callback_executor)),
          background(std::move(background_executor)),
          server(std::move(store_server)),
          read_budget(limits.reads_per_second, limits.read_burst),
          write_budget(limits.writes_per_second, limits.write_burst)
    {
    }

    asio::any_io_executor executor;
    asio::any_io_executor background;
    config::endpoint server;
    support::token_bucket read_budget;
    support::token_bucket write_budget;
    store_counters counters;
    reachability store_reachability;
    std::mutex state_mutex;

    /// Takes a token from the budget and counts the call, or counts it as over
    /// budget; watches use the read budget.
    bool admit(support::token_bucket& budget,
               counter call_counter,
               call_purpose purpose,
               read_freshness freshness = read_freshness::newest)
    {
        const std::lock_guard lock(state_mutex);
        const bool admitted =
            budget.try_take(1, support::monotonic_clock::now());
        ++(counters.*(admitted ? call_counter : &store_counters::over_budget));
        if (!admitted)
            return false;
        purpose_counts& calls = counters.of(purpose);
        ++calls.sent;
        calls.may_be_stale += freshness == read_freshness::may_be_stale ? 1 : 0;
        return true;
    }

    /// Records the result of a call and logs when the store is lost or
    /// regained.
    void
    record_result(call_purpose purpose, bool succeeded, std::string_view cause)
    {
        const std::lock_guard lock(state_mutex);
        counters.failures += succeeded ? 0 : 1;
        counters.of(purpose).failed += succeeded ? 0 : 1;
        const auto change = store_reachability.on_call(
            succeeded, support::monotonic_clock::now());
        if (!change)
            return;
        if (change->reachable) {
            telemetry::log_event(
                telemetry::log_kind::state_change, "store.regained",
                {{"outage_ms", support::to_ms(change->outage)}});
        } else {
            telemetry::log_event(telemetry::log_kind::state_change,
                                 "store.lost", {{"cause", cause}});
        }
    }
};

namespace {

error over_budget()
{
    return {error_kind::store_unavailable,
            "this daemon's rate limit of store calls is exceeded",
            "retry later; see galenarudder_store_over_budget_total"};
}

/// Sends the request if it was admitted, otherwise fails it; \c done runs on
/// the executor in both cases.
template <typename T, typename State>
void send(const std::shared_ptr<State>& state,
          call_purpose purpose,
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
        [state, purpose, request = std::move(request), timeout, parse,
         done = std::move(done)]() -> asio::awaitable<void> {
            const http::exchange_limits limits = answer_limits(timeout);
            const http_result response =
                co_await http::fetch(state->server, request, limits);
            const std::size_t bytes =
                response ? response.value().body.size() : 0;
            support::result<T> parsed = co_await support::run_by_size(
                bytes, state->background, state->executor,
                [&response, parse] { return parse(response); });
            // A lapsed lease is a valid answer of a reachable store.
            const bool succeeded =
                parsed || parsed.error().kind == error_kind::not_found;
            state->record_result(purpose, succeeded,
                                 succeeded ? std::string_view()
                                           : parsed.error().message);
            done(std::move(parsed));
        },
        asio::detached);
}

} // namespace

consul_store::consul_store(asio::any_io_executor executor,
                           asio::any_io_executor background,
                           config::endpoint server,
                           const store_limits& limits)
    : state_(std::make_shared<state>(std::move(executor),
                                     std::move(background),
                                     std::move(server),
                                     limits))
{
}

store_counters consul_store::counters() const
{
    const std::lock_guard lock(state_->state_mutex);
    return state_->counters;
}

consul_store::~consul_store() = default;

void consul_store::get(const std::string& key,
                       read_freshness freshness,
                       support::duration timeout,
                       callback<indexed_value> done)
{
    const call_purpose purpose = purpose_of(call_operation::read, key);
    send<indexed_value>(
        state_, purpose,
        state_->admit(state_->read_budget, &store_counters::reads, purpose,
                      freshness),
        {"GET",
         "/v1/kv/" + encode_key(key) +
             (freshness == read_freshness::may_be_stale ? "?stale" : ""),
         "",
         {}},
        timeout, parse_value, std::move(done));
}

void consul_store::list(const std::string& prefix,
                        read_freshness freshness,
                        support::duration timeout,
                        callback<std::vector<listed_value>> done)
{
    const call_purpose purpose = purpose_of(call_operation::read, prefix);
    send<std::vector<listed_value>>(
        state_, purpose,
        state_->admit(state_->read_budget, &store_counters::reads, purpose,
                      freshness),
        {"GET",
         "/v1/kv/" + encode_key(prefix) + "?recurse" +
             (freshness == read_freshness::may_be_stale ? "&stale" : ""),
         "",
         {}},
        timeout, parse_list, std::move(done));
}

void consul_store::compare_and_swap(const std::string& key,
                                    std::string value,
                                    const change_index& expected_index,
                                    const std::string& lease,
                                    support::duration timeout,
                                    callback<swap_outcome> done)
{
    const call_purpose purpose = purpose_of(call_operation::write, key);
    std::string path = "/v1/kv/" + encode_key(key) +
                       "?cas=" + std::to_string(expected_index.number);
    if (!lease.empty())
        path += "&acquire=" + http::percent_encode(lease);
    send<swap_outcome>(
        state_, purpose,
        state_->admit(state_->write_budget, &store_counters::writes, purpose),
        {"PUT", std::move(path), std::move(value), {}}, timeout, parse_swap,
        std::move(done));
}

void consul_store::watch(const std::string& key,
                         const change_index& known_index,
                         support::duration wait,
                         callback<indexed_value> done)
{
    const call_purpose purpose = purpose_of(call_operation::watch, key);
    const std::string path = "/v1/kv/" + encode_key(key) +
                             "?index=" + std::to_string(known_index.number) +
                             "&wait=" + milliseconds_text(wait);
    send<indexed_value>(
        state_, purpose,
        state_->admit(state_->read_budget, &store_counters::watches, purpose),
        {"GET", path, "", {}}, wait + watch_grace, parse_value,
        std::move(done));
}

void consul_store::grant_lease(support::duration ttl,
                               support::duration timeout,
                               callback<std::string> done)
{
    const call_purpose purpose = call_purpose::lease;
    const json body = {{"TTL", seconds_text(ttl)}, {"Behavior", "delete"}};
    send<std::string>(
        state_, purpose,
        state_->admit(state_->write_budget, &store_counters::writes, purpose),
        {"PUT", "/v1/session/create", body.dump(), {}}, timeout, parse_lease,
        std::move(done));
}

void consul_store::renew_lease(const std::string& lease,
                               support::duration timeout,
                               callback<void> done)
{
    const call_purpose purpose = call_purpose::lease;
    send<void>(
        state_, purpose,
        state_->admit(state_->write_budget, &store_counters::writes, purpose),
        {"PUT", "/v1/session/renew/" + lease, "", {}}, timeout,
        parse_lease_result, std::move(done));
}

void consul_store::revoke_lease(const std::string& lease,
                                support::duration timeout,
                                callback<void> done)
{
    const call_purpose purpose = call_purpose::lease;
    send<void>(
        state_, purpose,
        state_->admit(state_->write_budget, &store_counters::writes, purpose),
        {"PUT", "/v1/session/destroy/" + lease, "", {}}, timeout,
        parse_lease_result, std::move(done));
}

} // namespace galenarudder::store
