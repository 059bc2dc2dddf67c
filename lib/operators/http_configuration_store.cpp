// One GET or PUT of the store's key-value interface for each call.
#include "galenarudder/operators/http_configuration_store.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/store/platform_store.hpp"

#include <cstdlib>

namespace galenarudder::operators {

using support::error;
using support::error_kind;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

std::string key_path()
{
    std::string path = "/v1/kv/";
    path += store::configuration_key;
    return path;
}

error unavailable(std::string message)
{
    return {error_kind::store_unavailable, std::move(message),
            "check the platform's key-value service and --store"};
}

error unknown(std::string message)
{
    return {error_kind::store_outcome_unknown, std::move(message),
            "read the key back"};
}

} // namespace

http_configuration_store::http_configuration_store(config::endpoint where,
                                                   support::duration timeout)
    : where_(std::move(where)), timeout_(timeout)
{
}

support::result<stored_configuration> http_configuration_store::read()
{
    auto answer = http::fetch_blocking(
        where_, {"GET", key_path() + "?raw", "", {}}, timeout_);
    if (!answer)
        return unavailable(answer.error().message);
    const http::response& received = answer.value();
    if (received.status == status_not_found)
        return stored_configuration{};
    if (received.status != status_ok) {
        return unavailable("the store answered status " +
                           std::to_string(received.status));
    }
    const std::string index(
        http::field_or_empty(received.fields, "X-Consul-Index"));
    return stored_configuration{received.body,
                                std::strtoull(index.c_str(), nullptr, 10)};
}

support::result<bool>
http_configuration_store::swap(const std::string& text,
                               std::uint64_t expected_index)
{
    const std::string target =
        key_path() + "?cas=" + std::to_string(expected_index);
    auto answer =
        http::fetch_blocking(where_, {"PUT", target, text, {}}, timeout_);
    if (!answer && answer.error().kind == error_kind::connection_failed)
        return unavailable(answer.error().message);
    if (!answer)
        return unknown(answer.error().message);
    if (answer.value().status != status_ok) {
        return unknown("the store answered status " +
                       std::to_string(answer.value().status));
    }
    return answer.value().body.starts_with("true");
}

} // namespace galenarudder::operators
