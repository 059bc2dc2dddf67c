// Serves each path with the handler that the route table names.
#include "galenarudder/daemon/operator_port.hpp"

#include "galenarudder/daemon/node.hpp"
#include "galenarudder/daemon/node_report.hpp"
#include "galenarudder/http/problem.hpp"
#include "galenarudder/http/server.hpp"
#include "galenarudder/support/compression.hpp"

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

http::response no_newer_document()
{
    return {status_no_content, "", "", {}};
}

http::response signed_transfer(std::string encoded,
                               const config::shared_key& key)
{
    std::vector<http::field> fields = {
        {rollout::key_id_field, key.id},
        {rollout::signature_field, rollout::sign_transfer(key, encoded)}};
    return {status_ok, json_type, std::move(encoded), std::move(fields)};
}

/// Makes the response with a transfer. Many peers ask for the same change at
/// once over links that are narrow, so a large one is compressed, and the last
/// response is kept. Must be called in one thread.
class transfer_responses
{
public:
    http::response make(std::string encoded,
                        const config::shared_key& key,
                        bool may_be_compressed)
    {
        constexpr std::size_t small_bytes = 4096;
        if (!may_be_compressed || encoded.size() <= small_bytes)
            return signed_transfer(std::move(encoded), key);
        std::string hash = rollout::hash_of(encoded);
        if (hash == last_hash_)
            return last_;
        last_ = signed_transfer(encoded, key);
        last_.body = support::compress(encoded);
        last_.fields.push_back(
            {rollout::encoding_field, rollout::deflate_encoding});
        last_.fields.push_back(
            {rollout::plain_size_field, std::to_string(encoded.size())});
        last_hash_ = std::move(hash);
        return last_;
    }

private:
    std::string last_hash_;
    http::response last_;
};

http::response accepted_transfer(std::uint64_t version)
{
    const json body = {{"version", version}};
    return {status_accepted, json_type, body.dump(), {}};
}

http::response metrics_response(std::string text)
{
    return {status_ok, "text/plain; version=0.0.4", std::move(text), {}};
}

http::response snapshot_response(const node_snapshot& taken)
{
    return {status_ok, "application/jsonl", render(taken), {}};
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
    using handler = asio::awaitable<http::response> (impl::*)(http::request);
    struct route
    {
        std::string_view method;
        std::string_view path;
        handler handle;
    };
    static const route routes[];

    /// Used in the background only, which is one thread.
    transfer_responses transfer_responses_;

    asio::awaitable<http::response> handle_request(http::request http_request);
    asio::awaitable<void> enter(asio::any_io_executor executor);
    /// Calls \p Respond on the executor of the handlers.
    template <http::response (impl::*Respond)(const http::request&)>
    asio::awaitable<http::response> on_executor(http::request http_request);
    asio::awaitable<http::response> configuration(http::request http_request);
    asio::awaitable<http::response> accept_transfer(http::request http_request);
    asio::awaitable<http::response> snapshot(http::request http_request);
    asio::awaitable<http::response> metrics(http::request http_request);
    http::response health(const http::request&);
    http::response status(const http::request&);
    http::response members(const http::request&);
    http::response domains(const http::request&);
    http::response full_configuration();
    std::string transfer_to(const http::request& http_request) const;
    http::response drain(const http::request&);
    http::response decisions(const http::request&);
    http::response history(const http::request&);

    operator_handlers handlers_;
    http::server service_;
};

const operator_port::impl::route operator_port::impl::routes[] = {
    {"GET", "/metrics", &impl::metrics},
    {"GET", "/v1/health", &impl::on_executor<&impl::health>},
    {"GET", "/v1/status", &impl::on_executor<&impl::status>},
    {"GET", "/v1/members", &impl::on_executor<&impl::members>},
    {"GET", "/v1/domains", &impl::on_executor<&impl::domains>},
    {"GET", "/v1/configuration", &impl::configuration},
    {"PUT", "/v1/configuration", &impl::accept_transfer},
    {"POST", "/v1/drain", &impl::on_executor<&impl::drain>},
    {"GET", "/v1/decisions", &impl::on_executor<&impl::decisions>},
    {"GET", "/v1/history", &impl::on_executor<&impl::history>},
    {"GET", "/v1/snapshot", &impl::snapshot},
};

