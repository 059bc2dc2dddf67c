// PUT and DELETE /v1/upstream, POST /v1/upstream/drain, and the heartbeat.
#include "galenarudder/daemon/announcement_port.hpp"

#include "galenarudder/config/schema.hpp"
#include "galenarudder/http/problem.hpp"
#include "galenarudder/http/service.hpp"

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

http::response done()
{
    return {status_no_content, "", "", {}};
}

http::response not_served(const http::request& received)
{
    return http::problem(
        status_not_found,
        {support::error_kind::not_found,
         received.method + " " + received.path + " is not served here",
         "use PUT or DELETE /v1/upstream, or POST "
         "/v1/upstream/drain"});
}

} // namespace

support::result<announcement> parse_announcement(std::string_view text)
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
    announcement stated;
    stated.life.service = document.at("service");
    stated.life.address = std::move(address).value();
    stated.life.slots = document.at("slots");
    stated.connections = document.at("connections");
    stated.probe_path = document.value("probe_path", "");
    return stated;
}

class announcement_port::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, announcement_handlers handlers)
        : strand_(asio::make_strand(io)), lapse_(strand_),
          handlers_(std::move(handlers)),
          service_(io, [this](http::request received) {
              return answer(std::move(received));
          })
    {
    }

    support::result<void> listen(const config::endpoint& where)
    {
        return service_.listen(where);
    }

private:
    asio::awaitable<http::response> answer(http::request received);
    http::response announce(const http::request& received);
    void restart_heartbeat();
    void stop_heartbeat();

    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer lapse_;
    announcement_handlers handlers_;
    http::service service_;
};

void announcement_port::impl::restart_heartbeat()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->lapse_.expires_after(heartbeat_timeout);
        self->lapse_.async_wait([weak = self->weak_from_this()](
                                    boost::system::error_code canceled) {
            const auto kept = weak.lock();
            if (kept && !canceled)
                kept->handlers_.gone();
        });
    });
}

void announcement_port::impl::stop_heartbeat()
{
    asio::post(strand_, [self = shared_from_this()] { self->lapse_.cancel(); });
}

http::response announcement_port::impl::announce(const http::request& received)
{
    auto parsed = parse_announcement(received.body);
    if (!parsed)
        return http::problem(status_bad_request, parsed.error());
    handlers_.announced(parsed.value());
    restart_heartbeat();
    return {status_no_content, "", "", {}};
}

asio::awaitable<http::response>
announcement_port::impl::answer(http::request received)
{
    const bool about_upstream = received.path == "/v1/upstream";
    if (about_upstream && received.method == "PUT")
        co_return announce(received);
    if (about_upstream && received.method == "DELETE") {
        stop_heartbeat();
        handlers_.gone();
        co_return done();
    }
    if (received.path == "/v1/upstream/drain" && received.method == "POST") {
        handlers_.drain();
        co_return done();
    }
    co_return not_served(received);
}

announcement_port::announcement_port(asio::io_context& io,
                                     announcement_handlers handlers)
    : impl_(std::make_shared<impl>(io, std::move(handlers)))
{
}

announcement_port::~announcement_port() = default;

support::result<void> announcement_port::listen(const config::endpoint& where)
{
    return impl_->listen(where);
}

} // namespace galenarudder::daemon
