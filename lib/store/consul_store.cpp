// Maps the store's calls to KV and session requests.
#include "galenarudder/store/consul_store.hpp"

#include "galenarudder/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

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

std::string base64_decode(std::string_view text)
{
    static constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string plain;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const std::size_t digit = alphabet.find(letter);
        if (digit == std::string_view::npos)
            break;
        bits = (bits << 6) | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count < 8)
            continue;
        count -= 8;
        plain += static_cast<char>((bits >> count) & 0xff);
    }
    return plain;
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
        const json entry = json::parse(answer.value().body).at(0);
        versioned_value found;
        if (!entry.at("Value").is_null())
            found.value = base64_decode(entry.at("Value").get<std::string>());
        found.index = entry.at("ModifyIndex");
        found.lease = entry.value("Session", "");
        return found;
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
    asio::any_io_executor executor;
    config::endpoint where;

    template <typename T>
    void send(http::client_request request,
              support::duration timeout,
              support::result<T> (*parse)(const http_result&),
              callback<T> done)
    {
        asio::co_spawn(
            executor,
            [to = where, request = std::move(request), timeout, parse,
             done = std::move(done)]() -> asio::awaitable<void> {
                done(parse(co_await http::fetch(to, request, timeout)));
            },
            asio::detached);
    }
};

consul_store::consul_store(asio::any_io_executor executor,
                           config::endpoint where)
    : state_(
          std::make_unique<state>(state{std::move(executor), std::move(where)}))
{
}

consul_store::~consul_store() = default;

void consul_store::get(const std::string& key,
                       support::duration timeout,
                       callback<versioned_value> done)
{
    state_->send<versioned_value>({"GET", "/v1/kv/" + key, "", {}}, timeout,
                                  parse_value, std::move(done));
}

void consul_store::compare_and_swap(const std::string& key,
                                    std::string value,
                                    std::uint64_t expected_index,
                                    const std::string& lease,
                                    support::duration timeout,
                                    callback<swap_outcome> done)
{
    std::string target =
        "/v1/kv/" + key + "?cas=" + std::to_string(expected_index);
    if (!lease.empty())
        target += "&acquire=" + http::percent_encode(lease);
    state_->send<swap_outcome>({"PUT", std::move(target), std::move(value), {}},
                               timeout, parse_swap, std::move(done));
}

void consul_store::watch(const std::string& key,
                         std::uint64_t known_index,
                         support::duration wait,
                         callback<versioned_value> done)
{
    const std::string target = "/v1/kv/" + key +
                               "?index=" + std::to_string(known_index) +
                               "&wait=" + seconds_text(wait);
    state_->send<versioned_value>({"GET", target, "", {}}, wait + watch_grace,
                                  parse_value, std::move(done));
}

void consul_store::grant_lease(support::duration ttl,
                               support::duration timeout,
                               callback<std::string> done)
{
    const json body = {{"TTL", seconds_text(ttl)}, {"Behavior", "delete"}};
    state_->send<std::string>({"PUT", "/v1/session/create", body.dump(), {}},
                              timeout, parse_lease, std::move(done));
}

void consul_store::renew_lease(const std::string& lease,
                               support::duration timeout,
                               callback<void> done)
{
    state_->send<void>({"PUT", "/v1/session/renew/" + lease, "", {}}, timeout,
                       parse_done, std::move(done));
}

void consul_store::revoke_lease(const std::string& lease,
                                support::duration timeout,
                                callback<void> done)
{
    state_->send<void>({"PUT", "/v1/session/destroy/" + lease, "", {}}, timeout,
                       parse_done, std::move(done));
}

} // namespace galenarudder::store