asio::awaitable<http::response>
operator_port::impl::handle_request(http::request http_request)
{
    for (const route& candidate : routes) {
        if (candidate.method != http_request.method ||
            candidate.path != http_request.path)
            continue;
        co_return co_await (this->*candidate.handle)(std::move(http_request));
    }
    co_return unknown_path();
}

/// Continues the calling coroutine on \p executor.
asio::awaitable<void> operator_port::impl::enter(asio::any_io_executor executor)
{
    co_await asio::dispatch(asio::bind_executor(executor, asio::use_awaitable));
}

template <http::response (operator_port::impl::*Respond)(const http::request&)>
asio::awaitable<http::response>
operator_port::impl::on_executor(http::request http_request)
{
    co_await enter(handlers_.executor);
    co_return (this->*Respond)(http_request);
}

asio::awaitable<http::response> operator_port::impl::metrics(http::request)
{
    co_await enter(handlers_.executor);
    const std::string of_control = handlers_.collect_metrics();
    co_await enter(handlers_.background);
    // What explains late changes comes first, for readers that keep only the
    // beginning of a page.
    co_return metrics_response(of_control + handlers_.render_metrics());
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

/// Responds with the emptied domains and the calls that run here.
http::response operator_port::impl::domains(const http::request&)
{
    const support::time_point now = support::monotonic_clock::now();
    json emptied = json::array();
    for (const auto& [domain, state] : handlers_.node->domains().states()) {
        if (!state.emptied)
            continue;
        emptied.push_back({{"domain", domain},
                           {"for_ms", support::to_ms(now - state.since)},
                           {"revision", state.revision.number}});
    }
    const json body = {
        {"domain", handlers_.settings->domain},
        {"emptied", std::move(emptied)},
        {"running", handlers_.running_calls ? handlers_.running_calls() : 0}};
    return {status_ok, json_type, body.dump(), {}};
}

http::response operator_port::impl::full_configuration()
{
    const rollout::built_document_ptr& current =
        handlers_.node->rollout().built();
    if (!current)
        return {status_not_found, json_type, "{}", {}};
    return {status_ok, json_type, current->text, {}};
}

std::string
operator_port::impl::transfer_to(const http::request& http_request) const
{
    const std::string* hash = http_request.query_parameter("hash");
    const rollout::document_id peer_document{
        std::strtoull(http_request.query_parameter("from")->c_str(), nullptr,
                      10),
        hash == nullptr ? std::string() : *hash};
    return handlers_.node->rollout().transfer_for(peer_document);
}

/// Responds with the full document, or to a peer that holds an older version
/// with a signed transfer.
asio::awaitable<http::response>
operator_port::impl::configuration(http::request http_request)
{
    co_await enter(handlers_.executor);
    if (http_request.query_parameter("from") == nullptr)
        co_return full_configuration();
    std::string encoded = transfer_to(http_request);
    if (encoded.empty())
        co_return no_newer_document();
    const bool may_be_compressed =
        http::field_or_empty(http_request.fields,
                             rollout::accepted_encoding_field) ==
        rollout::deflate_encoding;
    co_await enter(handlers_.background);
    co_return transfer_responses_.make(std::move(encoded),
                                       handlers_.settings->keys.front(),
                                       may_be_compressed);
}

asio::awaitable<http::response>
operator_port::impl::accept_transfer(http::request http_request)
{
    co_await enter(handlers_.background);
    const auto verified = rollout::verify_transfer(
        handlers_.settings->keys,
        http::field_or_empty(http_request.fields, rollout::key_id_field),
        http::field_or_empty(http_request.fields, rollout::signature_field),
        http_request.body);
    if (!verified)
        co_return http::problem_response(status_forbidden, verified.error());
    co_await enter(handlers_.executor);
    const std::string* sender = http_request.query_parameter("sender");
    handlers_.transfer(http_request.body,
                       sender == nullptr ? std::string() : *sender);
    co_return accepted_transfer(handlers_.node->rollout().version());
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

asio::awaitable<http::response> operator_port::impl::snapshot(http::request)
{
    co_await enter(handlers_.executor);
    const node_snapshot taken =
        take_snapshot(*handlers_.node, handlers_.settings->domain,
                      support::monotonic_clock::now());
    co_await enter(handlers_.background);
    co_return snapshot_response(taken);
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
