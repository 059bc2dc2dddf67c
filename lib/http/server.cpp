// HTTP server on Boost.Beast with one coroutine per connection. It reads
// and writes complete bodies and keeps connections open between requests.
#include "galenarudder/http/server.hpp"

#include "galenarudder/http/read_message.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace galenarudder::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Longest part of a request that is kept until it can be parsed: the line of a
/// chunk's size with its extension, or a trailer. The head of a request has a
/// lower limit in the parser.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;

/// Decodes percent-encoding. A plus sign becomes a space, in paths too.
std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        const std::string digits(text.substr(i + 1, 2));
        decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
        i += 2;
    }
    return decoded;
}

std::vector<field> parse_query(std::string_view query)
{
    std::vector<field> parameters;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        const std::size_t equals_sign =
            std::min(parameter.find('='), parameter.size());
        const std::string_view value = equals_sign < parameter.size()
                                           ? parameter.substr(equals_sign + 1)
                                           : std::string_view();
        parameters.push_back({percent_decode(parameter.substr(0, equals_sign)),
                              percent_decode(value)});
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return parameters;
}

request to_request(beast::http::request<beast::http::string_body>& received)
{
    request converted;
    converted.method = std::string(received.method_string());
    const std::string_view target(received.target().data(),
                                  received.target().size());
    const std::size_t question_mark = std::min(target.find('?'), target.size());
    converted.path = percent_decode(target.substr(0, question_mark));
    if (question_mark < target.size())
        converted.query = parse_query(target.substr(question_mark + 1));
    for (const auto& header : received) {
        converted.fields.push_back(
            {std::string(header.name_string()), std::string(header.value())});
    }
    converted.body = std::move(received.body());
    return converted;
}

beast::http::response<beast::http::string_body>
to_beast_response(const response& to_send, bool keep_alive)
{
    beast::http::response<beast::http::string_body> converted;
    converted.version(11);
    converted.result(to_send.status);
    converted.set(beast::http::field::content_type, to_send.content_type);
    for (const field& header : to_send.fields)
        converted.set(header.name, header.value);
    converted.keep_alive(keep_alive);
    converted.body() = to_send.body;
    converted.prepare_payload();
    return converted;
}

using request_parser = beast::http::request_parser<beast::http::string_body>;

asio::awaitable<void> serve(tcp::socket socket,
                            std::shared_ptr<const handler> handle,
                            std::uint64_t max_body_bytes,
                            server_timeouts timeouts)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(max_unparsed_bytes);
    constexpr auto nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
    for (;;) {
        request_parser parser;
        parser.body_limit(max_body_bytes);
        const auto deadline =
            std::chrono::steady_clock::now() + timeouts.request;
        const boost::system::error_code read_failure =
            co_await read_message(stream, buffer, parser, deadline);
        if (read_failure)
            co_return;
        stream.expires_never();
        const bool keep_alive = parser.get().keep_alive();
        const response to_send = co_await (*handle)(to_request(parser.get()));
        if (to_send.close_without_answer)
            co_return;
        auto converted = to_beast_response(to_send, keep_alive);
        stream.expires_after(timeouts.response);
        const auto [write_failure, written] = co_await beast::http::async_write(
            stream, converted, nothrow_awaitable);
        if (write_failure || !keep_alive)
            co_return;
    }
}

} // namespace

std::string_view field_or_empty(const std::vector<field>& fields,
                                std::string_view name)
{
    for (const field& header : fields) {
        if (beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

const std::string* request::query_parameter(std::string_view name) const
{
    for (const field& parameter : query) {
        if (parameter.name == name)
            return &parameter.value;
    }
    return nullptr;
}

struct server::state
{
    state(asio::io_context& context,
          handler handle_request,
          std::uint64_t body_limit,
          server_timeouts connection_timeouts)
        : io(context), acceptor(context), max_body_bytes(body_limit),
          timeouts(connection_timeouts),
          handle(std::make_shared<const handler>(std::move(handle_request)))
    {
    }

    asio::awaitable<void> accept_all();

    asio::io_context& io;
    tcp::acceptor acceptor;
    std::uint64_t max_body_bytes;
    server_timeouts timeouts;
    std::shared_ptr<const handler> handle;
};

asio::awaitable<void> server::state::accept_all()
{
    for (;;) {
        auto strand = asio::make_strand(io);
        auto [failure, socket] = co_await acceptor.async_accept(
            strand, asio::as_tuple(asio::use_awaitable));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
            continue;
        asio::co_spawn(
            strand, serve(std::move(socket), handle, max_body_bytes, timeouts),
            asio::detached);
    }
}

server::server(asio::io_context& io,
               handler handle,
               std::uint64_t max_body_bytes,
               server_timeouts timeouts)
    : state_(std::make_shared<state>(
          io, std::move(handle), max_body_bytes, timeouts))
{
}

server::~server()
{
    stop();
}

support::result<void> server::listen(const config::endpoint& local)
{
    boost::system::error_code failure;
    const tcp::endpoint address(asio::ip::make_address(local.address),
                                local.port);
    state_->acceptor.open(address.protocol(), failure);
    if (!failure)
        state_->acceptor.set_option(tcp::acceptor::reuse_address(true),
                                    failure);
    if (!failure)
        state_->acceptor.bind(address, failure);
    if (!failure)
        state_->acceptor.listen(tcp::acceptor::max_listen_connections, failure);
    if (failure) {
        return support::error{support::error_kind::connection_failed,
                              "cannot listen on " + to_string(local) + ": " +
                                  failure.message(),
                              "free the port or change it in the settings"};
    }
    asio::co_spawn(
        state_->io,
        [shared_state = state_]() -> asio::awaitable<void> {
            co_await shared_state->accept_all();
        },
        asio::detached);
    return boost::outcome_v2::success();
}

void server::stop()
{
    asio::post(state_->io, [shared_state = state_] {
        boost::system::error_code ignored;
        shared_state->acceptor.close(ignored);
    });
}

} // namespace galenarudder::http
