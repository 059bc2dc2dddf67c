// Raw responses against every reader of HTTP responses. Guards against an
// invalid or unfinished response that reaches a caller as an answer.
#include "galenarudder/http/client.hpp"
#include "galenarudder/proxy/upstream_client.hpp"

#include "dialect.hpp"
#include "galenarudder/link/message.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace galenarudder::proxy {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using support::monotonic_clock;

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr const char* upstream_address = "127.2.2.203";
constexpr support::milliseconds time_left{1500};

/// How the upstream ends a connection after its response.
enum class close_kind
{
    keeps,
    in_order,
    reset,
    /// In order, followed by a reset before the end can be read.
    in_order_and_reset,
    /// In order, and then reads the rest of the request.
    half_close
};

/// What the upstream sends, in parts with a pause between them.
struct raw_response
{
    std::vector<std::string> parts;
    close_kind close = close_kind::in_order;
};

/// Reads the head of each request and answers it from a script.
class raw_upstream
{
public:
    raw_upstream(asio::io_context& io, std::vector<raw_response> responses)
        : acceptor_(io,
                    tcp::endpoint(asio::ip::make_address(upstream_address), 0)),
          responses_(std::move(responses))
    {
        asio::co_spawn(
            io, [this]() -> asio::awaitable<void> { co_await accept_all(); },
            asio::detached);
    }

    config::endpoint endpoint() const
    {
        return {upstream_address, acceptor_.local_endpoint().port()};
    }

private:
    asio::awaitable<void> accept_all()
    {
        for (;;) {
            auto [failure, peer] =
                co_await acceptor_.async_accept(use_nothrow_awaitable);
            if (failure)
                co_return;
            auto socket = std::make_shared<tcp::socket>(std::move(peer));
            asio::co_spawn(
                acceptor_.get_executor(),
                [this, socket]() -> asio::awaitable<void> {
                    co_await serve(socket);
                },
                asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string buffer;
        for (;;) {
            const auto [failure, size] = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                use_nothrow_awaitable);
            if (failure)
                co_return;
            buffer.erase(0, size);
            const raw_response response =
                responses_[std::min(requests_++, responses_.size() - 1)];
            for (const std::string& part : response.parts) {
                co_await asio::async_write(*socket, asio::buffer(part),
                                           use_nothrow_awaitable);
                co_await pause();
            }
            if (response.close == close_kind::keeps)
                continue;
            co_await end(*socket, response.close);
            co_return;
        }
    }

    asio::awaitable<void> pause()
    {
        asio::steady_timer timer(acceptor_.get_executor(),
                                 std::chrono::milliseconds(30));
        co_await timer.async_wait(use_nothrow_awaitable);
    }

    static asio::awaitable<void> end(tcp::socket& socket, close_kind close)
    {
        if (close == close_kind::in_order_and_reset)
            socket.shutdown(tcp::socket::shutdown_send);
        if (close == close_kind::reset ||
            close == close_kind::in_order_and_reset)
            socket.set_option(asio::socket_base::linger(true, 0));
        if (close == close_kind::half_close) {
            socket.shutdown(tcp::socket::shutdown_send);
            std::array<char, 4096> unread;
            bool more = true;
            while (more) {
                const auto [failure, size] = co_await socket.async_read_some(
                    asio::buffer(unread), use_nothrow_awaitable);
                more = !failure;
            }
        }
        socket.close();
    }

    tcp::acceptor acceptor_;
    std::vector<raw_response> responses_;
    std::size_t requests_ = 0;
};

enum class ending
{
    open,
    refused_unknown,
    refused_not_run,
    cut_off,
    complete
};

struct observed_call
{
    ending end() const
    {
        if (!event)
            return ending::open;
        if (const auto* refused = std::get_if<link::refused>(&*event)) {
            return refused->refusal.outcome == support::run_outcome::unknown
                       ? ending::refused_unknown
                       : ending::refused_not_run;
        }
        if (complete)
            return ending::complete;
        return pipe_closed ? ending::cut_off : ending::open;
    }

