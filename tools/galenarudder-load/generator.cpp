// One coroutine for each connection takes due calls from a shared queue.
#include "generator.hpp"

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
#include <nlohmann/json.hpp>

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

/// A call that is due; latency counts from this time, sent or not.
struct due_call
{
    std::uint64_t number = 0;
    support::time_point due;
};

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Kind and outcome of a problem document, or nothing.
std::string refusal_of(const std::string& body)
{
    const auto problem = nlohmann::json::parse(body, nullptr, false);
    if (!problem.is_object() || !problem.contains("kind"))
        return {};
    return problem.value("kind", "") + "/" + problem.value("outcome", "");
}

class generator
{
public:
    explicit generator(const plan& wanted)
        : plan_(wanted), arrived_(io_),
          run_id_(std::to_string(std::random_device{}()))
    {
        arrived_.expires_at(asio::steady_timer::time_point::max());
    }

    load_report run();

private:
    /// One keep-alive connection.
    struct line
    {
        explicit line(asio::io_context& io) : stream(io) {}

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        std::size_t target = 0;
        bool open = false;
    };

    asio::awaitable<void> schedule();
    asio::awaitable<void> work(std::size_t number);
    asio::awaitable<std::optional<due_call>> next_call();
    asio::awaitable<call_result> send(line& by, std::uint64_t number);
    asio::awaitable<bool> connect(line& by);
    void make_due(std::uint64_t number, support::time_point at);
    std::string nonce(std::uint64_t number) const;
    request_message build(std::uint64_t number) const;
    call_result judge(const response_parser& parser,
                      std::uint64_t number) const;

    const plan& plan_;
    asio::io_context io_{1};
    asio::steady_timer arrived_;
    std::string run_id_;
    std::deque<due_call> due_;
    bool all_due_ = false;
    summary outcomes_;
};

std::string generator::nonce(std::uint64_t number) const
{
    return run_id_ + "-" + std::to_string(number);
}

request_message generator::build(std::uint64_t number) const
{
    request_message request;
    request.version(11);
    request.method_string(view(plan_.method));
    request.target(view(plan_.path));
    request.set(bhttp::field::host, "load");
    request.set(view(nonce_field), view(nonce(number)));
    if (plan_.keyed)
        request.set("Idempotency-Key", view(nonce(number)));
    for (const std::string& field : plan_.fields) {
        const std::size_t colon = field.find(':');
        if (colon == std::string::npos)
            continue;
        const std::string_view whole = field;
        request.set(view(whole.substr(0, colon)),
                    view(whole.substr(colon + 1)));
    }
    std::string& body = request.body();
    const std::string line = nonce(number) + "\n";
    while (body.size() < plan_.body_bytes)
        body += line;
    body.resize(plan_.body_bytes);
    if (plan_.body_bytes != 0)
        request.prepare_payload();
    return request;
}

call_result generator::judge(const response_parser& parser,
                             std::uint64_t number) const
{
    const auto& answer = parser.get();
    call_result result;
    result.refusal = answer.result_int() < first_error_status
                         ? std::string()
                         : refusal_of(answer.body());
    if (!result.refusal.empty()) {
        result.end = call_end::refused;
        return result;
    }
    if (answer.result_int() >= first_error_status) {
        result.end = call_end::error_status;
        return result;
    }
    const bool own = answer[view(nonce_field)] == view(nonce(number));
    result.end = own ? call_end::answered : call_end::crossed;
    return result;
}

/// Tries each target once, beginning with the line's own.
asio::awaitable<bool> generator::connect(line& by)
{
    for (std::size_t tries = 0; tries < plan_.targets.size(); ++tries) {
        const config::endpoint& where = plan_.targets[by.target];
        const tcp::endpoint remote(asio::ip::make_address(where.address),
                                   where.port);
        by.stream.expires_after(connect_timeout);
        const auto [failed] =
            co_await by.stream.async_connect(remote, awaiting);
        if (!failed) {
            boost::system::error_code ignored;
            by.stream.socket().set_option(tcp::no_delay(true), ignored);
            by.buffer.clear();
            by.open = true;
            co_return true;
        }
        by.stream.close();
        by.target = (by.target + 1) % plan_.targets.size();
    }
    co_return false;
}

asio::awaitable<call_result> generator::send(line& by, std::uint64_t number)
{
    call_result result;
    if (!by.open && !co_await connect(by)) {
        result.end = call_end::unreachable;
        co_return result;
    }
    request_message request = build(number);
    response_parser parser;
    parser.body_limit(boost::none);
    parser.skip(plan_.method == "HEAD");
    by.stream.expires_after(plan_.timeout);
    const auto [write_failure, written] =
        co_await bhttp::async_write(by.stream, request, awaiting);
    // An answer may be there although the request could not be sent whole.
    const auto [failed, size] =
        co_await bhttp::async_read(by.stream, by.buffer, parser, awaiting);
    if (failed) {
        by.stream.close();
        by.open = false;
        co_return result;
    }
    if (write_failure || !parser.get().keep_alive()) {
        by.stream.close();
        by.open = false;
    }
    co_return judge(parser, number);
}

void generator::make_due(std::uint64_t number, support::time_point at)
{
    due_.push_back({number, at});
    arrived_.cancel_one();
}

asio::awaitable<void> generator::schedule()
{
    const support::time_point begun = monotonic_clock::now();
    asio::steady_timer timer(io_);
    for (std::uint64_t number = 0; number < plan_.calls; ++number) {
        if (plan_.rate <= 0) {
            make_due(number, begun);
            continue;
        }
        const double offset_s = static_cast<double>(number) / plan_.rate;
        const support::time_point at =
            begun + support::from_ms(offset_s * 1000);
        timer.expires_at(asio::steady_timer::time_point(at.time_since_epoch()));
        co_await timer.async_wait(awaiting);
        make_due(number, at);
    }
    all_due_ = true;
    arrived_.cancel();
}

asio::awaitable<std::optional<due_call>> generator::next_call()
{
    while (due_.empty()) {
        if (all_due_)
            co_return std::nullopt;
        co_await arrived_.async_wait(awaiting);
    }
    const due_call next = due_.front();
    due_.pop_front();
    co_return next;
}

asio::awaitable<void> generator::work(std::size_t number)
{
    line by(io_);
    by.target = number % plan_.targets.size();
    for (;;) {
        const std::optional<due_call> next = co_await next_call();
        if (!next)
            co_return;
        const support::time_point counted_from =
            plan_.rate > 0 ? next->due : monotonic_clock::now();
        call_result result = co_await send(by, next->number);
        result.latency = monotonic_clock::now() - counted_from;
        outcomes_.add(result);
    }
}

load_report generator::run()
{
    const support::time_point begun = monotonic_clock::now();
    asio::co_spawn(io_, schedule(), asio::detached);
    for (std::size_t number = 0; number < plan_.connections; ++number)
        asio::co_spawn(io_, work(number), asio::detached);
    io_.run();
    return {std::move(outcomes_), monotonic_clock::now() - begun};
}

} // namespace

load_report run(const plan& wanted)
{
    return generator(wanted).run();
}

} // namespace galenarudder::load
