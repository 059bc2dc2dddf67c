// Serves each path with the handler that the route table names.
#include "galenarudder/daemon/operator_port.hpp"

#include "galenarudder/daemon/node.hpp"
#include "galenarudder/daemon/node_report.hpp"
#include "galenarudder/http/problem.hpp"
#include "galenarudder/http/server.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr const char* json_type = "application/json";
constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_forbidden = 403;
constexpr unsigned status_not_found = 404;

http::response unknown_path()
{
    const json body = {{"title", "not-found"},
                       {"status", status_not_found},
                       {"remedy", "see docs/operators for the paths"}};
    return {status_not_found, "application/problem+json", body.dump(), {}};
}

} // namespace

class operator_port::impl
{
public:
    impl(asio::io_context& io, operator_handlers handlers)
        : handlers_(std::move(handlers)),
          service_(io, [this](http::request http_request) {
              return handle_request(std::move(http_request));
          })
    {
    }

    support::result<void> listen(const config::endpoint& address)
    {
        return service_.listen(address);
    }

private:
    using handler = http::response (impl::*)(const http::request&);
    struct route
    {
        std::string_view method;
        std::string_view path;
        handler handle;
    };
    static const route routes[];

    asio::awaitable<http::response> handle_request(http::request http_request);
    http::response metrics(const http::request&);
    http::response health(const http::request&);
    http::response status(const http::request&);
    http::response members(const http::request&);
    http::response configuration(const http::request&);
    http::response send_transfer(const http::request& http_request);
    http::response accept_transfer(const http::request& http_request);
    http::response drain(const http::request&);
    http::response decisions(const http::request&);
    http::response history(const http::request&);
    http::response snapshot(const http::request&);

    operator_handlers handlers_;
    http::server service_;
};

const operator_port::impl::route operator_port::impl::routes[] = {
    {"GET", "/metrics", &impl::metrics},
    {"GET", "/v1/health", &impl::health},
    {"GET", "/v1/status", &impl::status},
    {"GET", "/v1/members", &impl::members},
    {"GET", "/v1/configuration", &impl::configuration},
    {"PUT", "/v1/configuration", &impl::accept_transfer},
    {"POST", "/v1/drain", &impl::drain},
    {"GET", "/v1/decisions", &impl::decisions},
    {"GET", "/v1/history", &impl::history},
    {"GET", "/v1/snapshot", &impl::snapshot},
};

asio::awaitable<http::response>
operator_port::impl::handle_request(http::request http_request)
{
    for (const route& candidate : routes) {
        if (candidate.method != http_request.method ||
            candidate.path != http_request.path)
            continue;
        co_await asio::dispatch(
            asio::bind_executor(handlers_.executor, asio::use_awaitable));
        co_return (this->*candidate.handle)(http_request);
    }
    co_return unknown_path();
}

http::response operator_port::impl::metrics(const http::request&)
{
    return {status_ok,
            "text/plain; version=0.0.4",
            handlers_.metrics() + render_node_metrics(*handlers_.node),
            {}};
}

http::response operator_port::impl::health(const http::request&)
{
    return {status_ok, json_type, R"({"status":"ok"})", {}};
}

http::response operator_port::impl::status(const http::request&)
{
    const membership::member_record& self = handlers_.node->member().self();
    json body = encode_member(self);
    body["version"] = GALENARUDDER_VERSION;
    body["known_members"] = handlers_.node->member().records().size();
    return {status_ok, json_type, body.dump(), {}};
}

http::response operator_port::impl::members(const http::request&)
{
    json members_json = json::array();
    for (const auto& record : handlers_.node->member().records())
        members_json.push_back(encode_member(record));
    return {status_ok, json_type, members_json.dump(), {}};
}

http::response
operator_port::impl::configuration(const http::request& http_request)
{
    if (http_request.query_parameter("from") != nullptr)
        return send_transfer(http_request);
    const config::document* current = handlers_.node->rollout().current();
    if (current == nullptr)
        return {status_not_found, json_type, "{}", {}};
    return {status_ok, json_type, config::serialize(*current), {}};
}

/// Responds to a peer that holds an older version with a signed transfer.
http::response
operator_port::impl::send_transfer(const http::request& http_request)
{
    const std::string* hash = http_request.query_parameter("hash");
    const rollout::document_id peer_document{
        std::strtoull(http_request.query_parameter("from")->c_str(), nullptr,
                      10),
        hash == nullptr ? std::string() : *hash};
    std::string encoded = handlers_.node->rollout().transfer_for(peer_document);
    if (encoded.empty())
        return {status_no_content, "", "", {}};
    const config::shared_key& key = handlers_.settings->keys.front();
    std::vector<http::field> fields = {
        {rollout::key_id_field, key.id},
        {rollout::signature_field, rollout::sign_transfer(key, encoded)}};
    return {status_ok, json_type, std::move(encoded), std::move(fields)};
}

http::response
operator_port::impl::accept_transfer(const http::request& http_request)
{
    const auto verified = rollout::verify_transfer(
        handlers_.settings->keys,
        http::field_or_empty(http_request.fields, rollout::key_id_field),
        http::field_or_empty(http_request.fields, rollout::signature_field),
        http_request.body);
    if (!verified)
        return http::problem_response(status_forbidden, verified.error());
    const std::string* sender = http_request.query_parameter("sender");
    handlers_.transfer(http_request.body,
                       sender == nullptr ? std::string() : *sender);
    const json body = {{"version", handlers_.node->rollout().version()}};
    return {status_accepted, json_type, body.dump(), {}};
}

http::response operator_port::impl::drain(const http::request&)
{
    handlers_.drain();
    return {status_accepted, json_type, "{}", {}};
}

http::response operator_port::impl::decisions(const http::request&)
{
    const auto now = support::monotonic_clock::now();
    return {status_ok, json_type, render_decisions(*handlers_.node, now), {}};
}

http::response operator_port::impl::history(const http::request&)
{
    return {status_ok, json_type, render_history(*handlers_.node), {}};
}

http::response operator_port::impl::snapshot(const http::request&)
{
    const std::string& site = handlers_.settings->domain;
    const auto now = support::monotonic_clock::now();
    return {status_ok,
            "application/jsonl",
            render_snapshot(*handlers_.node, site, now),
            {}};
}

operator_port::operator_port(asio::io_context& io, operator_handlers handlers)
    : impl_(std::make_shared<impl>(io, std::move(handlers)))
{
}

operator_port::~operator_port() = default;

support::result<void> operator_port::listen(const config::endpoint& address)
{
    return impl_->listen(address);
}

} // namespace galenarudder::daemon
