// PUT and DELETE /v1/upstream, POST /v1/upstream/drain, and the timeout of the
// heartbeat.
#include "galenarudder/daemon/announcement_port.hpp"

#include "galenarudder/config/schema.hpp"
#include "galenarudder/http/problem.hpp"
#include "galenarudder/http/server.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

namespace galenarudder::daemon {

namespace asio = boost::asio;

namespace {

constexpr const char* announcement_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["service", "address", "slots", "connections"],
  "properties": {
    "service": {"type": "string", "minLength": 1, "maxLength": 64},
    "address": {"type": "string"},
    "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
    "connections": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "load": {"type": "number", "minimum": 0},
    "probe_path": {"type": "string", "pattern": "^/", "maxLength": 256}
  }
})";

constexpr auto heartbeat_timeout = std::chrono::seconds(3);

constexpr unsigned status_no_content = 204;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;

http::response no_content()
{
    return {status_no_content, "", "", {}};
}

http::response unknown_path(const http::request& http_request)
{
    return http::problem_response(
        status_not_found,
        {support::error_kind::not_found,
         http_request.method + " " + http_request.path + " is not served here",
         "use PUT or DELETE /v1/upstream, or POST "
         "/v1/upstream/drain"});
}

} // namespace

support::result<upstream_announcement> parse_announcement(std::string_view text)
{
    auto parsed =
        config::parse_and_check(text, "announcement", announcement_schema);
    if (!parsed)
        return std::move(parsed).error();
    const nlohmann::json& document = parsed.value();
    auto address =
        config::parse_endpoint(document.at("address").get<std::string>());
    if (!address)
        return std::move(address).error();
    upstream_announcement result;
    result.content.service = document.at("service");
    result.content.address = std::move(address).value();
    result.content.slots = document.at("slots");
    result.connections = document.at("connections");
    result.probe_path = document.value("probe_path", "");
    return result;
}

class announcement_port::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, announcement_handlers handlers)
        : strand_(asio::make_strand(io)), heartbeat_timer_(strand_),
          handlers_(std::move(handlers)),
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
    asio::awaitable<http::response> handle_request(http::request http_request);
    http::response announce(const http::request& http_request);
    void restart_heartbeat_timer();
    void stop_heartbeat_timer();

    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer heartbeat_timer_;
    announcement_handlers handlers_;
    http::server service_;
};

void announcement_port::impl::restart_heartbeat_timer()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->heartbeat_timer_.expires_after(heartbeat_timeout);
        self->heartbeat_timer_.async_wait(
            [weak =
                 self->weak_from_this()](boost::system::error_code canceled) {
                const auto self = weak.lock();
                if (self && !canceled)
                    self->handlers_.gone();
            });
    });
}

void announcement_port::impl::stop_heartbeat_timer()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->heartbeat_timer_.cancel();
    });
}

http::response
announcement_port::impl::announce(const http::request& http_request)
{
    auto parsed = parse_announcement(http_request.body);
    if (!parsed)
        return http::problem_response(status_bad_request, parsed.error());
    handlers_.announced(parsed.value());
    restart_heartbeat_timer();
    return {status_no_content, "", "", {}};
}

asio::awaitable<http::response>
announcement_port::impl::handle_request(http::request http_request)
{
    const bool is_upstream_path = http_request.path == "/v1/upstream";
    if (is_upstream_path && http_request.method == "PUT")
        co_return announce(http_request);
    if (is_upstream_path && http_request.method == "DELETE") {
        stop_heartbeat_timer();
        handlers_.gone();
        co_return no_content();
    }
    if (http_request.path == "/v1/upstream/drain" &&
        http_request.method == "POST") {
        handlers_.drain();
        co_return no_content();
    }
    co_return unknown_path(http_request);
}

announcement_port::announcement_port(asio::io_context& io,
                                     announcement_handlers handlers)
    : impl_(std::make_shared<impl>(io, std::move(handlers)))
{
}

announcement_port::~announcement_port() = default;

support::result<void> announcement_port::listen(const config::endpoint& address)
{
    return impl_->listen(address);
}

} // namespace galenarudder::daemon