    link::exchange_ptr exchange;
    std::optional<link::exchange_event> event;
    bool ended = false;
    bool complete = false;
    bool pipe_closed = false;
    std::string body;
};

using call_ptr = std::shared_ptr<observed_call>;

asio::awaitable<void> consume_response(call_ptr call)
{
    while (const auto part = co_await call->exchange->response_body.read()) {
        call->body += part->data;
        call->complete = part->last;
        if (part->last)
            co_return;
    }
    call->pipe_closed = true;
}

enum class upload_end
{
    after_one_part,
    /// The caller sends one part and then nothing.
    none_after_one_part,
    /// Parts are sent as long as they are taken.
    none
};

/// The body of a call's request.
struct upload
{
    std::optional<std::uint64_t> length = 0;
    std::size_t part_bytes = 0;
    upload_end end = upload_end::after_one_part;
};

asio::awaitable<void> send_body(call_ptr call, upload body)
{
    const std::string part(body.part_bytes, 'x');
    const bool last = body.end == upload_end::after_one_part;
    while (co_await call->exchange->request_body.write(
        link::make_chunk(part, last))) {
        if (body.end != upload_end::none)
            co_return;
    }
}

struct fixture
{
    fixture(std::vector<raw_response> responses, const http_dialect& dialect)
        : upstream(io, std::move(responses)),
          client(io.get_executor(), upstream.endpoint(), "", dialect)
    {
    }

    call_ptr send(const upload& body)
    {
        support::call_head head;
        head.method = "POST";
        head.target = "/";
        head.content_length = body.length;
        head.repeatable = true;
        head.fields.push_back({"Attempt-Id", "1"});
        auto call = std::make_shared<observed_call>();
        call->exchange = std::make_shared<link::exchange>(std::move(head),
                                                          io.get_executor());
        call->exchange->deliver = [call](link::exchange_event event) {
            call->event = std::move(event);
        };
        asio::co_spawn(io, consume_response(call), asio::detached);
        if (body.length != 0)
            asio::co_spawn(io, send_body(call, body), asio::detached);
        client.run(
            call->exchange, monotonic_clock::now() + time_left,
            [] { return support::load_report(); },
            [call](upstream_result, support::duration,
                   const std::optional<upstream_load>&) {
                call->ended = true;
            });
        run_until([&] { return call->ended && call->end() != ending::open; });
        return call;
    }

