// Each call is one GET or PUT request to the store's key-value API.
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

error unavailable_error(std::string message)
{
    return {error_kind::store_unavailable, std::move(message),
            "check the platform's key-value service and --store"};
}

error unknown_outcome_error(std::string message)
{
    return {error_kind::store_outcome_unknown, std::move(message),
            "read the key back"};
}

} // namespace

http_configuration_store::http_configuration_store(
    config::endpoint store_address, support::duration timeout)
    : store_address_(std::move(store_address)), timeout_(timeout)
{
}

support::result<stored_configuration> http_configuration_store::read()
{
    auto fetch_result = http::fetch_blocking(
        store_address_, {"GET", key_path() + "?raw", "", {}}, timeout_);
    if (!fetch_result)
        return unavailable_error(fetch_result.error().message);
    const http::response& http_response = fetch_result.value();
    if (http_response.status == status_not_found)
        return stored_configuration{};
    if (http_response.status != status_ok) {
        return unavailable_error("the store returned status " +
                                 std::to_string(http_response.status));
    }
    const std::string index(
        http::field_or_empty(http_response.fields, "X-Consul-Index"));
    return stored_configuration{http_response.body,
                                std::strtoull(index.c_str(), nullptr, 10)};
}

support::result<bool>
http_configuration_store::swap(const std::string& text,
                               std::uint64_t expected_index)
{
    const std::string target =
        key_path() + "?cas=" + std::to_string(expected_index);
    auto fetch_result = http::fetch_blocking(
        store_address_, {"PUT", target, text, {}}, timeout_);
    if (!fetch_result &&
        fetch_result.error().kind == error_kind::connection_failed)
        return unavailable_error(fetch_result.error().message);
    if (!fetch_result)
        return unknown_outcome_error(fetch_result.error().message);
    if (fetch_result.value().status != status_ok) {
        return unknown_outcome_error(
            "the store returned status " +
            std::to_string(fetch_result.value().status));
    }
    return fetch_result.value().body.starts_with("true");
}

} // namespace galenarudder::operators
