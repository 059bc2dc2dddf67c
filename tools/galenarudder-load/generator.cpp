// One coroutine per connection takes due calls from a shared queue.
#include "generator.hpp"

#include "galenarudder/support/json.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>

namespace galenarudder::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using support::monotonic_clock;
using request_message = bhttp::request<bhttp::string_body>;
using response_parser = bhttp::response_parser<bhttp::string_body>;

namespace {

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
constexpr auto connect_timeout = std::chrono::seconds(2);
constexpr std::string_view nonce_field = "X-Nonce";
constexpr unsigned first_error_status = 400;

/// A call that is to be sent at \c due. With a fixed rate its latency counts
/// from that time, even if every connection is busy then.
struct due_call
{
    std::uint64_t number = 0;
    support::time_point due;
};

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the kind and outcome of a problem document, or an empty string.
std::string refusal_of(const std::string& body)
{
    const auto parsed = support::parse_json(body);
    if (!parsed || !parsed.value().is_object())
        return {};
    const auto text_of = [&](const char* field) -> std::string {
        const auto found = parsed.value().find(field);
        return found != parsed.value().end() && found->is_string()
                   ? found->get<std::string>()
                   : std::string();
    };
    const std::string kind = text_of("kind");
    return kind.empty() ? kind : kind + "/" + text_of("outcome");
}

class generator
{
public:
    explicit generator(const plan& load_plan)
        : plan_(load_plan), call_due_timer_(io_),
          run_id_(std::to_string(std::random_device{}()))
    {
        call_due_timer_.expires_at(asio::steady_timer::time_point::max());
    }

    load_report run();

private:
    /// One keep-alive connection.
    struct client_connection
    {
        explicit client_connection(asio::io_context& io) : stream(io) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::size_t target = 0;
        bool open = false;
    };

    asio::awaitable<void> schedule();
    asio::awaitable<void> send_due_calls(std::size_t connection_number);
    asio::awaitable<std::optional<due_call>> next_call();
    asio::awaitable<call_result> send(client_connection& connection,
                                      std::uint64_t number);
    asio::awaitable<bool> connect(client_connection& connection);
    void make_due(std::uint64_t number, support::time_point due_time);
    std::string make_nonce(std::uint64_t number) const;
    request_message make_request(std::uint64_t number) const;
    call_result classify_answer(const response_parser& parser,
                                std::uint64_t number) const;