    template <typename Condition>
    bool run_until(Condition met)
    {
        const auto end = monotonic_clock::now() + 4 * time_left;
        while (!met() && monotonic_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return met();
    }

    asio::io_context io{1};
    raw_upstream upstream;
    upstream_client client;
};

ending end_of_call(const raw_response& response, const http_dialect& dialect)
{
    return fixture({response}, dialect).send({})->end();
}

ending end_of_plain_call(const raw_response& response)
{
    return end_of_call(response, product_dialect());
}

ending end_of_signed_call(const raw_response& response)
{
    return end_of_call(response, platform::dialect());
}

ending end_of_load_query(const raw_response& response)
{
    fixture given({response}, platform::dialect());
    bool ended = false;
    ending end = ending::refused_unknown;
    given.client.query_load("/health", time_left,
                            [&](const std::optional<upstream_load>& load) {
                                ended = true;
                                if (load)
                                    end = ending::complete;
                            });
    CHECK(given.run_until([&] { return ended; }));
    return end;
}

/// The client of the store, of peers and of galenarudderctl.
ending end_of_fetch(const raw_response& response)
{
    fixture given({response}, product_dialect());
    std::optional<support::result<http::response>> result;
    const http::client_request request{"GET", "/", "", {}};
    asio::co_spawn(
        given.io,
        [&]() -> asio::awaitable<void> {
            result.emplace(co_await http::fetch(given.upstream.endpoint(),
                                                request, time_left));
        },
        asio::detached);
    CHECK(given.run_until([&] { return result.has_value(); }));
    return result && *result ? ending::complete : ending::refused_unknown;
}

struct response_reader_case
{
    const char* name;
    ending (*end_of)(const raw_response& response);
};

constexpr response_reader_case readers[] = {
    {"call", end_of_plain_call},
    {"call with signatures", end_of_signed_call},
    {"load query", end_of_load_query},
    {"HTTP client", end_of_fetch},
};

/// Fields that the readers of the platform's dialect need.
const std::string stated = "Attempt-Id: 1\r\nReply-Seal: s\r\n"
                           "Backend-Load: 1,0,2\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n" + stated;
const std::string length = "Content-Length: 2\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string valid_answer = ok + length + "\r\nok";

std::string with_status(const std::string& line)
{
    return line + "\r\n" + stated + length + "\r\nok";
}

std::string with_field(const std::string& line)
{
    return ok + line + "\r\n" + length + "\r\nok";
}

} // namespace

TEST_CASE("an invalid response is taken for an answer, or a valid one is not")
{
    struct row
    {
        std::string name;
        raw_response response;
        bool valid;
        /// Readers that took the response wrongly before there were rules.
        std::string failed_before;
    };
    const auto& [name, response, valid,
                 failed_before] = GENERATE_REF(values<row>({
        {"length", {{valid_answer}}, true, ""},
        {"no length", {{ok + "\r\nok"}}, true, ""},
        {"HTTP/1.0", {{with_status("HTTP/1.0 200 OK")}}, true, ""},
        {"HTTP/1.0, no length",
         {{"HTTP/1.0 200 OK\r\n" + stated + "\r\nok"}},
         true,
         ""},
        {"chunks", {{ok + chunked + "\r\n2\r\nok\r\n0\r\n\r\n"}}, true, ""},
        {"trailer",
         {{ok + chunked + "\r\n2\r\nok\r\n0\r\nName: a\r\n\r\n"}},
         true,
         ""},
        {"value with a tab", {{with_field("Name: a\tb")}}, true, ""},
        {"empty value", {{with_field("Name:")}}, true, ""},
        {"status 599", {{with_status("HTTP/1.1 599 Own")}}, true, ""},
        {"interim",
         {{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + valid_answer}},
         true,
         "load queries"},
        {"head in parts",
         {{ok.substr(0, 20), ok.substr(20) + "\r\nok"}},
         true,
         ""},

        {"status 000",
         {{with_status("HTTP/1.1 000 OK")}},
         false,
         "load queries, client"},
        {"status 000 before an answer",
         {{"HTTP/1.1 000 OK\r\n\r\n" + valid_answer}},
         false,
         "calls, client"},
        {"status 099 before an answer",
         {{"HTTP/1.1 099 OK\r\n\r\n" + valid_answer}},
         false,
         "calls, client"},
        {"status 600", {{with_status("HTTP/1.1 600 OK")}}, false, "all"},
        {"status 700", {{with_status("HTTP/1.1 700 OK")}}, false, "all"},
        {"status 999", {{with_status("HTTP/1.1 999 OK")}}, false, "all"},
        {"status 20", {{with_status("HTTP/1.1 20 OK")}}, false, ""},
        {"status 2000", {{with_status("HTTP/1.1 2000 OK")}}, false, ""},
        {"status +20", {{with_status("HTTP/1.1 +20 OK")}}, false, ""},
        {"status 101",
         {{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + valid_answer}},
         false,
         "calls, client"},
        {"only an interim",
         {{"HTTP/1.1 100 Continue\r\n\r\n"}},
         false,
         "client"},
        {"interim before a status of 700",
         {{"HTTP/1.1 100 Continue\r\n\r\n" + with_status("HTTP/1.1 700 OK")}},
         false,
         "calls, client"},
        {"interim with a repeated length",
         {{"HTTP/1.1 100 Continue\r\n" + length + length + "\r\n" +
           valid_answer}},
         false,
         "calls, client"},
        {"HTTP/2.0", {{with_status("HTTP/2.0 200 OK")}}, false, ""},
        {"HTTP/0.9", {{with_status("HTTP/0.9 200 OK")}}, false, ""},
        {"HTTP/1.2", {{with_status("HTTP/1.2 200 OK")}}, false, ""},
        {"control byte in the reason",
         {{with_status("HTTP/1.1 200 O\1K")}},
         false,
         ""},
        {"name with a blank", {{with_field("Na me: a")}}, false, ""},
        {"name before a blank", {{with_field("Name : a")}}, false, ""},
        {"name after a blank", {{with_field(" Name: a")}}, false, "all"},
        {"name with a control byte", {{with_field("Na\1me: a")}}, false, ""},
        {"no name", {{with_field(": a")}}, false, ""},
        {"folded value", {{with_field("Name: a\r\n b")}}, false, "all"},
        {"NUL in a value",
         {{with_field(std::string("Name: a\0b", 9))}},
         false,
         ""},
        {"DEL in a value", {{with_field("Name: a\x7f")}}, false, ""},
        {"line feed in a value", {{with_field("Name: a\nb")}}, false, ""},
        {"equal lengths", {{with_field("Content-Length: 2")}}, false, "all"},
        {"list of equal lengths",
         {{ok + "Content-Length: 2, 2\r\n\r\nok"}},
         false,
         "all"},
        {"other lengths", {{with_field("Content-Length: 3")}}, false, ""},
        {"length with a sign",
         {{ok + "Content-Length: +2\r\n\r\nok"}},
         false,
         ""},
        {"empty length", {{ok + "Content-Length:\r\n\r\nok"}}, false, ""},
        {"length and chunks",
         {{with_field("Transfer-Encoding: chunked")}},
         false,
         ""},
        {"chunks and length",
         {{ok + length + chunked + "\r\n2\r\nok\r\n0\r\n\r\n"}},
         false,
         ""},
        {"length and another coding",
         {{with_field("Transfer-Encoding: gzip")}},
         false,
         "all"},
        {"another coding",
         {{ok + "Transfer-Encoding: gzip\r\n\r\nok"}},
         false,
         "all"},
        {"chunks of another coding",
         {{ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n"
                "0\r\n\r\n"}},
         false,
         "all"},
        {"chunks in HTTP/1.0",
         {{"HTTP/1.0 200 OK\r\n" + stated + chunked +
           "\r\n2\r\nok\r\n0\r\n\r\n"}},
         false,
         "all"},
        {"folded trailer",
         {{ok + chunked + "\r\n2\r\nok\r\n0\r\nName: a\r\n b\r\n\r\n"}},
         false,
         "all"},
        {"trailer with a NUL",
         {{ok + chunked + "\r\n2\r\nok\r\n0\r\n" +
           std::string("Name: a\0\r\n\r\n", 12)}},
         false,
         ""},
        {"trailer with a length",
         {{ok + chunked + "\r\n2\r\nok\r\n0\r\n" + length + "\r\n"}},
         false,
         ""},
        {"chunk size with a sign",
         {{ok + chunked + "\r\n+2\r\nok\r\n0\r\n\r\n"}},
         false,
         ""},
        {"large field",
         {{with_field("Name: " + std::string(9000, 'a'))}},
         false,
         ""},
        {"large head in parts",
         {{ok, "A: " + std::string(4000, 'a') + "\r\n",
           "B: " + std::string(4000, 'b') + "\r\n",
           "C: " + std::string(4000, 'c') + "\r\n" + length + "\r\nok"}},
         false,
         ""},

        {"reset before the head", {{""}, close_kind::reset}, false, ""},
        {"reset in the head", {{ok}, close_kind::reset}, false, ""},
        {"reset before the body",
         {{ok + "\r\n"}, close_kind::reset},
         false,
         ""},
        {"reset in a body without a length",
         {{ok + "\r\nok"}, close_kind::reset},
         false,
         ""},
        {"reset in a body with a length",
         {{ok + length + "\r\no"}, close_kind::reset},
         false,
         ""},
        {"close in a body with a length", {{ok + length + "\r\no"}}, false, ""},
        {"close before the last chunk",
         {{ok + chunked + "\r\n2\r\nok\r\n"}},
         false,
         ""},
        {"close in a trailer",
         {{ok + chunked + "\r\n2\r\nok\r\n0\r\nName: a\r\n"}},
         false,
         ""},
    }));
    for (const response_reader_case& reader : readers) {
        INFO(name << ", read by: " << reader.name
                  << ", failed before: " << failed_before);
        const ending end = reader.end_of(response);
        if (valid) {
            CHECK(end == ending::complete);
        } else {
            CHECK((end == ending::refused_unknown || end == ending::cut_off));
        }
    }
}

TEST_CASE("a response that was cut off by a reset during an upload looks "
          "complete")
{
    const std::string part(1000, 'p');
    const std::string head = ok + "\r\n";
    struct row
    {
        std::string name;
        raw_response response;
        bool complete;
    };
    const auto& [name, response, complete] = GENERATE_REF(values<row>({
        {"reset in the packet of the head", {{head}, close_kind::reset}, false},
        {"reset behind the body", {{head + part}, close_kind::reset}, false},
        {"reset after the head was passed on",
         {{head, part}, close_kind::reset},
         false},
        {"reset after all was passed on",
         {{head, part, part, part}, close_kind::reset},
         false},
        {"reset after 96 KiB",
         {{head, std::string(96 * 1024, 'p')}, close_kind::reset},
         false},
        {"close with an unread request",
         {{head, part}, close_kind::in_order},
         false},
        {"close in order", {{head, part}, close_kind::half_close}, true},
        {"reset after a close in order",
         {{head, part}, close_kind::in_order_and_reset},
         false},
        {"reset after an interim",
         {{"HTTP/1.1 100 Continue\r\n\r\n", head, part}, close_kind::reset},
         false},
    }));
    constexpr std::size_t part_bytes = link::max_body_part_bytes;
    constexpr std::uint64_t large = std::uint64_t(1) << 40;
    const auto& [upload_name, body, failed_before] =
        GENERATE_COPY(table<std::string, upload, std::string>({
            {"large with a length",
             {large, part_bytes, upload_end::none},
             "all rows but a close in order"},
            {"large in chunks",
             {std::nullopt, part_bytes, upload_end::none},
             "all rows but a close in order"},
            {"small parts in chunks",
             {std::nullopt, 100, upload_end::none},
             "some rows, differing from run to run"},
            {"one part, with a length",
             {100, 100},
             "a reset after a close in order"},
            {"one part, in chunks",
             {std::nullopt, 100},
             "a reset after a close in order"},
            {"paused",
             {std::nullopt, 100, upload_end::none_after_one_part},
             "a reset after a close in order"},
        }));
    const bool is_signed = GENERATE(false, true);
    const bool is_kept = GENERATE(false, true);
    INFO(name << ", " << upload_name << ", signed " << is_signed << ", kept "
              << is_kept << ", failed before: " << failed_before);
    // Without unread bytes, the close is one in order.
    if (response.close == close_kind::in_order && body.end != upload_end::none)
        return;
    std::vector<raw_response> responses;
    if (is_kept)
        responses.push_back({{valid_answer}, close_kind::keeps});
    responses.push_back(response);
    fixture given(responses,
                  is_signed ? platform::dialect() : product_dialect());
    given.client.set_max_connections(1, 0);
    if (is_kept)
        REQUIRE(given.send({})->end() == ending::complete);
    const call_ptr call = given.send(body);
    if (complete) {
        CHECK(call->end() == ending::complete);
        CHECK(call->body == part);
    } else {
        CHECK((call->end() == ending::refused_unknown ||
               call->end() == ending::cut_off));
    }
    CHECK(
        given.run_until([&] { return given.client.open_connections() == 0; }));
}

TEST_CASE("a late second response with a large body fails the next call")
{
    const std::size_t body_bytes = GENERATE(
        std::size_t(1000), std::size_t(100'000), std::size_t(8) * 1024 * 1024);
    const bool in_chunks = GENERATE(false, true);
    CAPTURE(body_bytes, in_chunks);
    const std::string size =
        in_chunks ? chunked
                  : "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    const std::string body(body_bytes, 'b');
    const std::string framed_body =
        in_chunks ? [&] {
            std::ostringstream chunk;
            chunk << std::hex << body_bytes << "\r\n" << body
                  << "\r\n0\r\n\r\n";
            return chunk.str();
        }()
                  : body;
    const std::string late = "HTTP/1.1 200 OK\r\nAttempt-Id: 0\r\n"
                             "Reply-Seal: s\r\n" +
                             size + "\r\n" + framed_body;
    fixture given({{{valid_answer}, close_kind::keeps},
                   {{late + valid_answer}, close_kind::keeps}},
                  platform::dialect());
    given.client.set_max_connections(1, 0);
    REQUIRE(given.send({})->end() == ending::complete);
    const call_ptr next = given.send({});
    CHECK(next->end() == ending::complete);
    CHECK(next->body == "ok");
    CHECK(given.client.open_connections() == 1);
}

} // namespace galenarudder::proxy
