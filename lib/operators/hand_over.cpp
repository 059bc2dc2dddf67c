// Signed PUT requests to daemons' operator ports, all at once.
#include "galenarudder/operators/hand_over.hpp"

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

http::client_request hand_over_request(const std::string& encoded,
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
choose_receivers(std::span<const receiver> members)
{
    std::map<std::string, std::size_t> taken;
    std::vector<config::endpoint> chosen;
    for (const receiver& member : members) {
        if (taken[member.domain] == receivers_per_domain)
            continue;
        ++taken[member.domain];
        chosen.push_back(member.operators);
    }
    return chosen;
}

std::size_t hand_over(const config::document& accepted,
                      std::span<const config::endpoint> to,
                      const config::shared_key& key,
                      support::duration timeout)
{
    const std::string stored = config::serialize(accepted);
    const std::string encoded = rollout::encode(
        rollout::make_transfer("", 0, stored, accepted.version));
    const http::client_request request = hand_over_request(encoded, key);
    asio::io_context io;
    std::size_t count = 0;
    for (const config::endpoint& where : to) {
        asio::co_spawn(
            io,
            [&count, &request, where, timeout]() -> asio::awaitable<void> {
                const auto answer =
                    co_await http::fetch(where, request, timeout);
                const bool taken =
                    answer && answer.value().status == status_accepted;
                count += taken ? 1 : 0;
            },
            asio::detached);
    }
    io.run();
    return count;
}

} // namespace galenarudder::operators