    const plan& plan_;
    asio::io_context io_{1};
    asio::steady_timer call_due_timer_;
    std::string run_id_;
    std::deque<due_call> due_calls_;
    bool all_calls_due_ = false;
    summary outcomes_;
};

std::string generator::make_nonce(std::uint64_t number) const
{
    return run_id_ + "-" + std::to_string(number);
}

request_message generator::make_request(std::uint64_t number) const
{
    request_message request;
    request.version(11);
    request.method_string(view(plan_.method));
    request.target(view(plan_.path));
    request.set(bhttp::field::host, "load");
    request.set(view(nonce_field), view(make_nonce(number)));
    if (plan_.send_idempotency_keys)
        request.set("Idempotency-Key", view(make_nonce(number)));
    for (const std::string& field : plan_.fields) {
        const std::size_t colon = field.find(':');
        if (colon == std::string::npos)
            continue;
        const std::string_view header_text = field;
        request.set(view(header_text.substr(0, colon)),
                    view(header_text.substr(colon + 1)));
    }
    std::string& body = request.body();
    const std::string body_line = make_nonce(number) + "\n";
    while (body.size() < plan_.body_bytes)
        body += body_line;
    body.resize(plan_.body_bytes);
    if (plan_.body_bytes != 0)
        request.prepare_payload();
    return request;
}

call_result generator::classify_answer(const response_parser& parser,
                                       std::uint64_t number) const
{
    const auto& answer = parser.get();
    call_result result;
    result.refusal = answer.result_int() < first_error_status
                         ? std::string()
                         : refusal_of(answer.body());
    if (!result.refusal.empty()) {
        result.outcome = call_outcome::refused;
        return result;
    }
    if (answer.result_int() >= first_error_status) {
        result.outcome = call_outcome::error_status;
        return result;
    }
    const bool matches = answer[view(nonce_field)] == view(make_nonce(number));
    result.outcome = matches ? call_outcome::answered : call_outcome::crossed;
    return result;
}

/// Tries each target once, starting with the connection's current one.
asio::awaitable<bool> generator::connect(client_connection& connection)
{
    for (std::size_t attempt = 0; attempt < plan_.targets.size(); ++attempt) {
        const config::endpoint& target = plan_.targets[connection.target];
        const tcp::endpoint remote(asio::ip::make_address(target.address),
                                   target.port);
        connection.stream.expires_after(connect_timeout);
        const auto [failure] =
            co_await connection.stream.async_connect(remote, awaiting);
        if (!failure) {
            boost::system::error_code ignored;
            connection.stream.socket().set_option(tcp::no_delay(true), ignored);
            connection.buffer.clear();
            connection.open = true;
            co_return true;
        }
        connection.stream.close();
        connection.target = (connection.target + 1) % plan_.targets.size();
    }
    co_return false;
}

asio::awaitable<call_result> generator::send(client_connection& connection,
                                             std::uint64_t number)
{
    call_result result;
    if (!connection.open && !co_await connect(connection)) {
        result.outcome = call_outcome::unreachable;
        co_return result;
    }
    request_message request = make_request(number);
    response_parser parser;
    parser.body_limit(boost::none);
    parser.skip(plan_.method == "HEAD");
    connection.stream.expires_after(plan_.timeout);
    const auto [write_failure, written_bytes] =
        co_await bhttp::async_write(connection.stream, request, awaiting);
    // The peer may have answered although the request could not be sent in
    // full.
    const auto [failure, read_bytes] = co_await bhttp::async_read(
        connection.stream, connection.buffer, parser, awaiting);
    if (failure) {
        connection.stream.close();
        connection.open = false;
        co_return result;
    }
    if (write_failure || !parser.get().keep_alive()) {
        connection.stream.close();
        connection.open = false;
    }
    co_return classify_answer(parser, number);
}

void generator::make_due(std::uint64_t number, support::time_point due_time)
{
    due_calls_.push_back({number, due_time});
    call_due_timer_.cancel_one();
}

asio::awaitable<void> generator::schedule()
{
    const support::time_point started_at = monotonic_clock::now();
    asio::steady_timer timer(io_);
    for (std::uint64_t number = 0; number < plan_.calls; ++number) {
        if (plan_.rate <= 0) {
            make_due(number, started_at);
            continue;
        }
        const double offset_s = static_cast<double>(number) / plan_.rate;
        const support::time_point due_time =
            started_at + support::from_ms(offset_s * 1000);
        timer.expires_at(
            asio::steady_timer::time_point(due_time.time_since_epoch()));
        co_await timer.async_wait(awaiting);
        make_due(number, due_time);
    }
    all_calls_due_ = true;
    call_due_timer_.cancel();
}

asio::awaitable<std::optional<due_call>> generator::next_call()
{
    while (due_calls_.empty()) {
        if (all_calls_due_)
            co_return std::nullopt;
        co_await call_due_timer_.async_wait(awaiting);
    }
    const due_call next = due_calls_.front();
    due_calls_.pop_front();
    co_return next;
}

asio::awaitable<void> generator::send_due_calls(std::size_t connection_number)
{
    client_connection connection(io_);
    connection.target = connection_number % plan_.targets.size();
    for (;;) {
        const std::optional<due_call> next = co_await next_call();
        if (!next)
            co_return;
        const support::time_point latency_start =
            plan_.rate > 0 ? next->due : monotonic_clock::now();
        call_result result = co_await send(connection, next->number);
        result.latency = monotonic_clock::now() - latency_start;
        outcomes_.add(result);
    }
}

load_report generator::run()
{
    const support::time_point started_at = monotonic_clock::now();
    asio::co_spawn(io_, schedule(), asio::detached);
    for (std::size_t number = 0; number < plan_.connections; ++number)
        asio::co_spawn(io_, send_due_calls(number), asio::detached);
    io_.run();
    return {std::move(outcomes_), monotonic_clock::now() - started_at};
}

} // namespace

load_report run(const plan& load_plan)
{
    return generator(load_plan).run();
}

} // namespace galenarudder::load
