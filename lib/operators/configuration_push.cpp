// Sends signed PUT requests to the daemons' operator ports, all at the same
// time.
#include "galenarudder/operators/configuration_push.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/rollout/transfer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <map>

namespace galenarudder::operators {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_accepted = 202;

http::client_request push_request(const std::string& encoded,
                                  const config::shared_key& key)
{
    http::client_request request;
    request.method = "PUT";
    request.target = "/v1/configuration";
    request.body = encoded;
    request.fields = {
        {rollout::key_id_field, key.id},
        {rollout::signature_field, rollout::sign_transfer(key, encoded)}};
    return request;
}

} // namespace

std::vector<config::endpoint>
select_receivers(std::span<const receiver> members)
{
    std::map<std::string, std::size_t> selected_per_domain;
    std::vector<config::endpoint> addresses;
    for (const receiver& member : members) {
        if (selected_per_domain[member.domain] == receivers_per_domain)
            continue;
        ++selected_per_domain[member.domain];
        addresses.push_back(member.operators);
    }
    return addresses;
}

std::size_t push_configuration(const config::document& accepted,
                               std::span<const config::endpoint> receivers,
                               const config::shared_key& key,
                               support::duration timeout)
{
    const std::string stored_form = config::serialize(accepted);
    const std::string encoded = rollout::encode(
        rollout::make_transfer("", 0, stored_form, accepted.version));
    const http::client_request request = push_request(encoded, key);
    asio::io_context io;
    std::size_t accepted_count = 0;
    for (const config::endpoint& address : receivers) {
        asio::co_spawn(
            io,
            [&accepted_count, &request, address,
             timeout]() -> asio::awaitable<void> {
                const auto fetch_result =
                    co_await http::fetch(address, request, timeout);
                const bool is_accepted =
                    fetch_result &&
                    fetch_result.value().status == status_accepted;
                accepted_count += is_accepted ? 1 : 0;
            },
            asio::detached);
    }
    io.run();
    return accepted_count;
}

} // namespace galenarudder::operators
